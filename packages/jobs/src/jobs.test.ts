import test from 'ava';
import fc from 'fast-check';
import { MemoryItemFiles } from '@shedline/storage';
import { describe, title } from '@shedline/test-utils';
import type { ItemLease, JobView } from '@shedline/types';
import type {
  ClaimAnswer,
  CommitAnswer,
  GrantAnswer,
  JobAnswer,
  JobCommand,
  JobGroupAnswer,
} from './commands.js';
import { Jobs, groupOfJobId, jobIdOf } from './jobs.js';
import { LeaseClock } from './lease-clock.js';

const SEED = 61;
const WORKSPACE = 'demo';
const JOB_ID = jobIdOf(1, WORKSPACE, 'k');

type Untimed<T> = T extends unknown ? Omit<T, 'atMs'> : never;

/** A job group with a log, so that a replica can be rebuilt from it. */
class Harness {
  nowMs = 1000;
  readonly files = new MemoryItemFiles();
  jobs = new Jobs(this.files);
  readonly log: JobCommand[] = [];

  apply(command: Untimed<JobCommand>): JobGroupAnswer {
    const timed = { ...command, atMs: this.nowMs } as JobCommand;
    this.log.push(timed);
    return this.jobs.apply(timed, this.log.length);
  }

  create(
    options: { idempotent?: boolean; dueAtMs?: number; pastDue?: 'continue' | 'stop' } = {},
  ): JobGroupAnswer {
    const { idempotent = true, dueAtMs = 1e9, pastDue = 'continue' } = options;
    const common = { jobId: JOB_ID, workspace: WORKSPACE, service: 'chat', jobKey: 'k' };
    return this.apply({ type: 'createJob', ...common, dueAtMs, idempotent, pastDue });
  }

  put(fromIndex: number, lines: string[]): JobGroupAnswer {
    return this.apply({ type: 'putItems', jobId: JOB_ID, workspace: WORKSPACE, fromIndex, lines });
  }

  sealed(count: number, options: Parameters<Harness['create']>[0] = {}): void {
    this.create(options);
    this.put(0, lines(count));
    this.apply({ type: 'sealJob', jobId: JOB_ID, workspace: WORKSPACE, itemCount: count });
  }

  grant(owner: string, maxItems: number): readonly ItemLease[] {
    const answer = this.apply({
      type: 'grantItems',
      owner,
      workspace: WORKSPACE,
      service: 'chat',
      maxItems,
    });
    return (answer as GrantAnswer).leases;
  }

  commit(owner: string, index: number, body: string): CommitAnswer {
    const results = [{ jobId: JOB_ID, index, outcome: 'completed' as const, body }];
    return this.apply({ type: 'commitItems', owner, results, returns: [] }) as CommitAnswer;
  }

  giveBack(
    owner: string,
    index: number,
    reason: 'yielded' | 'notRun' | 'endpointLost' | 'retryable',
  ): void {
    const returns = [{ jobId: JOB_ID, index, reason, cause: 'test' }];
    this.apply({ type: 'commitItems', owner, results: [], returns });
  }

  view(): JobView {
    const view = this.jobs.view(JOB_ID, WORKSPACE);
    if (view === undefined) throw new Error('the job is gone');
    return view;
  }

  results(): (string | undefined)[] {
    const page = { jobId: JOB_ID, workspace: WORKSPACE, fromIndex: 0, maxBytes: 1e9 };
    return (this.jobs.results(page)?.lines ?? []).map((line) => line.body);
  }
}

function lines(count: number): string[] {
  return Array.from({ length: count }, (_, index) =>
    JSON.stringify({ customId: `c${index}`, body: {} }),
  );
}

const event = fc.record({
  kind: fc.constantFrom(
    'grant',
    'commit',
    'commitTwice',
    'yield',
    'lost',
    'expire',
    'restart',
    'start',
    'cancel',
    'late',
  ),
  owner: fc.constantFrom('e1', 'e2', 'e3'),
  pick: fc.nat(),
  count: fc.integer({ min: 1, max: 5 }),
});

interface Held {
  readonly owner: string;
  readonly leaseId: string;
  readonly index: number;
}

