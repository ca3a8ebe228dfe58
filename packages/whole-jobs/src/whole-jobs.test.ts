import test from 'ava';
import fc from 'fast-check';
import { MemoryItemFiles } from '@shedline/storage';
import { describe, title } from '@shedline/test-utils';
import type { SubmitJob, WholeJobCommand } from './commands.js';
import { WholeJobs } from './whole-jobs.js';

const ITEMS_PER_JOB = 3;
const TOKENS_PER_ITEM = 10;
const MAX_WAITING_TOKENS = 65;
const MAX_ATTEMPTS = 2;
const KEEP_ITEMS_MS = 60_000;

function submit(jobId: string, atMs: number): SubmitJob {
  return {
    type: 'submitJob',
    atMs,
    jobId,
    host: 'h',
    path: '/p/',
    quotaKey: 'key',
    maxWaitingTokens: MAX_WAITING_TOKENS,
    resultsDueMs: 18_000,
    keepItemsMs: KEEP_ITEMS_MS,
    maxAttempts: MAX_ATTEMPTS,
    items: Array.from({ length: ITEMS_PER_JOB }, (_, index) => ({
      itemId: `${jobId}-${index}`,
      path: '/p/x',
      headers: ['X-A', 'b'],
      body: Buffer.from(`body of ${jobId}-${index}`),
      tokens: TOKENS_PER_ITEM,
    })),
  };
}

const jobId = fc.constantFrom('a', 'b', 'c', 'd');
const item = fc.record({ jobId, index: fc.nat(ITEMS_PER_JOB) });

const command: fc.Arbitrary<WholeJobCommand> = fc.oneof(
  jobId.map((id) => submit(id, 0)),
  fc
    .tuple(item, fc.constantFrom('complete' as const, 'errored' as const), fc.string())
    .map(([ref, state, text]): WholeJobCommand => ({
      type: 'commitRuns',
      atMs: 0,
      holder: 'h',
      returned: [],
      finished: [{ ...ref, state, text }],
      failed: [],
    })),
  fc.tuple(item, fc.nat(3)).map(([ref, run]): WholeJobCommand => ({
    type: 'commitRuns',
    atMs: 0,
    holder: 'h',
    returned: [],
    finished: [],
    failed: [{ ...ref, runId: `run ${run}` }],
  })),
  fc.tuple(item, fc.array(fc.string(), { maxLength: 4 })).map(([ref, pieces]): WholeJobCommand => ({
    type: 'commitRuns',
    atMs: 0,
    holder: 'h',
    finished: [],
    failed: [],
    returned: [{ ...ref, progress: { pieces, lastEventId: String(pieces.length) } }],
  })),
  fc
    .tuple(item, fc.nat(9), fc.constantFrom('crashed' as const, 'sharedCrashes' as const))
    .map(([ref, run, list]): WholeJobCommand => ({
      type: 'commitRuns',
      atMs: 0,
      holder: 'h',
      finished: [],
      failed: [],
      returned: [],
      [list]: [{ ...ref, runId: `run ${run}`, hasBegun: run % 2 === 0 }],
    })),
  jobId.map((id): WholeJobCommand => ({ type: 'endJob', atMs: 0, jobId: id })),
);

function progressOf(jobs: WholeJobs): unknown {
  return ['a', 'b', 'c', 'd'].map((id) =>
    Array.from({ length: ITEMS_PER_JOB }, (_, index) => jobs.get(id)?.progressOf(index)),
  );
}

/** Crashes of each item, and whether it must run alone. */
function crashCounts(jobs: WholeJobs): unknown {
  return ['a', 'b', 'c', 'd'].map((id) =>
    Array.from({ length: ITEMS_PER_JOB }, (_, index) => [
      jobs.get(id)?.crashCount(index),
      jobs.get(id)?.mustRunAlone(index),
    ]),
  );
}

function resultLines(jobs: WholeJobs, id: string): string[] {
  const page = jobs.results(id, 0, Infinity);
  return (page?.results ?? []).map(({ itemId, state, text }) => `${itemId} ${state} ${text}`);
}

/** Files of a disk that is full while `isFull`. */
class FullDisk extends MemoryItemFiles {
  isFull = false;

  override writeRecord(file: string, offset: number, body: Uint8Array): number {
    if (this.isFull) throw new Error('ENOSPC: no space left on device, write');
    return super.writeRecord(file, offset, body);
  }
}

