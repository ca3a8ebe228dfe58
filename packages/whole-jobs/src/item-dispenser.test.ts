import test from 'ava';
import fc from 'fast-check';
import { MemoryItemFiles } from '@shedline/storage';
import { describe, title } from '@shedline/test-utils';
import { ItemDispenser } from './item-dispenser.js';
import type { ItemRequest } from './item-dispenser.js';
import { WholeJobs } from './whole-jobs.js';

const RUN_MS = 5000;
const DUE_MS = 18_000;
const LEASE_MS = 4000;
const START_MS = 10_000;

function jobsOf(submitted: readonly { jobId: string; atMs: number; items: number }[]): WholeJobs {
  const jobs = new WholeJobs(new MemoryItemFiles());
  for (const [index, { jobId, atMs, items }] of submitted.entries()) {
    jobs.apply(
      {
        type: 'submitJob',
        atMs,
        jobId,
        host: 'h',
        path: '/p/',
        quotaKey: 'key',
        maxWaitingTokens: 0,
        resultsDueMs: DUE_MS,
        keepItemsMs: 60_000,
        maxAttempts: 3,
        items: Array.from({ length: items }, (_, item) => ({
          itemId: `${jobId}-${item}`,
          path: '/p/x',
          headers: [],
          body: new Uint8Array(0),
          tokens: 1,
        })),
      },
      index + 1,
    );
  }
  return jobs;
}

function request(maxItems: number, holder = 'a'): ItemRequest {
  return { holder, routeKey: 'key', maxItems, runMs: RUN_MS, runEvents: 100 };
}

