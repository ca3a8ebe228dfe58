import test from 'ava';
import { EndpointRegistry } from '@shedline/fleet';
import type { EndpointHeartbeat } from '@shedline/fleet';
import { STREAM_KEEP_MS } from '@shedline/stream-origins';
import { describe, title } from '@shedline/test-utils';
import { OriginRegistry } from './origin-registry.js';

const SERVICE = 's';

/** A registry with a clock that the test advances. */
class Setup {
  nowMs = 1000;
  readonly origins: OriginRegistry;
  private readonly endpoints = new EndpointRegistry('epoch');

  constructor() {
    this.origins = new OriginRegistry({ endpoints: this.endpoints, nowMs: () => this.nowMs });
  }

  hear(startedAtMs: number, softwareVersion: string, sequence = 1): void {
    const heartbeat: EndpointHeartbeat = {
      endpointId: 'e',
      startedAtMs,
      service: SERVICE,
      address: 'a:1',
      availabilityZone: 'z',
      softwareVersion,
      slots: 8,
      warmUpLeftMs: 0,
      sequence,
    };
    this.origins.observe(heartbeat, 0);
    this.endpoints.record(heartbeat, 0, this.nowMs);
  }

  record(key: string, writer: string, softwareVersion: string): void {
    const record = { key, writer, service: SERVICE, softwareVersion, ageMs: 0, keepMs: 60_000 };
    this.origins.record([record]);
  }

  find(key: string): string | undefined {
    return this.origins.reply({ key, services: [SERVICE] }).origin?.softwareVersion;
  }
}

describe('OriginRegistry', () => {
  // A stream may have begun at the next incarnation before its first heartbeat arrived.
  test(title('drops streams begun since the last heartbeat of a replaced version'), (t) => {
    const setup = new Setup();
    setup.hear(1, 'v1');
    setup.record('before', 'e#1', 'v1');
    setup.nowMs += 100;
    setup.record('after', 'e#1', 'v1');
    setup.nowMs += 100;
    setup.hear(2, 'v2');
    t.deepEqual(
      ['before', 'after'].map((key) => setup.find(key)),
      ['v1', undefined],
    );
  });

  test(title('keeps the streams of an incarnation that restarted as the same version'), (t) => {
    const setup = new Setup();
    setup.hear(1, 'v1');
    setup.nowMs += 100;
    setup.record('a', 'e#1', 'v1');
    setup.hear(2, 'v1');
    t.is(setup.find('a'), 'v1');
  });

  // The entry may be cut off, and not know of the restart.
  test(title('refuses records of writers that have restarted as another version'), (t) => {
    const setup = new Setup();
    setup.hear(1, 'v1');
    setup.hear(2, 'v2');
    setup.record('stale', 'e#1', 'v1');
    setup.record('current', 'e#2', 'v2');
    setup.record('newer than known', 'e#3', 'v3');
    t.deepEqual(
      ['stale', 'current', 'newer than known'].map((key) => setup.find(key)),
      [undefined, 'v2', 'v3'],
    );
  });

  test(title('knows all versions once it has observed them for the keep time'), (t) => {
    const setup = new Setup();
    setup.hear(1, 'v1');
    const request = { key: 'a', services: [SERVICE] };
    t.false(setup.origins.reply(request).coversKeepTime);
    setup.nowMs += STREAM_KEEP_MS;
    t.true(setup.origins.reply(request).coversKeepTime);
  });
});
