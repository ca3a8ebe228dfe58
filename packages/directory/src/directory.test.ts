import test from 'ava';
import fc from 'fast-check';
import { describe, seededRandom, title } from '@shedline/test-utils';
import type { Announcement } from '@shedline/types';
import { cellOfEndpoint, planCells } from './cells.js';
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
    title('gives no work to an endpoint that left or whose lease lapsed, in any order of messages'),
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
          const left = new Set<number>();
          let nowMs = 0;
          let freshestMs = -Infinity;
          let last = { incarnation: 0, sequence: 0 };
          for (const { ageMs, gapMs, ...fields } of messages) {
            nowMs += gapMs;
            const taken = directory.observe(announcement(fields), ageMs, nowMs);
            const isNewer =
              fields.incarnation > last.incarnation ||
              (fields.incarnation === last.incarnation && fields.sequence > last.sequence);
            t.is(taken, isNewer);
            if (taken) {
              if (fields.incarnation !== last.incarnation) freshestMs = -Infinity;
              last = fields;
              freshestMs = Math.max(freshestMs, nowMs - ageMs);
              if (fields.leaving) left.add(fields.incarnation);
            }
            const expected = !left.has(last.incarnation) && nowMs - freshestMs < LEASE_MS;
            t.is(directory.isUsable('e1', nowMs), expected);
            t.false(directory.isUsable('e1', nowMs + LEASE_MS + 1));
          }
        }),
        { seed: SEED, numRuns: 300 },
      );
    },
  );

  test(
    title(
      'ejects a failing endpoint, probes it alone, and never ejects more than its share of the pool',
    ),
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

  test(title('a probe keeps an endpoint to itself only until its answer begins'), (t) => {
    const directory = new EndpointDirectory({ failuresToEject: 1 });
    for (let n = 1; n <= 6; n += 1) directory.observe(announcement({ endpointId: `e${n}` }), 0, 0);
    directory.failed('e1', 0);
    t.false(directory.isUsable('e1', 0));
    directory.sent('e1');
    t.false(directory.isUsable('e1', 1100));
    directory.answers('e1');
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
    title('ejects an endpoint much slower than its pool and lets a newcomer start slowly'),
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

/** Runs entries over a network that loses messages; `down` take and send nothing. */
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

  /** Live entries as each entry that is up sees them. */
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
    title('finds lost entries, keeps the others through lost messages, and takes the lost back'),
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

  test(title('sends no more messages an entry in a larger fleet'), (t) => {
    const rate = (count: number): number => {
      const fleet = new Fleet(count, seededRandom(1), 0);
      fleet.run(20_000);
      return fleet.messages / count;
    };
    t.true(rate(100) < rate(10) * 1.1);
  });
});

describe('cells', () => {
  const entries = (count: number) =>
    Array.from({ length: count }, (_, index) => ({
      name: `e${index}`,
      availabilityZone: `z${index % 3}`,
    }));

  test(
    title('a small fleet is one cell; a large one has cells of bounded size within a zone'),
    (t) => {
      t.is(planCells(entries(12), 12).size, 1);
      const cells = planCells(entries(360), 12);
      t.is([...cells.values()].flat().length, 360);
      for (const [cell, members] of cells) {
        t.true(members.length <= 12);
        for (const member of members)
          t.is(`z${Number(member.slice(1)) % 3}`, cell.split('/')[0] ?? '');
      }
      t.true(cellOfEndpoint(cells, 'engine-5', 'z2').startsWith('z2/'));
      t.not(cellOfEndpoint(cells, 'engine-5', 'elsewhere'), '');
    },
  );
});
