import test from 'ava';
import { KnownFleet, routeKeyOf } from '@shedline/fleet';
import type { Configuration, Route } from '@shedline/fleet';
import { createLogger } from '@shedline/logger';
import { ProcessMetrics } from '@shedline/metrics';
import { MemoryItemFiles } from '@shedline/storage';
import { describe, title } from '@shedline/test-utils';
import { ItemDispenser, WholeJobs } from '@shedline/whole-jobs';
import type { ItemRef, JobResult, WholeJobCommand } from '@shedline/whole-jobs';
import { JobRoutes } from './job-routes.js';
import { RouteEndTask } from './route-end-task.js';

const HOST = 'h';
const LEASE_MS = 4000;
/** Interval of the leader's tasks, and a time in which the end of a route is certain. */
const TICK_MS = 250;
const LONG_MS = 20_000;
const ROUTE = jobRoute();
const OTHER = jobRoute({ name: 'other', pathPrefix: '/other/' });

function jobRoute(changes: Partial<Route> = {}): Route {
  return {
    name: 'jobs',
    host: HOST,
    pathPrefix: '/jobs/',
    kind: 'jobs',
    targets: [{ service: 'svc', weight: 1 }],
    timeLimitMs: 1000,
    targetMs: 300,
    rank: 0,
    maxAttempts: 3,
    isResumable: true,
    longestPauseMs: 200,
    ...changes,
  };
}

function configuration(version: number, routes: readonly Route[]): Configuration {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  return { version, routes, services: [], limits };
}

/** The leader of a group, whose view of the configuration may lag behind the newest one. */
class Leader {
  readonly jobs = new WholeJobs(new MemoryItemFiles());
  readonly fleet = new KnownFleet();
  isLeader = true;
  mayRead = true;
  reads = 0;
  private readonly dispenser = new ItemDispenser({ leaseMs: LEASE_MS });
  private readonly task: RouteEndTask;
  private readonly routes = new JobRoutes(this.fleet);
  private newest = configuration(3, [ROUTE]);
  private nowMs = 10_000;
  private logIndex = 0;

  constructor({ knowsConfiguration = true } = {}) {
    this.task = new RouteEndTask({
      group: 1,
      routes: this.routes,
      dispenser: this.dispenser,
      readNewest: () => {
        this.reads += 1;
        if (!this.mayRead) return Promise.reject(new Error('no leader'));
        this.learn();
        return Promise.resolve();
      },
      logger: createLogger({ level: 'silent' }),
      metrics: new ProcessMetrics(),
      nowMs: () => this.nowMs,
    });
    if (knowsConfiguration) this.learn();
  }

  /** Puts routes in force; the leader knows of it at once unless it lags. */
  put(version: number, routes: readonly Route[], { isKnown = true } = {}): void {
    this.newest = configuration(version, routes);
    if (isKnown) this.learn();
  }

  submit(jobId: string, items: number, configurationVersion: number | undefined): void {
    this.apply({
      type: 'submitJob',
      atMs: this.nowMs,
      jobId,
      host: HOST,
      path: '/jobs/x',
      routeKey: routeKeyOf(ROUTE),
      routeName: ROUTE.name,
      ...(configurationVersion === undefined ? {} : { configurationVersion }),
      quotaKey: routeKeyOf(ROUTE),
      maxWaitingTokens: items,
      resultsDueMs: LONG_MS,
      keepItemsMs: 10 * LONG_MS,
      maxAttempts: 3,
      items: Array.from({ length: items }, (_, index) => ({
        itemId: `${jobId}-${index}`,
        path: '/jobs/x/1',
        headers: [],
        body: Buffer.from('b'),
        tokens: 1,
      })),
    });
  }

  /** Leases items of a route to an entry; returns their number. */
  grant(route: Route, maxItems: number): number {
    const time = { nowMs: this.nowMs, wallMs: this.nowMs };
    const request = { holder: 'e', routeKey: routeKeyOf(route), maxItems, runMs: 1, runEvents: 1 };
    return this.dispenser.grant(this.jobs, request, time, (job) => this.routes.keyOf(job)).items
      .length;
  }