describe('item dispenser', () => {
  test(
    title('grants jobs that can meet their due time in order of due time, then late jobs'),
    (t) => {
      const jobs = jobsOf([
        { jobId: 'late', atMs: 0, items: 1 },
        { jobId: 'soon', atMs: 10_000, items: 1 },
        { jobId: 'fresh', atMs: 14_000, items: 1 },
      ]);
      const dispenser = new ItemDispenser({ leaseMs: LEASE_MS });
      const granted = dispenser.grant(jobs, request(3), { nowMs: START_MS, wallMs: 15_000 });
      t.deepEqual(
        granted.items.map(({ job }) => job.identity.jobId),
        ['soon', 'fresh', 'late'],
      );
    },
  );

  test(title('takes the saved progress of an item into account'), (t) => {
    const jobs = jobsOf([{ jobId: 'j', atMs: 0, items: 2 }]);
    const dispenser = new ItemDispenser({ leaseMs: LEASE_MS });
    dispenser.grant(jobs, request(2), { nowMs: START_MS, wallMs: 0 });
    const progress = { pieces: Array.from({ length: 90 }, () => 'x'), lastEventId: '90' };
    const returned = [
      { jobId: 'j', index: 0 },
      { jobId: 'j', index: 1, progress },
    ];
    const runs = { holder: 'a', finished: [], failed: [], returned };
    jobs.apply({ type: 'commitRuns', atMs: 0, ...runs }, 2);
    dispenser.release('a', returned);
    // The remaining two seconds are too short for a complete run, but enough for the rest of item
    // 1.
    const time = { nowMs: START_MS, wallMs: DUE_MS - 2000 };
    const [first] = dispenser.grant(jobs, request(1, 'b'), time).items;
    t.is(first?.index, 1);
    t.deepEqual(first?.progress, progress);
  });

  test(
    title('delays an item after two endpoint crashes during its runs, and no other item'),
    (t) => {
      const jobs = jobsOf([{ jobId: 'j', atMs: 0, items: 2 }]);
      const dispenser = new ItemDispenser({ leaseMs: LEASE_MS });
      const grantedIndexesAt = (nowMs: number): number[] =>
        dispenser.grant(jobs, request(2), { nowMs, wallMs: 0 }).items.map(({ index }) => index);
      for (const runId of ['first', 'second']) {
        const crashed = [{ jobId: 'j', index: 0, runId }];
        const runs = { holder: 'a', finished: [], failed: [], returned: [] };
        jobs.apply({ type: 'commitRuns', atMs: 0, ...runs, crashed }, 2);
        const expected = runId === 'first' ? [0, 1] : [1];
        t.deepEqual(grantedIndexesAt(START_MS), expected, `after the ${runId} crash`);
        dispenser.release('a', [
          { jobId: 'j', index: 0 },
          { jobId: 'j', index: 1 },
        ]);
      }
      t.deepEqual(grantedIndexesAt(START_MS + 3999), [1]);
      t.deepEqual(grantedIndexesAt(START_MS + 4000), [0]);
    },
  );

  test(
    title('delays a suspected item after each crash, and grants no more than can run alone'),
    (t) => {
      const jobs = jobsOf([{ jobId: 'j', atMs: 0, items: 4 }]);
      const dispenser = new ItemDispenser({ leaseMs: LEASE_MS });
      const grantedAt = (nowMs: number, maxAloneItems?: number): string[] => {
        const limit = maxAloneItems === undefined ? {} : { maxAloneItems };
        const { items } = dispenser.grant(jobs, { ...request(4), ...limit }, { nowMs, wallMs: 0 });
        const returned = items.map(({ index }) => ({ jobId: 'j', index }));
        dispenser.release('a', returned);
        return items.map(({ index, mustRunAlone }) => `${index}${mustRunAlone ? ' alone' : ''}`);
      };
      const crash = (index: number, list: 'crashed' | 'sharedCrashes', runId: string): void => {
        const runs = { holder: 'a', finished: [], failed: [], returned: [] };
        const reports = [{ jobId: 'j', index, runId, hasBegun: true }];
        jobs.apply({ type: 'commitRuns', atMs: 0, ...runs, [list]: reports }, 2);
      };
      for (const index of [0, 1, 2])
        for (const runId of ['first', 'second']) crash(index, 'sharedCrashes', runId);
      t.deepEqual(grantedAt(START_MS), ['3']);
      const afterPauseMs = START_MS + 4000;
      t.deepEqual(grantedAt(afterPauseMs, 0), ['3']);
      t.deepEqual(grantedAt(afterPauseMs, 2), ['0 alone', '1 alone', '3']);
      t.is(grantedAt(afterPauseMs).length, 4, 'entries of earlier versions state no limit');
      crash(0, 'crashed', 'third');
      t.deepEqual(grantedAt(afterPauseMs, 1), ['1 alone', '3']);
      t.deepEqual(grantedAt(afterPauseMs + 4000, 1), ['0 alone', '3']);
    },
  );

  // Guards against items that end one endpoint after the other, and against a long wait for those
  // that only had bad luck.
  test(
    title('grants few items that lost many endpoints at once, and more as they complete'),
    (t) => {
      const jobs = jobsOf([{ jobId: 'j', atMs: 0, items: 8 }]);
      const dispenser = new ItemDispenser({ leaseMs: 1e9 });
      let nowMs = START_MS;
      const grantedIndexes = (): number[] =>
        dispenser.grant(jobs, request(8), { nowMs, wallMs: 0 }).items.map(({ index }) => index);
      const crash = (index: number, runId: string): void => {
        const sharedCrashes = [{ jobId: 'j', index, runId, hasBegun: true }];
        const runs = { holder: 'a', finished: [], failed: [], returned: [], sharedCrashes };
        jobs.apply({ type: 'commitRuns', atMs: 0, ...runs }, 2);
        dispenser.release('a', [{ jobId: 'j', index }]);
      };
      const complete = (index: number): void => {
        const finished = [{ jobId: 'j', index, state: 'complete' as const, text: '' }];
        const runs = { holder: 'a', finished, failed: [], returned: [] };
        jobs.apply({ type: 'commitRuns', atMs: 0, ...runs }, 2);
        dispenser.recordFinished(finished, nowMs);
      };
      for (let index = 0; index < 8; index += 1)
        for (const runId of ['first', 'second', 'third', 'fourth']) crash(index, runId);
      t.deepEqual(grantedIndexes(), [], 'all are delayed');
      nowMs += 4000;
      t.deepEqual(grantedIndexes(), [0]);
      t.deepEqual(grantedIndexes(), [], 'one at a time');
      complete(0);
      t.deepEqual(grantedIndexes(), [1, 2]);
      complete(1);
      t.deepEqual(grantedIndexes(), [3, 4, 5]);
      crash(3, 'fifth');
      t.deepEqual(grantedIndexes(), [], 'delayed after the fifth crash as after the fourth');
      for (const index of [2, 4, 5]) complete(index);
      nowMs += 4000;
      t.deepEqual(grantedIndexes().length, 3);
    },
  );

  test(
    title('grants nothing until the holders had time to renew their leases with a new leader'),
    (t) => {
      const jobs = jobsOf([{ jobId: 'j', atMs: 0, items: 1 }]);
      const dispenser = new ItemDispenser({ leaseMs: LEASE_MS });
      dispenser.becameLeader(START_MS);
      t.deepEqual(
        dispenser.grant(jobs, request(1), { nowMs: START_MS + 100, wallMs: 0 }).items,
        [],
      );
      t.deepEqual(dispenser.renew(jobs, 'b', [{ jobId: 'j', index: 0 }], START_MS + 200), []);
      const later = { nowMs: START_MS + 2000, wallMs: 0 };
      t.deepEqual(dispenser.grant(jobs, request(1), later).items, []);
    },
  );

  test(
    title('grants an item to one holder at a time, and again only after its lease has expired'),
    (t) => {
      const steps = fc.array(
        fc.record({ holder: fc.constantFrom('a', 'b', 'c'), stepMs: fc.nat(3000), max: fc.nat(4) }),
        { maxLength: 40 },
      );
      fc.assert(
        fc.property(steps, (grants) => {
          const jobs = jobsOf([{ jobId: 'j', atMs: 0, items: 6 }]);
          const dispenser = new ItemDispenser({ leaseMs: LEASE_MS });
          const leasedUntilMs = new Map<number, number>();
          let nowMs = START_MS;
          for (const { holder, stepMs, max } of grants) {
            nowMs += stepMs;
            for (const { index } of dispenser.grant(jobs, request(max, holder), {
              nowMs,
              wallMs: 0,
            }).items) {
              if ((leasedUntilMs.get(index) ?? 0) > nowMs) return false;
              leasedUntilMs.set(index, nowMs + LEASE_MS);
            }
          }
          return true;
        }),
        { seed: 2 },
      );
      t.pass();
    },
  );
});