describe('whole jobs', () => {
  // Guards against a read that was confirmed before its member stopped, and fails at such a result.
  test(title('list no result that could not be written'), (t) => {
    const files = new FullDisk();
    const jobs = new WholeJobs(files);
    jobs.apply(submit('a', 0), 1);
    files.isFull = true;
    const finished = [{ jobId: 'a', index: 0, state: 'complete' as const, text: 'done' }];
    const run = { type: 'commitRuns', atMs: 0, holder: 'h', failed: [], returned: [] } as const;
    t.throws(() => jobs.apply({ ...run, finished }, 2), { message: /ENOSPC/ });
    t.deepEqual(resultLines(jobs, 'a'), []);
  });

  test(
    title(
      'a stored result never changes, an item has at most one result, and the quota is never exceeded',
    ),
    (t) => {
      fc.assert(
        fc.property(fc.array(command, { maxLength: 60 }), (commands) => {
          const jobs = new WholeJobs(new MemoryItemFiles());
          const resultsByJob = new Map<string, string[]>();
          for (const [index, next] of commands.entries()) {
            jobs.apply(next, index + 1);
            if (jobs.waitingTokens('key') > MAX_WAITING_TOKENS) return false;
            for (const id of ['a', 'b', 'c', 'd']) {
              const results = resultLines(jobs, id);
              const before = resultsByJob.get(id) ?? [];
              if (before.some((line, position) => results[position] !== line)) return false;
              if (new Set(results.map((line) => line.split(' ')[0])).size !== results.length)
                return false;
              resultsByJob.set(id, results);
            }
          }
          return true;
        }),
        { seed: 8 },
      );
      t.pass();
    },
  );

  test(title('a replica restored from a snapshot behaves like the others'), (t) => {
    fc.assert(
      fc.property(
        fc.array(command, { maxLength: 40 }),
        fc.array(command, { maxLength: 40 }),
        (before, after) => {
          const files = new MemoryItemFiles();
          const first = new WholeJobs(files);
          for (const [index, next] of before.entries()) first.apply(next, index + 1);
          const second = new WholeJobs(files);
          second.restore(structuredClone(first.toData()));
          for (const [index, next] of after.entries()) {
            const logIndex = before.length + index + 1;
            const replies = [first.apply(next, logIndex), second.apply(next, logIndex)];
            if (JSON.stringify(replies[0]) !== JSON.stringify(replies[1])) return false;
          }
          const progress = [first, second].map((jobs) => JSON.stringify(progressOf(jobs)));
          if (progress[0] !== progress[1]) return false;
          const counts = [first, second].map((jobs) => JSON.stringify(crashCounts(jobs)));
          if (counts[0] !== counts[1]) return false;
          return ['a', 'b', 'c', 'd'].every(
            (id) => resultLines(first, id).join('\n') === resultLines(second, id).join('\n'),
          );
        },
      ),
      { seed: 9 },
    );
    t.pass();
  });

  test(
    title('a resubmitted job is the same job; a job over the quota is refused as a whole'),
    (t) => {
      const jobs = new WholeJobs(new MemoryItemFiles());
      t.like(jobs.apply(submit('a', 0), 1), { outcome: 'accepted', waitingTokens: 30 });
      t.like(jobs.apply(submit('a', 0), 2), { outcome: 'known', waitingTokens: 30 });
      t.like(jobs.apply(submit('b', 0), 3), { outcome: 'accepted' });
      t.like(jobs.apply(submit('c', 0), 4), { outcome: 'overQuota', waitingTokens: 60 });
      t.is(jobs.get('c'), undefined);
    },
  );

  test(title('reads bodies by item id and results in pages of at least one'), (t) => {
    const jobs = new WholeJobs(new MemoryItemFiles());
    jobs.apply(submit('a', 0), 1);
    t.is(Buffer.from(jobs.get('a')?.findItem('a-1')?.body ?? []).toString(), 'body of a-1');
    t.is(jobs.get('a')?.findItem('other'), undefined);
    const finished = [0, 1, 2].map((index) => ({
      jobId: 'a',
      index,
      state: 'complete' as const,
      text: 'x'.repeat(100),
    }));
    const runs = { holder: 'h', finished, failed: [], returned: [] };
    jobs.apply({ type: 'commitRuns', atMs: 0, ...runs }, 2);
    const page = jobs.results('a', 0, 1);
    t.is(page?.results.length, 1);
    t.is(page?.nextPosition, 1);
    t.is(jobs.results('a', 1, 1000)?.results.length, 2);
    t.is(jobs.results('a', 3, 1000)?.results.length, 0);
    t.is(jobs.results('b', 0, 1000), undefined);
  });

  test(title('keeps the furthest progress of an item until it is finished'), (t) => {
    const jobs = new WholeJobs(new MemoryItemFiles());
    jobs.apply(submit('a', 0), 1);
    const returnItem = (pieces: string[], logIndex: number): void => {
      const progress = { pieces, lastEventId: String(pieces.length) };
      const returned = [{ jobId: 'a', index: 0, progress }];
      const runs = { holder: 'h', finished: [], failed: [], returned };
      jobs.apply({ type: 'commitRuns', atMs: 0, ...runs }, logIndex);
    };
    returnItem(['x', 'y'], 2);
    returnItem(['z'], 3);
    t.deepEqual(jobs.get('a')?.progressOf(0), { pieces: ['x', 'y'], lastEventId: '2' });
    const finished = [{ jobId: 'a', index: 0, state: 'complete' as const, text: 'x' }];
    const runs = { holder: 'h', finished, failed: [], returned: [] };
    jobs.apply({ type: 'commitRuns', atMs: 0, ...runs }, 4);
    t.is(jobs.get('a')?.progressOf(0), undefined);
  });

  test(
    title('gives up an item after three endpoint crashes without progress between them'),
    (t) => {
      const jobs = new WholeJobs(new MemoryItemFiles());
      jobs.apply(submit('a', 0), 1);
      const crash = (index: number, eventCount: number, runId: string): void => {
        const pieces = Array.from({ length: eventCount }, () => 'x');
        const progress = { pieces, lastEventId: String(eventCount) };
        const runs = { holder: 'h', finished: [], failed: [] };
        const returned = [{ jobId: 'a', index, progress }];
        const crashed = [{ jobId: 'a', index, runId }];
        jobs.apply({ type: 'commitRuns', atMs: 0, ...runs, returned, crashed }, 2);
      };
      for (const runId of ['r1', 'r2', 'r2', 'r2']) crash(0, 3, runId);
      t.is(jobs.get('a')?.crashCount(0), 2, 'a repeated command counts once');
      crash(0, 5, 'r3');
      t.deepEqual(resultLines(jobs, 'a'), [
        'a-0 errored given up: 3 endpoints ended while they ran it',
      ]);
      for (const [number, eventCount] of [20, 50, 90, 130].entries()) {
        crash(1, eventCount, `r${number}`);
        t.is(jobs.get('a')?.crashCount(1), 1, 'progress restarts the count');
      }
    },
  );

  // Guards against an item that is given up for the crashes that another item caused.
  test(title('does not give up an item for crashes beside other items, but suspects it'), (t) => {
    const jobs = new WholeJobs(new MemoryItemFiles());
    jobs.apply(submit('a', 0), 1);
    const crash = (runIds: readonly string[], list: 'crashed' | 'sharedCrashes'): void => {
      const runs = { holder: 'h', finished: [], failed: [], returned: [] };
      const reports = runIds.map((runId) => ({ jobId: 'a', index: 0, runId, hasBegun: true }));
      jobs.apply({ type: 'commitRuns', atMs: 0, ...runs, [list]: reports }, 2);
    };
    crash(['r1', 'r1'], 'sharedCrashes');
    t.false(jobs.get('a')?.mustRunAlone(0));
    crash(['r2'], 'sharedCrashes');
    t.true(jobs.get('a')?.mustRunAlone(0));
    crash(['r3', 'r4', 'r5', 'r6'], 'sharedCrashes');
    crash(['r7', 'r8'], 'crashed');
    t.deepEqual(resultLines(jobs, 'a'), []);
    const pieces = Array.from({ length: 20 }, () => 'x');
    const returned = [{ jobId: 'a', index: 0, progress: { pieces, lastEventId: '20' } }];
    const runs = { holder: 'h', finished: [], failed: [], returned };
    jobs.apply({ type: 'commitRuns', atMs: 0, ...runs }, 3);
    t.false(jobs.get('a')?.mustRunAlone(0), 'an item that has progressed is not suspected');
    const unbegun = [{ jobId: 'a', index: 1, runId: 'r1', hasBegun: false }];
    const crashed = { ...runs, returned: [], sharedCrashes: unbegun };
    jobs.apply({ type: 'commitRuns', atMs: 0, ...crashed }, 4);
    t.true(jobs.get('a')?.mustRunAlone(1), 'one crash before the first event is enough');
  });

  test(title('gives up items only after their keep time, and deletes only finished jobs'), (t) => {
    const jobs = new WholeJobs(new MemoryItemFiles());
    jobs.apply(submit('a', 0), 1);
    jobs.apply({ type: 'sweep', atMs: KEEP_ITEMS_MS - 1, retentionMs: 1000 }, 2);
    t.is(jobs.get('a')?.resultCount, 0);
    jobs.apply({ type: 'sweep', atMs: KEEP_ITEMS_MS, retentionMs: KEEP_ITEMS_MS * 2 }, 3);
    t.is(jobs.get('a')?.resultCount, ITEMS_PER_JOB);
    jobs.apply({ type: 'sweep', atMs: KEEP_ITEMS_MS * 2, retentionMs: KEEP_ITEMS_MS * 2 }, 4);
    t.is(jobs.get('a'), undefined);
    t.deepEqual(jobs.fileSizes(), []);
  });
});
