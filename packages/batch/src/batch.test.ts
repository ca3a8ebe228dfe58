import test from 'ava';
import fc from 'fast-check';
import { describe, seededRandom, title } from '@shedline/test-utils';
import { allocateSlots } from './allocation.js';
import type { WaitingWork } from './allocation.js';
import { BatchHeadroom } from './headroom.js';
import { BatchOwnership } from './ownership.js';
import { chooseStreamsToStop } from './yielding.js';

const SEED = 53;

function work(row: string, fields: Partial<WaitingWork> = {}): WaitingWork {
  return {
    group: 1,
    row,
    weight: 1,
    models: ['m'],
    pendingItems: 1e6,
    neededItemsPerSecond: 0,
    currentItemsPerSecond: 1,
    ...fields,
  };
}

describe('allocateSlots', () => {
  test(title('shares converge to the weights, and the smallest weight is not starved'), (t) => {
    const random = seededRandom(2);
    const waiting = [
      work('w/a', { weight: 6 }),
      work('w/b', { weight: 3 }),
      work('w/c', { weight: 0.1 }),
    ];
    const assigned = new Map<string, number>();
    for (let round = 0; round < 4000; round += 1) {
      for (const { row, maxItems } of allocateSlots([{ model: 'm', slots: 3 }], waiting, random)) {
        assigned.set(row, (assigned.get(row) ?? 0) + maxItems);
      }
    }
    const ratio = (assigned.get('w/a') ?? 0) / (assigned.get('w/b') ?? 1);
    t.true(ratio > 1.5 && ratio < 2.5, `ratio ${ratio}`);
    t.true((assigned.get('w/c') ?? 0) > 0);
  });

  test(
    title('a service that is too slow for its due times gets up to eight times its weight'),
    (t) => {
      const behind = work('w/behind', { neededItemsPerSecond: 100, currentItemsPerSecond: 1 });
      const assigned = allocateSlots(
        [{ model: 'm', slots: 90 }],
        [work('w/on-schedule'), behind],
        seededRandom(1),
      );
      const itemsOf = (row: string): number =>
        assigned.find((request) => request.row === row)?.maxItems ?? 0;
      t.is(itemsOf('w/behind'), 80);
      t.is(itemsOf('w/on-schedule'), 10);
    },
  );

  test(title('assigns as many slots as are free and have pending items'), (t) => {
    const workFields = fc.array(
      fc.record({ pendingItems: fc.nat(20), weight: fc.integer({ min: 1, max: 9 }) }),
      { maxLength: 6 },
    );
    fc.assert(
      fc.property(workFields, fc.nat(40), fc.nat(), (fields, slots, seed) => {
        const waiting = fields.map((field, n) => work(`w/${n}`, field));
        const assigned = allocateSlots([{ model: 'm', slots }], waiting, seededRandom(seed));
        const total = assigned.reduce((sum, request) => sum + request.maxItems, 0);
        const pending = fields.reduce((sum, field) => sum + field.pendingItems, 0);
        t.is(total, Math.min(slots, pending));
      }),
      { seed: SEED, numRuns: 300 },
    );
  });
});

describe('BatchHeadroom', () => {
  const input = { online: 0, capacity: 16, floorShare: 0, ceilingShare: 0.9 };

  test(title('decreases at once and fills an idle endpoint within a second'), (t) => {
    const headroom = new BatchHeadroom({ dial: 0 });
    let nowMs = 0;
    while (headroom.allowance(input, nowMs) < 14 && nowMs < 2000) nowMs += 20;
    t.true(nowMs < 1000, `${nowMs} ms`);
    t.is(headroom.allowance({ ...input, online: 1 }, nowMs), 0);
    t.is(headroom.allowance(input, nowMs + 100), 0);
  });

  test(
    title('never exceeds the ceiling, nor the floor while online requests fill the endpoint'),
    (t) => {
      const step = fc.record({ online: fc.nat(40), gapMs: fc.nat(300) });
      const share = fc.double({ min: 0, max: 0.4, noNaN: true });
      fc.assert(
        fc.property(
          fc.array(step, { maxLength: 40 }),
          share,
          fc.double({ min: 0, max: 1, noNaN: true }),
          (steps, floorShare, dial) => {
            const headroom = new BatchHeadroom({ dial });
            let nowMs = 0;
            for (const { online, gapMs } of steps) {
              nowMs += gapMs;
              const allowed = headroom.allowance(
                { online, capacity: 16, floorShare, ceilingShare: 0.8 },
                nowMs,
              );
              t.true(allowed <= Math.floor(0.8 * 16));
              if (online >= 16) t.true(allowed <= Math.max(1, Math.floor(floorShare * 16)));
            }
          },
        ),
        { seed: SEED, numRuns: 200 },
      );
    },
  );
});

describe('BatchOwnership', () => {
  test(
    title('an endpoint has one owner, and a new owner waits until the previous one has stopped'),
    (t) => {
      const names = ['a', 'b', 'c'];
      const entries = names.map((self) => new BatchOwnership({ self, takeoverWaitMs: 100 }));
      const endpoints = Array.from({ length: 30 }, (_, n) => `e${n}`);
      for (const entry of entries) entry.update(endpoints, () => names, 0);
      t.deepEqual(entries.flatMap((entry) => entry.owned(0)).sort(), [...endpoints].sort());
      const lastEntryOwned = entries[2]?.owned(0) ?? [];
      for (const entry of entries.slice(0, 2)) entry.update(endpoints, () => ['a', 'b'], 1000);
      const ownedAt = (nowMs: number): string[] =>
        entries.slice(0, 2).flatMap((entry) => entry.owned(nowMs));
      t.true(lastEntryOwned.every((endpoint) => !ownedAt(1050).includes(endpoint)));
      t.deepEqual(ownedAt(1100).sort(), [...endpoints].sort());
    },
  );

  test(title('an equal list of candidates changes no owner, a different list does'), (t) => {
    const ownership = new BatchOwnership({ self: 'a', takeoverWaitMs: 100 });
    const ownerAmong = (...candidates: string[]): string | undefined => {
      ownership.update(['e'], () => candidates, 0);
      return ownership.ownerOf('e');
    };
    const first = ownerAmong('a', 'b', 'c') ?? '';
    t.is(ownerAmong('a', 'b', 'c'), first);
    const others = ['a', 'b', 'c'].filter((name) => name !== first);
    t.true(others.includes(ownerAmong(...others) ?? ''), 'the owner was removed');
    t.is(ownerAmong('a', 'b', 'c'), first, 'the owner was added again');
    t.is(ownerAmong('d'), 'd');
  });
});

describe('chooseStreamsToStop', () => {
  test(title('stops streams with least progress, and none that must not be repeated'), (t) => {
    const stream = (streamId: string, tokens: number, startedAtMs: number, stoppable = true) => ({
      streamId,
      tokens,
      startedAtMs,
      stoppable,
    });
    const streams = [
      stream('old', 9, 1),
      stream('new', 2, 5),
      stream('newer', 2, 6),
      stream('once', 0, 7, false),
    ];
    t.deepEqual(
      chooseStreamsToStop(streams, 2).map((chosen) => chosen.streamId),
      ['newer', 'new'],
    );
    t.deepEqual(
      chooseStreamsToStop(streams, 0).map((chosen) => chosen.streamId),
      ['newer', 'new', 'old'],
    );
    t.deepEqual(chooseStreamsToStop(streams, 4), []);
  });
});
