import test from 'ava';
import fc from 'fast-check';
import { describe, seededRandom, title } from '@shedline/test-utils';
import { chooseAddresses } from './address-choice.js';
import type { AddressCandidate } from './address-choice.js';
import { LoadView } from './load-view.js';
import { PrefixIndex } from './prefix-index.js';
import { CostRouting } from './routing.js';
import { sampleEntries } from './sample-entries.js';
import type { Candidate } from './routing.js';

const SEED = 41;

function candidate(number: number, fields: Partial<Candidate> = {}): Candidate {
  return {
    endpointId: `e${number}`,
    availabilityZone: 'z1',
    load: 0,
    capacity: 8,
    slowStartShare: 1,
    ...fields,
  };
}

describe('CostRouting', () => {
  const routing = new CostRouting({ random: seededRandom(1) });
  const request = {
    heldBlocks: new Map<string, number>(),
    promptBlocks: 4,
    availabilityZone: 'z1',
  };

  test(title('prefers an endpoint that holds the prefix, except at high load'), (t) => {
    const heldBlocks = new Map([['e1', 4]]);
    const choose = (load: number): string | undefined =>
      routing.choose({ ...request, heldBlocks, candidates: [candidate(1, { load }), candidate(2)] })
        ?.endpointId;
    t.is(choose(0), 'e1');
    t.is(choose(5), 'e1');
    t.is(choose(20), 'e2');
  });

  test(title('spreads equal choices, and avoids endpoints in slow start and other zones'), (t) => {
    const chosen = new Map<string, number>();
    const candidates = [
      candidate(1, { load: 2 }),
      candidate(2, { load: 2 }),
      candidate(3, { load: 2, slowStartShare: 0.1 }),
      candidate(4, { load: 2, availabilityZone: 'z2' }),
    ];
    for (let n = 0; n < 400; n += 1) {
      const id = routing.choose({ ...request, candidates })?.endpointId ?? '';
      chosen.set(id, (chosen.get(id) ?? 0) + 1);
    }
    t.deepEqual([...chosen.keys()].sort(), ['e1', 'e2']);
    t.true(Math.abs((chosen.get('e1') ?? 0) - 200) < 60);
  });
});

describe('LoadView', () => {
  test(title('counts known requests once, decays unattributed load, expires peer counts'), (t) => {
    const view = new LoadView();
    view.recordChange('e', 'online', 1);
    view.recordPeerCounts('e', 'p', { online: 2, batch: 3 }, 0);
    view.applyReport('e', 10, 16, 0, 0);
    t.is(view.online('e', 0), 7);
    t.is(Math.round(view.online('e', 2000)), 5);
    t.is(view.online('e', 4000, false), 1);
    view.recordChange('e', 'online', -1);
    view.recordChange('e', 'online', -1);
    t.is(view.online('e', 4000, false), 0);
  });
});

describe('PrefixIndex', () => {
  test(title('limits its size, tolerates lost events and removes endpoints'), (t) => {
    const index = new PrefixIndex({ maxPrefixes: 100 });
    for (let n = 0; n < 1000; n += 1) index.record('e1', [`p${n}`]);
    t.is(index.size, 100);
    index.record('e2', ['a', 'c']);
    t.is(index.matchingBlocks(['a', 'b', 'c', 'd']).get('e2'), 3);
    index.removeEndpoint('e2');
    t.is(index.matchingBlocks(['a', 'b', 'c']).size, 0);
  });
});

describe('sampleEntries', () => {
  test(
    title('returns all of a small fleet, a limited sample of a large one, and eventually all'),
    (t) => {
      const random = seededRandom(5);
      const fleet = (count: number) =>
        Array.from({ length: count }, (_, n) => ({ name: n, availabilityZone: `z${n % 17}` }));
      t.is(sampleEntries({ live: fleet(12), availabilityZone: 'z1', random }).length, 12);
      const seen = new Set<number>();
      for (let round = 0; round < 600; round += 1) {
        const sample = sampleEntries({ live: fleet(360), availabilityZone: 'z1', random });
        t.is(new Set(sample.map((entry) => entry.name)).size, 24);
        t.is(sample.filter((entry) => entry.availabilityZone === 'z1').length, 12);
        for (const entry of sample) seen.add(entry.name);
      }
      t.is(seen.size, 360);
    },
  );
});

describe('chooseAddresses', () => {
  const entry = fc.record({
    availabilityZone: fc.constantFrom('z1', 'z2', 'z3'),
    draining: fc.boolean(),
    fresh: fc.boolean(),
    load: fc.double({ min: 0, max: 1, noNaN: true }),
  });

  test(title('never returns a draining entry, nor a stale one while a fresh one is left'), (t) => {
    fc.assert(
      fc.property(fc.array(entry, { maxLength: 12 }), fc.nat(), (fields, seed) => {
        const candidates = fields.map((field, n): AddressCandidate => ({
          ...field,
          entry: `e${n}`,
          url: `u${n}`,
        }));
        const chosen = chooseAddresses({
          candidates,
          availabilityZone: 'z1',
          random: seededRandom(seed),
        });
        const fresh = candidates.filter((option) => !option.draining && option.fresh);
        t.true(chosen.every((option) => !option.draining));
        t.true(fresh.length === 0 || chosen.every((option) => option.fresh));
        t.is(
          chosen.length,
          Math.min(
            3,
            fresh.length > 0
              ? fresh.length
              : candidates.filter((option) => !option.draining).length,
          ),
        );
      }),
      { seed: SEED, numRuns: 300 },
    );
  });

  test(
    title('all entries return the same addresses for a session, one of them in another zone'),
    (t) => {
      const candidates = Array.from({ length: 9 }, (_, n): AddressCandidate => ({
        entry: `e${n}`,
        url: `u${n}`,
        availabilityZone: `z${n % 3}`,
        draining: false,
        fresh: true,
        load: 0.1,
      }));
      const entriesOf = (seed: number): string[] =>
        chooseAddresses({
          candidates,
          session: 's',
          availabilityZone: 'z1',
          random: seededRandom(seed),
        }).map((option) => option.entry);
      t.deepEqual(entriesOf(1), entriesOf(2));
      const zones = entriesOf(1).map(
        (name) => candidates.find((option) => option.entry === name)?.availabilityZone,
      );
      t.deepEqual([zones[0], zones[1], zones[2] === 'z1'], ['z1', 'z1', false]);
    },
  );
});