  commit(refs: readonly ItemRef[], isComplete: boolean): void {
    const finished = refs.map((ref) => ({ ...ref, state: 'complete' as const, text: 'done' }));
    const outcome = isComplete ? { finished, returned: [] } : { finished: [], returned: refs };
    this.dispenser.release('e', refs);
    this.apply({ type: 'commitRuns', atMs: this.nowMs, holder: 'e', failed: [], ...outcome });
  }

  /** Lets time pass in which an entry renews its leases. */
  async pass(durationMs: number, held: readonly ItemRef[] = []): Promise<void> {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += TICK_MS;
      this.dispenser.renew(this.jobs, 'e', held, this.nowMs);
      await this.task.run(this, this.jobs);
    }
  }

  becomeLeader(): void {
    this.dispenser.becameLeader(this.nowMs);
    this.task.becameLeader();
  }

  states(jobId: string): string[] {
    const results: readonly JobResult[] = this.jobs.results(jobId, 0, 1000)?.results ?? [];
    return results.map(({ itemId, state }) => `${itemId} ${state}`);
  }

  propose = (command: unknown): Promise<unknown> => {
    this.apply(command as WholeJobCommand);
    return Promise.resolve();
  };

  private learn(): void {
    this.fleet.applyDelta({
      position: { version: this.newest.version, leaveCount: 0 },
      configuration: this.newest,
      leaving: [],
      retiringStores: [],
    });
  }

  private apply(command: WholeJobCommand): void {
    this.logIndex += 1;
    this.jobs.apply(command, this.logIndex);
  }
}

const FIRST: readonly ItemRef[] = [{ jobId: 'j', index: 0 }];

describe('items of a removed route', () => {
  for (const version of [3, undefined]) {
    test(
      title(
        `are listed as errored, each once, and release their tokens (accepted under ${version})`,
      ),
      async (t) => {
        const leader = new Leader();
        leader.submit('j', 2, version);
        leader.put(5, [OTHER]);
        await leader.pass(4000);
        t.deepEqual(leader.states('j'), [], 'not before the delay');
        await leader.pass(LONG_MS);
        t.deepEqual(leader.states('j'), ['j-0 errored', 'j-1 errored']);
        t.is(leader.reads, 1);
        leader.put(7, [ROUTE]);
        leader.submit('k', 2, 7);
        t.is(leader.grant(ROUTE, 9), 2, 'the limit on tokens is free');
      },
    );
  }

  test(title('are not granted any more, also to an entry that lags behind'), (t) => {
    const leader = new Leader();
    leader.submit('j', 2, 3);
    leader.put(5, [OTHER]);
    t.deepEqual([leader.grant(ROUTE, 9), leader.grant(OTHER, 9)], [0, 0]);
  });

  test(
    title('that run are listed with their result, and those that are returned are not run again'),
    async (t) => {
      const leader = new Leader();
      leader.submit('j', 3, 3);
      t.is(leader.grant(ROUTE, 2), 2);
      leader.put(5, []);
      const second = { jobId: 'j', index: 1 };
      await leader.pass(LONG_MS, [...FIRST, second]);
      t.deepEqual(leader.states('j'), ['j-2 errored']);
      leader.commit(FIRST, true);
      leader.commit([second], false);
      await leader.pass(LONG_MS);
      t.deepEqual(leader.states('j'), ['j-2 errored', 'j-0 complete', 'j-1 errored']);
    },
  );

  test(
    title('are ended by a new leader only once the holders had time to renew their leases'),
    async (t) => {
      const leader = new Leader();
      leader.submit('j', 1, 3);
      t.is(leader.grant(ROUTE, 1), 1);
      leader.put(5, []);
      await leader.pass(LONG_MS, FIRST);
      leader.becomeLeader();
      await leader.pass(1000);
      await leader.pass(LONG_MS, FIRST);
      leader.commit(FIRST, true);
      t.deepEqual(leader.states('j'), ['j-0 complete']);
    },
  );
});

