import test from 'ava';
import fc from 'fast-check';
import { describe, seededRandom, title } from '@shedline/test-utils';
import type { Announcement } from '@shedline/types';
import { observerSetOfEndpoint, planObserverSets } from './observer-sets.js';
import { EndpointDirectory } from './endpoint-directory.js';
import { EntryMembership } from './entry-membership.js';
import type { OutgoingMessage } from './entry-membership.js';

const SEED = 31;
const LEASE_MS = 3000;

function announcement(options: Partial<Announcement> = {}): Announcement {
  return {
    endpointId: 'e1',
    incarnation: 1,
    sequence: 1,
    url: 'http://e1',
    availabilityZone: 'z1',
    kind: 'engine',
    models: ['m'],
    services: [],
    load: { running: 0, waiting: 0, capacity: 8 },
    checksFencing: false,
    leaving: false,
    ...options,
  };
}

describe('EndpointDirectory', () => {
  test(
    title('an endpoint that drains or whose lease expired is not usable, in any order of messages'),
    (t) => {
      const message = fc.record({
        incarnation: fc.integer({ min: 1, max: 3 }),
        sequence: fc.integer({ min: 1, max: 6 }),
        leaving: fc.boolean(),
        ageMs: fc.nat(2000),
        gapMs: fc.nat(1500),
      });
      fc.assert(
        fc.property(fc.array(message, { maxLength: 30 }), (messages) => {
          const directory = new EndpointDirectory({ leaseMs: LEASE_MS });
          const drained = new Set<number>();
          let nowMs = 0;
          let newestMs = -Infinity;
          let last = { incarnation: 0, sequence: 0 };
          for (const { ageMs, gapMs, ...fields } of messages) {
            nowMs += gapMs;
            const isApplied = directory.observe(announcement(fields), ageMs, nowMs);
            const isNewer =
              fields.incarnation > last.incarnation ||
              (fields.incarnation === last.incarnation && fields.sequence > last.sequence);
            t.is(isApplied, isNewer);
            if (isApplied) {
              if (fields.incarnation !== last.incarnation) newestMs = -Infinity;
              last = fields;
              newestMs = Math.max(newestMs, nowMs - ageMs);
              if (fields.leaving) drained.add(fields.incarnation);
            }
            const expected = !drained.has(last.incarnation) && nowMs - newestMs < LEASE_MS;
            t.is(directory.isUsable('e1', nowMs), expected);
            t.false(directory.isUsable('e1', nowMs + LEASE_MS + 1));
          }
        }),
        { seed: SEED, numRuns: 300 },
      );
    },
  );

  test(
    title('ejects and probes a failing endpoint, within the maximum ejected share of the pool'),
    (t) => {
      const directory = new EndpointDirectory();
      for (let n = 1; n <= 6; n += 1)
        directory.observe(announcement({ endpointId: `e${n}` }), 0, 0);
      const fail = (id: string, nowMs: number): void => {
        for (let n = 0; n < 3; n += 1) directory.failed(id, nowMs);
      };
      for (let n = 1; n <= 6; n += 1) fail(`e${n}`, 10);
      t.is(directory.forModel('m', 20).length, 4);
      t.false(directory.isUsable('e1', 20));
      t.true(directory.isUsable('e1', 1100));
      directory.sent('e1');
      t.false(directory.isUsable('e1', 1100));
      directory.succeeded('e1', 5, 1200);
      t.true(directory.isUsable('e1', 1200));
    },
  );

  test(title('a probe excludes other requests only until its response begins'), (t) => {
    const directory = new EndpointDirectory({ failuresToEject: 1 });
    for (let n = 1; n <= 6; n += 1) directory.observe(announcement({ endpointId: `e${n}` }), 0, 0);
    directory.failed('e1', 0);
    t.false(directory.isUsable('e1', 0));
    directory.sent('e1');
    t.false(directory.isUsable('e1', 1100));
    directory.responseStarted('e1');
    t.true(directory.isUsable('e1', 1100));
  });

  test(title('counts endpoints that are probed as ejected'), (t) => {
    const directory = new EndpointDirectory({ failuresToEject: 1, maxEjectedShare: 0.34 });
    for (let n = 1; n <= 6; n += 1) directory.observe(announcement({ endpointId: `e${n}` }), 0, 0);
    for (const id of ['e1', 'e2']) directory.failed(id, 0);
    for (const id of ['e1', 'e2']) directory.sent(id);
    for (const id of ['e3', 'e4']) directory.failed(id, 1100);
    t.is(directory.forModel('m', 1100).length, 4);
  });

  test(
    title(
      'ejects an endpoint much slower than its pool, and limits a new endpoint during slow start',
    ),
    (t) => {
      const directory = new EndpointDirectory({ slowStartMs: 1000 });
      for (let n = 1; n <= 4; n += 1)
        directory.observe(announcement({ endpointId: `e${n}` }), 0, 0);
      t.true(directory.slowStartShare('e1', 0) < 0.2);
      t.is(directory.slowStartShare('e1', 1000), 1);
      for (let n = 0; n < 10; n += 1) {
        for (const id of ['e2', 'e3', 'e4']) directory.succeeded(id, 20, 10);
        directory.succeeded('e1', 200, 10);
      }
      t.false(directory.isUsable('e1', 11));
    },
  );
});

