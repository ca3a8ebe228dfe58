/**
 * Guards against control processes that send whole lists of endpoints without end. In a fleet of
 * 3,000 endpoints such a list has 514 KB. Entries that asked each control process for all of it, and
 * again after each time-out, made one control process send 72 MB a second and go over its memory.
 */
import test from 'ava';
import { EndpointRegistry } from '@shedline/fleet';
import type { AgedHeartbeat, EndpointHeartbeat, RegistryDelta } from '@shedline/fleet';
import { describe, title } from '@shedline/test-utils';
import type { PeerClient } from '@shedline/transport';
import { EndpointFeed } from './endpoint-feed.js';
import type { FeedRequest } from './endpoint-feed.js';

const ENDPOINTS = 3000;
const HEARTBEAT_MS = 1200;
/** Maximum number of whole heartbeats in one reply. */
const MAX_HEARTBEATS = 256;

function heartbeatOf(
  index: number,
  sequence: number,
  startedAtMs: number,
  warmUpLeftMs: number,
): EndpointHeartbeat {
  return {
    endpointId: `i-${index}`,
    startedAtMs,
    service: 'svc',
    address: `10.0.${Math.floor(index / 200)}.${index % 200}:8080`,
    availabilityZone: `z${index % 3}`,
    slots: 8,
    warmUpLeftMs,
    sequence,
  };
}

/** A control process with a registry, which counts what it sends. */
class FakeControl {
  readonly peerName: string;
  readonly wholeHeartbeatCounts: number[] = [];
  mayDescribe = true;
  readonly registry: EndpointRegistry;
  private readonly clock: { nowMs: number };

  constructor(peerName: string, clock: { nowMs: number }) {
    this.peerName = peerName;
    this.clock = clock;
    this.registry = new EndpointRegistry(peerName);
  }

  get client(): PeerClient {
    const { peerName } = this;
    const request = (_method: string, payload: unknown): Promise<unknown> =>
      this.describe(payload as number[]);
    return { peerName, request } as unknown as PeerClient;
  }

  beat(sequence: number, startedAtMs = 1, warmUpLeftMs = 0): void {
    for (let index = 0; index < ENDPOINTS; index += 1) {
      const heartbeat = heartbeatOf(index, sequence, startedAtMs, warmUpLeftMs);
      this.registry.record(heartbeat, 0, this.clock.nowMs);
    }
  }

  refresh({ epoch, cursor, maxHeartbeats = Infinity, wantsDigests = false }: FeedRequest) {
    const { nowMs } = this.clock;
    if (wantsDigests) return this.registry.digestsSince({ epoch, cursor }, nowMs, maxHeartbeats);
    return this.count(this.registry.since(epoch, cursor, nowMs, maxHeartbeats));
  }

  private describe(fingerprints: readonly number[]): Promise<readonly AgedHeartbeat[]> {
    if (!this.mayDescribe) return Promise.reject(new Error('did not reply within 700 ms'));
    const heartbeats = this.registry.withFingerprints(fingerprints, this.clock.nowMs);
    this.wholeHeartbeatCounts.push(heartbeats.length);
    return Promise.resolve(heartbeats);
  }

  private count(delta: RegistryDelta): RegistryDelta {
    this.wholeHeartbeatCounts.push(delta.heartbeats.length);
    return delta;
  }
}

/** An entry that polls control processes, and the latest heartbeat that it has of each endpoint. */
class Reader {
  readonly clock = { nowMs: 0 };
  readonly latest = new Map<string, AgedHeartbeat>();
  passedOnCount = 0;
  readonly feed = new EndpointFeed({
    nowMs: () => this.clock.nowMs,
    requestTimeoutMs: 700,
    onHeartbeats: (heartbeats) => {
      this.passedOnCount += heartbeats.length;
      for (const aged of heartbeats) this.latest.set(aged.heartbeat.endpointId, aged);
    },
  });

  async poll(control: FakeControl): Promise<void> {
    let hasMore = true;
    while (hasMore) {
      const reply = control.refresh(this.feed.requestFor(control.peerName));
      hasMore = await this.feed.apply(control.client, reply);
    }
  }

