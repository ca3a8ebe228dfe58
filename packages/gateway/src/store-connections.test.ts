import test from 'ava';
import type { MemberRecord } from '@shedline/mesh';
import { describe, title } from '@shedline/test-utils';
import type { PeerAddress, PeerClient } from '@shedline/transport';
import { StoreConnections } from './store-connections.js';

const STORE_COUNT = 30;
const GROUP = 2;

/** Records the requested connections; each call is answered with the name of the store. */
class FakeConnections {
  readonly called: string[] = [];
  private readonly names = new Set<string>();

  get open(): string[] {
    return [...this.names].sort();
  }

  add({ name }: PeerAddress): void {
    this.names.add(name);
  }

  get(name: string): PeerClient | undefined {
    if (!this.names.has(name)) return undefined;
    const request = (): Promise<string> => {
      this.called.push(name);
      return Promise.resolve(name);
    };
    return { isReady: true, request } as unknown as PeerClient;
  }

  keepOnly(names: ReadonlySet<string>): void {
    for (const name of this.names) if (!names.has(name)) this.names.delete(name);
  }
}

function store(number: number, change: Partial<MemberRecord> = {}): MemberRecord {
  return {
    name: `store-${number}`,
    kind: 'store',
    host: `10.0.0.${number}`,
    port: 1,
    instance: `instance-${number}`,
    availabilityZone: 'z',
    epoch: 'e',
    sequence: 1,
    state: 'ready',
    ...change,
  };
}

/** Group 2 is held by stores 20 to 24 and led by 22; group 1 by others. */
function stores(): MemberRecord[] {
  return Array.from({ length: STORE_COUNT }, (_, number) => {
    if (number === 22) return store(number, { holds: [GROUP], leads: [GROUP] });
    if (number >= 20 && number < 25) return store(number, { holds: [GROUP], leads: [] });
    if (number === 5) return store(number, { holds: [1], leads: [1] });
    return store(number);
  });
}

function createStoreConnections(
  connections: FakeConnections,
  all: readonly MemberRecord[],
): StoreConnections {
  return new StoreConnections({ connections, stores: () => all, groups: () => new Set([GROUP]) });
}

describe('StoreConnections', () => {
  test(title('connects only to the leaders of needed groups'), (t) => {
    const connections = new FakeConnections();
    createStoreConnections(connections, stores()).update();
    t.deepEqual(connections.open, ['store-22']);
  });

  test(title('orders calls by leader, other group members, other stores'), async (t) => {
    const connections = new FakeConnections();
    const ports = createStoreConnections(connections, stores()).ports(GROUP);
    t.is(ports.length, STORE_COUNT);
    t.true(ports.every(({ isReady }) => isReady));
    const names = ports.slice(0, 5).map(({ name }) => name);
    t.deepEqual(names, ['store-22', 'store-20', 'store-21', 'store-23', 'store-24']);
    await ports[1]?.call('ask', {}, 100);
    t.deepEqual(connections.called, ['store-20']);
    t.deepEqual(connections.open, ['store-20'], 'opened for the call');
  });

  test(title('follows a change of leader'), (t) => {
    const connections = new FakeConnections();
    const all = stores();
    const storeConnections = createStoreConnections(connections, all);
    storeConnections.update();
    all[22] = store(22, { holds: [GROUP], leads: [] });
    all[24] = store(24, { holds: [GROUP], leads: [GROUP] });
    storeConnections.update();
    t.deepEqual(connections.open, ['store-24']);
  });
});