/** Simulates entries on a network that loses messages; those in `down` neither send nor receive. */
class Fleet {
  readonly names: string[];
  readonly down = new Set<string>();
  messages = 0;
  private nowMs = 0;
  private readonly members: Map<string, EntryMembership>;

  constructor(
    count: number,
    private readonly random: () => number,
    private readonly lossShare: number,
  ) {
    this.names = Array.from({ length: count }, (_, index) => `entry-${index}`);
    this.members = new Map(
      this.names.map((self) => [self, new EntryMembership({ self, peers: this.names, random })]),
    );
  }

  run(durationMs: number): void {
    for (const untilMs = this.nowMs + durationMs; this.nowMs < untilMs; this.nowMs += 100) {
      for (const [name, member] of this.members) {
        if (!this.down.has(name)) this.send(member.tick(this.nowMs));
      }
    }
  }

  /** The live entries as seen by each entry that is up. */
  views(): string[][] {
    return this.names
      .filter((name) => !this.down.has(name))
      .map((name) => this.members.get(name)?.liveEntries() ?? []);
  }

  private send(messages: readonly OutgoingMessage[]): void {
    for (const { to, message } of messages) {
      this.messages += 1;
      if (this.down.has(to) || this.random() < this.lossShare) continue;
      const replies = this.members.get(to)?.receive(message, this.nowMs) ?? [];
      this.send(replies);
    }
  }
}

describe('EntryMembership', () => {
  test(
    title(
      'detects lost entries, keeps the others despite lost messages, and readmits those that restart',
    ),
    (t) => {
      for (let seed = 1; seed <= 10; seed += 1) {
        const fleet = new Fleet(12, seededRandom(seed), 0.05);
        fleet.run(5000);
        fleet.down.add('entry-3');
        fleet.down.add('entry-7');
        fleet.run(25_000);
        const expected = fleet.names.filter((name) => !fleet.down.has(name)).sort();
        for (const view of fleet.views()) t.deepEqual(view, expected, `seed ${seed}`);
        fleet.down.clear();
        fleet.run(40_000);
        for (const view of fleet.views()) t.is(view.length, 12, `seed ${seed}`);
      }
    },
  );

  test(title('the messages per entry do not grow with the fleet'), (t) => {
    const rate = (count: number): number => {
      const fleet = new Fleet(count, seededRandom(1), 0);
      fleet.run(20_000);
      return fleet.messages / count;
    };
    t.true(rate(100) < rate(10) * 1.1);
  });
});

describe('observer sets', () => {
  const entries = (count: number) =>
    Array.from({ length: count }, (_, index) => ({
      name: `e${index}`,
      availabilityZone: `z${index % 3}`,
    }));

  test(
    title('a small fleet is one set; a large fleet has sets of bounded size within one zone'),
    (t) => {
      t.is(planObserverSets(entries(12), 12).size, 1);
      const sets = planObserverSets(entries(360), 12);
      t.is([...sets.values()].flat().length, 360);
      for (const [id, members] of sets) {
        t.true(members.length <= 12);
        for (const member of members)
          t.is(`z${Number(member.slice(1)) % 3}`, id.split('/')[0] ?? '');
      }
      t.true(observerSetOfEndpoint(sets, 'engine-5', 'z2').startsWith('z2/'));
      t.not(observerSetOfEndpoint(sets, 'engine-5', 'elsewhere'), '');
    },
  );
});