describe('Jobs', () => {
  test(
    title('every item ends exactly once under any order of grants, commits, losses and restarts'),
    (t) => {
      fc.assert(
        fc.property(fc.array(event, { maxLength: 80 }), fc.boolean(), (events, idempotent) => {
          const harness = new Harness();
          harness.sealed(12, { idempotent });
          const held: Held[] = [];
          const firstBody = new Map<number, string>();
          const sends = new Map<number, number>();
          let cancelled = false;
          for (const [position, { kind, owner, pick, count }] of events.entries()) {
            harness.nowMs += 700;
            const item = held[pick % Math.max(1, held.length)];
            if (kind === 'grant') {
              for (const lease of harness.grant(owner, count)) {
                t.false(cancelled);
                for (const { index } of lease.items)
                  held.push({ owner, leaseId: lease.leaseId, index });
              }
            }
            if (kind === 'cancel' && pick % 7 === 0) {
              harness.apply({ type: 'cancelJob', jobId: JOB_ID, workspace: WORKSPACE });
              cancelled = true;
            }
            if (kind === 'restart') {
              const state = harness.jobs.snapshot();
              harness.jobs = new Jobs(harness.files);
              harness.jobs.restore(state);
            }
            if (item === undefined) continue;
            if (kind === 'start') {
              const { leaseId, index } = item;
              const answer = harness.apply({
                type: 'startItems',
                leaseId,
                jobId: JOB_ID,
                indexes: [index],
              });
              if ('started' in answer && answer.started.includes(index)) {
                sends.set(index, (sends.get(index) ?? 0) + 1);
              }
            }
            if (kind === 'commit' || kind === 'commitTwice' || kind === 'late') {
              const body = `"${position}"`;
              const answer = harness.commit(item.owner, item.index, body);
              if (answer.stored === 1) firstBody.set(item.index, body);
              if (kind === 'commitTwice')
                t.is(harness.commit(item.owner, item.index, '"again"').stored, 0);
            }
            if (kind === 'yield') harness.giveBack(item.owner, item.index, 'yielded');
            if (kind === 'lost') harness.giveBack(item.owner, item.index, 'endpointLost');
            if (kind === 'expire')
              harness.apply({ type: 'expireLeases', leaseIds: [item.leaseId] });
            const { counts } = harness.view();
            const sum =
              counts.completed + counts.failed + counts.cancelled + counts.inDoubt + counts.pending;
            t.is(sum, 12);
          }
          for (const [index, body] of firstBody) {
            const page = { jobId: JOB_ID, workspace: WORKSPACE, fromIndex: index, maxBytes: 1 };
            t.is(harness.jobs.results(page)?.lines[0]?.body, body);
          }
          for (const count of sends.values()) t.true(count <= 1 || idempotent);
        }),
        { seed: SEED, numRuns: 400 },
      );
    },
  );

  test(title('replicas that apply the same log hold the same state and the same bytes'), (t) => {
    const harness = new Harness();
    harness.sealed(40);
    for (let round = 0; round < 10; round += 1) {
      for (const lease of harness.grant('e1', 4)) {
        for (const { index } of lease.items) harness.commit('e1', index, `"${index}"`);
      }
    }
    const files = new MemoryItemFiles();
    const replica = new Jobs(files);
    for (const [position, command] of harness.log.entries()) replica.apply(command, position + 1);
    t.deepEqual(replica.snapshot(), harness.jobs.snapshot());
    for (const { file, sizeBytes } of replica.fileSizes()) {
      t.deepEqual(files.readRaw(file, 0, sizeBytes), harness.files.readRaw(file, 0, sizeBytes));
    }
  });

  describe('upload', () => {
    test(
      title(
        'a resent chunk with the same content is taken, also after the seal and over other borders',
      ),
      (t) => {
        const harness = new Harness();
        harness.create();
        harness.put(0, lines(6).slice(0, 4));
        t.true(harness.put(2, lines(6).slice(2)).ok);
        harness.apply({ type: 'sealJob', jobId: JOB_ID, workspace: WORKSPACE, itemCount: 6 });
        t.true(harness.put(1, lines(6).slice(1, 5)).ok);
        t.is(harness.view().received, 6);
      },
    );

    test(title('other content, a gap and items after the seal are refused'), (t) => {
      const harness = new Harness();
      harness.create();
      harness.put(0, lines(3));
      t.like(harness.put(1, ['{"customId":"x","body":{}}']), { ok: false, reason: 'conflict' });
      t.like(harness.put(5, lines(1)), { ok: false, reason: 'invalid' });
      harness.apply({ type: 'sealJob', jobId: JOB_ID, workspace: WORKSPACE, itemCount: 3 });
      t.like(harness.put(3, lines(1)), { ok: false, reason: 'conflict' });
      t.is(harness.view().received, 3);
    });

    test(
      title('the same key is the same job, also after a cancel; other content is a conflict'),
      (t) => {
        const harness = new Harness();
        t.true((harness.create() as JobAnswer).created);
        harness.apply({ type: 'cancelJob', jobId: JOB_ID, workspace: WORKSPACE });
        const again = harness.create() as JobAnswer;
        t.false(again.created);
        t.is(again.job.state, 'cancelled');
        t.like(harness.create({ dueAtMs: 5 }), { ok: false, reason: 'conflict' });
      },
    );

    test(title('another workspace does not see the job'), (t) => {
      const harness = new Harness();
      harness.sealed(1);
      t.is(harness.jobs.view(JOB_ID, 'other'), undefined);
      t.like(harness.apply({ type: 'cancelJob', jobId: JOB_ID, workspace: 'other' }), {
        reason: 'notFound',
      });
      t.is(groupOfJobId(JOB_ID), 1);
    });
  });

  describe('items', () => {
    test(title('an item that kills endpoints runs alone and fails after its third loss'), (t) => {
      const harness = new Harness();
      harness.sealed(1);
      for (let loss = 1; loss <= 3; loss += 1) {
        harness.nowMs += 60_000;
        const item = harness.grant('e1', 1)[0]?.items[0];
        t.is(item?.attempt, loss);
        t.is(item?.alone, loss > 1);
        harness.giveBack('e1', 0, 'endpointLost');
      }
      t.like(harness.view(), { state: 'completed', counts: { failed: 1 } });
      t.regex(harness.results()[0] ?? '', /gave up after 3 attempts/);
    });

    test(title('an item that was not run is granted again however often, after a pause'), (t) => {
      const harness = new Harness();
      harness.sealed(1);
      for (let round = 0; round < 20; round += 1) {
        t.is(harness.grant('e1', 1).length, 1);
        harness.giveBack('e1', 0, 'notRun');
        t.is(harness.grant('e1', 1).length, 0);
        harness.nowMs += 1000;
      }
      t.is(harness.view().counts.pending, 1);
    });

    test(
      title(
        'a started non-idempotent item is never granted again; a late answer settles it until the due time',
      ),
      (t) => {
        const harness = new Harness();
        harness.sealed(2, { idempotent: false, dueAtMs: 10_000 });
        const lease = harness.grant('e1', 2)[0];
        t.truthy(lease);
        const leaseId = lease?.leaseId ?? '';
        harness.apply({ type: 'startItems', leaseId, jobId: JOB_ID, indexes: [0, 1] });
        harness.apply({ type: 'expireLeases', leaseIds: [leaseId] });
        t.is(harness.view().counts.inDoubt, 2);
        t.is(harness.grant('e2', 5).length, 0);
        t.is(harness.commit('e1', 0, '"late"').stored, 1);
        harness.nowMs = 20_000;
        t.is(harness.commit('e1', 1, '"too late"').stored, 0);
        t.like(harness.view().counts, { completed: 1, inDoubt: 1 });
      },
    );

    test(title('a cancelled job grants nothing and keeps the results it had'), (t) => {
      const harness = new Harness();
      harness.sealed(4);
      harness.grant('e1', 2);
      harness.commit('e1', 0, '"kept"');
      harness.apply({ type: 'cancelJob', jobId: JOB_ID, workspace: WORKSPACE });
      t.is(harness.commit('e1', 1, '"after"').stored, 0);
      t.is(harness.grant('e1', 4).length, 0);
      t.is(harness.results()[0], '"kept"');
      t.like(harness.view(), { state: 'cancelled', counts: { completed: 1, cancelled: 3 } });
    });

    test(title('a job past due stops only where its row says so'), (t) => {
      for (const [pastDue, failed] of [
        ['stop', 3],
        ['continue', 0],
      ] as const) {
        const harness = new Harness();
        harness.sealed(3, { dueAtMs: 2000, pastDue });
        harness.nowMs = 3000;
        harness.apply({ type: 'housekeep', jobRetentionMs: 1e9, callRetentionMs: 1e9 });
        t.is(harness.view().counts.failed, failed);
      }
    });

    test(
      title(
        'a small urgent job is granted before a huge one, and one past due still gets its turns',
      ),
      (t) => {
        const harness = new Harness();
        const due = { huge: 900_000, urgent: 50_000, late: 500 };
        for (const [key, dueAtMs] of Object.entries(due)) {
          const jobId = jobIdOf(1, WORKSPACE, key);
          const common = { jobId, workspace: WORKSPACE };
          harness.apply({
            type: 'createJob',
            ...common,
            service: 'chat',
            jobKey: key,
            dueAtMs,
            idempotent: true,
            pastDue: 'continue',
          });
          harness.apply({ type: 'putItems', ...common, fromIndex: 0, lines: lines(200) });
          harness.apply({ type: 'sealJob', ...common, itemCount: 200 });
        }
        const order = Array.from({ length: 64 }, () => harness.grant('e1', 1)[0]?.jobId);
        const count = (key: string): number =>
          order.filter((id) => id === jobIdOf(1, WORKSPACE, key)).length;
        t.deepEqual([count('urgent'), count('late'), count('huge')], [56, 8, 0]);
      },
    );
  });

  test(title('an open item takes no more than a few bytes of memory'), (t) => {
    const harness = new Harness();
    harness.create();
    for (let from = 0; from < 20_480; from += 512) harness.put(from, lines(512));
    harness.apply({ type: 'sealJob', jobId: JOB_ID, workspace: WORKSPACE, itemCount: 20_480 });
    const { itemBytes, items } = harness.jobs.memory;
    t.true(itemBytes / items < 6, `${itemBytes / items} bytes an item`);
  });
});

