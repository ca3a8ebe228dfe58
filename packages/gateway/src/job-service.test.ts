import test from 'ava';
import { KnownFleet } from '@shedline/fleet';
import type { Route } from '@shedline/fleet';
import { createLogger } from '@shedline/logger';
import { describe, title } from '@shedline/test-utils';
import { JobService } from './job-service.js';

const JOB = { host: 'h', jobId: 'j', workspace: undefined, withoutWorkspace: 'all' } as const;
const ROUTE: Route = {
  name: 'jobs',
  host: 'h',
  pathPrefix: '/jobs/',
  kind: 'jobs',
  targets: [],
  timeLimitMs: 1000,
  targetMs: 300,
  rank: 0,
  maxAttempts: 1,
  isResumable: false,
  longestPauseMs: 200,
  jobs: { maxWaitingTokens: 0, resultsDueMs: 1000, keepItemsMs: 1000 },
};
const SUBMISSION = {
  ...JOB,
  path: '/jobs/x',
  timeLeftMs: 4000,
  items: [{ itemId: 'a', path: '/jobs/x/a', headers: [], body: Buffer.alloc(0), tokens: 1 }],
};

/** Calls to stores that never reply, of a process that the test lets close. */
class Setup {
  readonly payloads: unknown[] = [];
  readonly jobs: JobService;
  private readonly listeners = new Set<() => void>();

  constructor({ waitLimitMs = Infinity } = {}) {
    const { payloads, listeners } = this;
    const fleet = new KnownFleet();
    fleet.applyDelta({
      position: { version: -1, leaveCount: 0 },
      leaving: [],
      retiringStores: [],
      stores: { clusterId: 'c', initialMembers: [], jobGroupCount: 4, voterCount: 3 },
    });
    this.jobs = new JobService({
      fleet,
      logger: createLogger({ level: 'silent' }),
      stores: {
        call: (_method, _group, payload) => {
          payloads.push(payload);
          return new Promise(() => undefined);
        },
      },
      stop: {
        waitLimitMs,
        onClosing: (listener) => {
          listeners.add(listener);
          return () => listeners.delete(listener);
        },
      },
    });
  }

  close(): void {
    for (const listener of this.listeners) listener();
  }
}

describe('JobService at a stop', () => {
  test(title('fails reads as not executed, and other calls as possibly executed'), async (t) => {
    const setup = new Setup();
    const { jobs } = setup;
    const reads = [jobs.results(JOB, { position: 0, waitMs: 0 }), jobs.body(JOB, 'a')];
    const end = jobs.end(JOB);
    const submission = jobs.submit(SUBMISSION, ROUTE);
    setup.close();
    for (const read of reads) t.like(await t.throwsAsync(read), { status: 503, ran: 'no' });
    t.like(await t.throwsAsync(end), { status: 504, ran: 'unknown' });
    t.deepEqual(await submission, { kind: 'unknown' });
  });

  test(title('does not keep reads waiting beyond the close'), (t) => {
    const setup = new Setup({ waitLimitMs: 150 });
    void setup.jobs.results(JOB, { position: 0, waitMs: 1000 });
    void setup.jobs.results(JOB, { position: 0, waitMs: 100 });
    t.like(setup.payloads, [{ body: { waitMs: 150 } }, { body: { waitMs: 100 } }]);
  });
});
