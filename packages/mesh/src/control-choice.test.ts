import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import { createLogger } from '@shedline/logger';
import { describe, title } from '@shedline/test-utils';
import { PeerServer } from '@shedline/transport';
import type { PeerAddress } from '@shedline/transport';
import { controlsToConnect } from './control-choice.js';
import { fakeControl } from './fake-member.js';
import type { MemberKind } from './member-record.js';
import { Mesh } from './mesh.js';

const SECRET = 'secret of the mesh test';
const HOST = '127.0.0.1';

function namesOf(addresses: readonly PeerAddress[]): string[] {
  return addresses.map(({ name }) => name);
}

describe('controlsToConnect', () => {
  const seeds = [{ name: 'seed', host: HOST, port: 1 }];
  const core = [fakeControl('c1', 'm1'), fakeControl('c2', 'm2')];
  const all = [...core, fakeControl('d1'), fakeControl('d2'), fakeControl('seed')];

  const defaults = { seeds, controls: all, persistentCore: [], hasSentList: () => true };

  test(title('returns only the core once some of it is connected'), (t) => {
    const isConnected = (name: string): boolean => name === 'c2';
    t.deepEqual(namesOf(controlsToConnect({ ...defaults, isConnected })), ['c1', 'c2']);
  });

  test(title('includes the missing members of the core'), (t) => {
    const persistentCore = [fakeControl('c3', 'm3')];
    const wanted = controlsToConnect({ ...defaults, persistentCore, isConnected: () => true });
    t.deepEqual(namesOf(wanted), ['c1', 'c2', 'c3']);
    const alone = controlsToConnect({
      ...defaults,
      controls: [],
      persistentCore,
      isConnected: () => false,
    });
    t.deepEqual(namesOf(alone), ['seed', 'c3'], 'also if no other control process is known');
  });

  test(title('includes a seed until it has sent its list once'), (t) => {
    const hasSentList = (name: string): boolean => name !== 'seed';
    const wanted = controlsToConnect({ ...defaults, hasSentList, isConnected: () => true });
    t.deepEqual(namesOf(wanted), ['seed', 'c1', 'c2']);
  });

  test(title('includes the seeds while none of the core is connected'), (t) => {
    const isConnected = (name: string): boolean => name === 'd1';
    const wanted = controlsToConnect({ ...defaults, isConnected });
    t.deepEqual(namesOf(wanted), ['seed', 'c1', 'c2']);
  });

  test(title('returns all control processes if no core is known'), (t) => {
    const controls = [fakeControl('d1')];
    const wanted = controlsToConnect({ ...defaults, controls, isConnected: () => true });
    t.deepEqual(namesOf(wanted), ['seed', 'd1']);
  });
});

/** A process with a mesh. */
class TestProcess {
  readonly mesh: Mesh;
  readonly address: PeerAddress;
  private readonly server: PeerServer;

  private constructor(options: {
    readonly address: PeerAddress;
    readonly server: PeerServer;
    readonly mesh: Mesh;
  }) {
    this.address = options.address;
    this.server = options.server;
    this.mesh = options.mesh;
  }

  static async start(options: {
    readonly name: string;
    readonly kind: MemberKind;
    readonly memberId?: string;
    readonly seeds: readonly PeerAddress[];
  }): Promise<TestProcess> {
    const { name, kind, memberId, seeds } = options;
    const server = new PeerServer({
      name,
      secret: SECRET,
      handlers: {
        onRequest: () => Promise.reject(new Error('no request is expected')),
        onMessage: (method, payload, link) => mesh.receive(method, payload, link),
      },
    });
    const port = await server.listen(HOST, 0);
    const address = { name, host: HOST, port };
    const mesh: Mesh = new Mesh({
      record: {
        ...address,
        kind,
        instance: name,
        availabilityZone: 'z',
        epoch: 'e',
        ...(memberId === undefined ? {} : { memberId }),
      },
      secret: SECRET,
      seeds: seeds.length === 0 ? [address] : seeds,
      logger: createLogger({ level: 'silent' }),
      nowMs: () => performance.now(),
    });
    mesh.start();
    return new TestProcess({ address, server, mesh });
  }

  get readyControls(): string[] {
    return this.mesh.controls.ready.map(({ peerName }) => peerName).sort();
  }

  async stop(): Promise<void> {
    this.mesh.stop();
    await this.server.close();
  }
}

describe('a fleet with control processes outside the core', () => {
  test(
    title('each process eventually connects to the core only, whatever its seeds are'),
    async (t) => {
      const first = await TestProcess.start({
        name: 'c1',
        kind: 'control',
        memberId: 'm',
        seeds: [],
      });
      const { address } = first;
      const started = [
        first,
        await TestProcess.start({ name: 'c2', kind: 'control', memberId: 'n', seeds: [address] }),
        await TestProcess.start({ name: 'd1', kind: 'control', seeds: [address] }),
      ];
      const outside = started[2]?.address ?? address;
      const entry = await TestProcess.start({ name: 'e1', kind: 'entry', seeds: [outside] });
      started.push(entry);
      t.teardown(() => Promise.all(started.map((process) => process.stop())));
      const isSettled = (): boolean =>
        entry.readyControls.join() === 'c1,c2' &&
        started[2]?.readyControls.join() === 'c1,c2' &&
        first.mesh.live('entry').length === 1 &&
        first.mesh.live('control').length === 3;
      while (!isSettled()) await pause(20);
      t.deepEqual(
        entry.mesh.live('control').map(({ name }) => name),
        ['c1', 'c2', 'd1'],
      );
    },
  );
});