describe('items are not ended', () => {
  test(title('by a leader whose configuration is older than that of the job'), async (t) => {
    const leader = new Leader();
    leader.put(5, []);
    leader.put(7, [ROUTE], { isKnown: false });
    leader.submit('j', 1, 7);
    leader.mayRead = false;
    await leader.pass(LONG_MS);
    t.deepEqual(leader.states('j'), []);
    t.is(leader.grant(ROUTE, 1), 1, 'by the route that accepted it');
  });

  test(title('without a read through the quorum'), async (t) => {
    const leader = new Leader();
    leader.submit('j', 1, 3);
    leader.put(5, []);
    leader.mayRead = false;
    await leader.pass(LONG_MS);
    t.deepEqual(leader.states('j'), []);
    leader.mayRead = true;
    await leader.pass(LONG_MS);
    t.deepEqual(leader.states('j'), ['j-0 errored']);
  });

  for (const version of [7, undefined]) {
    test(
      title(`if the read shows that the route is back (accepted under ${version})`),
      async (t) => {
        const leader = new Leader();
        leader.put(5, []);
        leader.submit('j', 1, version);
        leader.put(7, [ROUTE], { isKnown: false });
        await leader.pass(LONG_MS);
        t.deepEqual(leader.states('j'), []);
        t.is(leader.grant(ROUTE, 1), 1);
      },
    );
  }

  test(title('before any configuration is known'), async (t) => {
    const leader = new Leader({ knowsConfiguration: false });
    leader.submit('j', 1, undefined);
    leader.mayRead = false;
    await leader.pass(LONG_MS);
    t.deepEqual(leader.states('j'), []);
    t.is(leader.grant(ROUTE, 1), 1, 'by the route that accepted it');
  });

  test(title('if the route is back within the delay, however often'), async (t) => {
    const leader = new Leader();
    leader.submit('j', 1, 3);
    for (let version = 5; version < 25; version += 2) {
      leader.put(version, []);
      await leader.pass(3000);
      leader.put(version + 1, [ROUTE]);
      await leader.pass(500);
    }
    t.deepEqual(leader.states('j'), []);
    t.is(leader.grant(ROUTE, 1), 1);
  });

  test(title('by a member that no longer leads'), async (t) => {
    const leader = new Leader();
    leader.submit('j', 1, 3);
    leader.put(5, []);
    leader.isLeader = false;
    await leader.pass(LONG_MS);
    t.deepEqual(leader.states('j'), []);
  });

  const successors: readonly { readonly change: string; readonly route: Route }[] = [
    {
      change: 'has moved to another service',
      route: jobRoute({ targets: [{ service: 'new', weight: 1 }] }),
    },
    { change: 'has another name', route: jobRoute({ name: 'renamed' }) },
    { change: 'has another prefix under its name', route: jobRoute({ pathPrefix: '/moved/' }) },
    {
      change: 'is replaced by one whose prefix covers its paths',
      route: jobRoute({ name: 'all', pathPrefix: '/' }),
    },
  ];
  for (const { change, route } of successors) {
    test(title(`if their route ${change}`), async (t) => {
      const leader = new Leader();
      leader.submit('j', 1, 3);
      leader.put(5, [route, OTHER]);
      await leader.pass(LONG_MS);
      t.deepEqual(leader.states('j'), []);
      t.deepEqual([leader.grant(OTHER, 1), leader.grant(route, 1)], [0, 1]);
    });
  }

  test(title('but they are if a route of another kind takes the prefix'), async (t) => {
    const leader = new Leader();
    leader.submit('j', 1, 3);
    leader.put(5, [jobRoute({ kind: 'stream' })]);
    await leader.pass(LONG_MS);
    t.deepEqual(leader.states('j'), ['j-0 errored']);
  });
});