describe('CallClaims', () => {
  const claim = (harness: Harness, claimId: string, requestHash = 'h'): ClaimAnswer =>
    harness.apply({
      type: 'claimCall',
      key: 'k',
      claimId,
      requestHash,
      deadlineMs: 1000,
    }) as ClaimAnswer;
  const finish = (
    harness: Harness,
    claimId: string,
    outcome: 'recorded' | 'inDoubt' | 'notRun',
  ): void => {
    const answer = { status: 200, contentType: 'text/plain', body: Buffer.from(claimId) };
    harness.apply({ type: 'finishCall', key: 'k', claimId, outcome, ...answer });
  };

  test(
    title('a key is granted to one claimant at a time and never after a send that may have run'),
    (t) => {
      const action = fc.record({
        kind: fc.constantFrom('claim', 'recorded', 'inDoubt', 'notRun', 'wait'),
        who: fc.constantFrom('a', 'b', 'c'),
      });
      fc.assert(
        fc.property(fc.array(action, { maxLength: 40 }), (actions) => {
          const harness = new Harness();
          let holder: string | undefined;
          let ended = false;
          for (const { kind, who } of actions) {
            if (kind === 'wait') harness.nowMs += 4000;
            else if (kind === 'claim') {
              const granted = claim(harness, who).claim === 'granted';
              if (granted) {
                t.false(ended);
                t.true(holder === undefined || holder === who);
                holder = who;
              }
            } else if (who === holder) {
              finish(harness, who, kind);
              if (kind === 'notRun' && !ended) holder = undefined;
              else ended = true;
            }
          }
        }),
        { seed: SEED, numRuns: 500 },
      );
    },
  );

  test(
    title('a resend gets the recorded answer, and another request under the key is told apart'),
    (t) => {
      const harness = new Harness();
      claim(harness, 'a');
      finish(harness, 'a', 'recorded');
      const again = claim(harness, 'b');
      t.like(again, { claim: 'recorded', status: 200 });
      t.is(claim(harness, 'b', 'other').claim, 'mismatch');
    },
  );

  test(title('a claim whose holder is gone is in doubt once its deadline has passed'), (t) => {
    const harness = new Harness();
    claim(harness, 'a');
    t.is(claim(harness, 'b').claim, 'inProgress');
    harness.nowMs += 7000;
    t.is(claim(harness, 'b').claim, 'inDoubt');
  });
});

describe('LeaseClock', () => {
  test(title('a new leader gives every open lease its full time'), (t) => {
    const clock = new LeaseClock({ leaseMs: 100 });
    t.deepEqual(clock.expired(['a'], 1000), []);
    clock.renew('a', 1050);
    t.deepEqual(clock.expired(['a'], 1149), []);
    t.deepEqual(clock.expired(['a'], 1150), ['a']);
  });
});
