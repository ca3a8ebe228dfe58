import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { EndpointSet } from './endpoint-set.js';
import type { FleetAdapter, SoakEndpoint, SoakEndpointOptions } from './fleet-adapter.js';
import { HeartbeatSender } from './heartbeat-sender.js';
import { PromiseChecker } from './promise-checker.js';

const START_MS = 20;
const NAME = 'endpoint-1';

/** Simulates endpoints that start slowly, and counts those that are up. */
class FakeEndpoints implements Pick<FleetAdapter, 'startEndpoint' | 'heartbeat'> {
  upCount = 0;
  readonly started: SoakEndpointOptions[] = [];

  async startEndpoint(options: SoakEndpointOptions): Promise<SoakEndpoint> {
    await pause(START_MS);
    this.upCount += 1;
    this.started.push(options);
    const { endpointId, startedAtMs, softwareVersion, incarnationName, host, port } = options;
    return {
      endpointId,
      startedAtMs,
      softwareVersion,
      incarnationName,
      address: `${host}:${port}`,
      setHanging: () => undefined,
      crash: () => {
        this.upCount -= 1;
        return Promise.resolve();
      },
    };
  }

  heartbeat(): Promise<boolean> {
    return Promise.resolve(true);
  }
}

function createEndpointSet(fake: FakeEndpoints): EndpointSet {
  const adapter = fake as unknown as FleetAdapter;
  return new EndpointSet({
    network: '127.78.1',
    adapter,
    checker: new PromiseChecker({ isUndisturbed: () => true }),
    heartbeats: new HeartbeatSender(adapter, [], () => undefined),
    nowMs: () => performance.now(),
    hasRelays: false,
  });
}

describe('EndpointSet', () => {
  test(title('an endpoint that is down when the set closes does not restart'), async (t) => {
    const fake = new FakeEndpoints();
    const endpoints = createEndpointSet(fake);
    await endpoints.start(NAME);
    const restart = endpoints.crash(NAME, START_MS);
    await endpoints.close();
    await restart;
    t.is(fake.upCount, 0);
  });

  // Guards against a soak that cannot show a part of a response taken for the whole: only a successor
  // at the same address may be mistaken for the endpoint that ended.
  for (const hasSameId of [true, false]) {
    const id = hasSameId ? 'the same id' : 'a new id';
    test(title(`a successor with ${id} listens at the same address`), async (t) => {
      const fake = new FakeEndpoints();
      const endpoints = createEndpointSet(fake);
      await endpoints.start(NAME);
      await endpoints.replace(NAME, { hasSameId, health: 'refused' });
      const [first, second] = fake.started;
      t.is(fake.upCount, 1);
      t.is(second?.host, first?.host);
      t.is(second?.endpointId === first?.endpointId, hasSameId);
      t.not(second?.incarnationName, first?.incarnationName);
      t.is(second?.startupHealth, 'refused');
    });
  }

  test(title('an endpoint that is starting when the set closes is stopped too'), async (t) => {
    const fake = new FakeEndpoints();
    const endpoints = createEndpointSet(fake);
    const start = endpoints.start(NAME);
    await endpoints.close();
    await start;
    t.is(fake.upCount, 0);
  });
});