  get sequences(): number[] {
    return [...new Set([...this.latest.values()].map(({ heartbeat }) => heartbeat.sequence))];
  }
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}

describe('EndpointFeed', () => {
  test(
    title('reads the description of each endpoint once, in replies of bounded size'),
    async (t) => {
      const reader = new Reader();
      const controls = Array.from({ length: 8 }, (_, index) => {
        return new FakeControl(`control-${index}`, reader.clock);
      });
      for (let sequence = 1; sequence <= 4; sequence += 1) {
        for (const control of controls) control.beat(sequence);
        for (const control of controls) await reader.poll(control);
        t.is(reader.latest.size, ENDPOINTS);
        t.deepEqual(reader.sequences, [sequence]);
        reader.clock.nowMs += HEARTBEAT_MS;
      }
      const counts = controls.flatMap((control) => control.wholeHeartbeatCounts);
      t.is(sum(counts), ENDPOINTS);
      t.true(Math.max(...counts) <= MAX_HEARTBEATS);
    },
  );

  test(
    title('passes on each heartbeat once, whichever control process sends it first'),
    async (t) => {
      const reader = new Reader();
      const controls = ['a', 'b'].map((name) => new FakeControl(name, reader.clock));
      for (const control of controls) control.beat(1);
      for (const control of controls) await reader.poll(control);
      reader.passedOnCount = 0;
      for (const control of controls) control.beat(2);
      for (const control of controls) await reader.poll(control);
      t.deepEqual(reader.sequences, [2]);
      t.is(reader.passedOnCount, ENDPOINTS);
    },
  );

  // After a start of the fleet all endpoints warm up, and each heartbeat states another time.
  test(title('reads no description again while endpoints warm up'), async (t) => {
    const reader = new Reader();
    const control = new FakeControl('control', reader.clock);
    for (const [index, warmUpLeftMs] of [3000, 2000, 1000, 0].entries()) {
      control.beat(index + 1, 1, warmUpLeftMs);
      await reader.poll(control);
      t.deepEqual(reader.sequences, [index + 1]);
      const latest = [...reader.latest.values()];
      t.true(latest.every(({ heartbeat }) => heartbeat.warmUpLeftMs === warmUpLeftMs));
    }
    t.is(sum(control.wholeHeartbeatCounts), ENDPOINTS);
  });

  test(title('repeats only the page whose descriptions did not arrive'), async (t) => {
    const reader = new Reader();
    const control = new FakeControl('control', reader.clock);
    control.beat(1);
    control.mayDescribe = false;
    await t.throwsAsync(reader.poll(control));
    t.is(reader.latest.size, MAX_HEARTBEATS);
    control.mayDescribe = true;
    await reader.poll(control);
    t.is(reader.latest.size, ENDPOINTS);
    t.is(sum(control.wholeHeartbeatCounts), ENDPOINTS);
  });

  test(title('learns of new incarnations, and knows the age of each heartbeat'), async (t) => {
    const reader = new Reader();
    const control = new FakeControl('control', reader.clock);
    control.beat(1);
    await reader.poll(control);
    control.beat(1, 2000);
    reader.clock.nowMs += 300;
    await reader.poll(control);
    t.is(reader.latest.size, ENDPOINTS);
    const latest = [...reader.latest.values()];
    t.true(latest.every(({ heartbeat }) => heartbeat.startedAtMs === 2000));
    t.true(latest.every(({ ageMs }) => ageMs === 300));
  });

  test(title('reads whole heartbeats from a control process of an earlier version'), async (t) => {
    const reader = new Reader();
    const control = new FakeControl('control', reader.clock);
    control.beat(1);
    await reader.poll(control);
    control.beat(2);
    const { epoch, cursor } = reader.feed.requestFor('control');
    const { heartbeats, ...position } = control.registry.since(epoch, cursor, 0);
    const reply = { epoch: position.epoch, cursor: position.cursor, heartbeats };
    t.false(await reader.feed.apply(control.client, reply));
    t.deepEqual(reader.sequences, [2]);
  });
});
