import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import type { GroupCaller } from '@shedline/control-client';
import { KnownFleet, routeKeyOf } from '@shedline/fleet';
import type { Route } from '@shedline/fleet';
import type {
  EndpointProtocol,
  RequestSender,
  RunningSend,
  SendResult,
} from '@shedline/forwarding';
import { createLogger } from '@shedline/logger';
import { MemoryItemFiles } from '@shedline/storage';
import { describe, title } from '@shedline/test-utils';
import { ItemDispenser, WholeJobs } from '@shedline/whole-jobs';
import type { CommitRuns, ItemRef, ItemRequest, ReturnedItem } from '@shedline/whole-jobs';
import { EndpointPool } from './endpoint-pool.js';
import { ItemRunner } from './item-runner.js';

const HOST = 'host.example';
const PREFIX = '/jobs/';
const HOLDER = 'entry/1';
const MAX_ATTEMPTS = 3;
/** Slots of the endpoint. */
const SLOTS = 4;

const ROUTE = {
  name: 'jobs',
  host: HOST,
  pathPrefix: PREFIX,
  kind: 'jobs',
  targets: [{ service: 'svc', weight: 1 }],
  timeLimitMs: 15_000,
  targetMs: 400,
  rank: 2,
  maxAttempts: MAX_ATTEMPTS,
  isResumable: true,
  longestPauseMs: 200,
  jobs: { resultsDueMs: 18_000, keepItemsMs: 60_000, maxWaitingTokens: 0 },
} as const;

/** In-memory stores with one group. */
class FakeStores implements GroupCaller {
  readonly jobs = new WholeJobs(new MemoryItemFiles());
  readonly returned: ReturnedItem[] = [];
  private readonly dispenser = new ItemDispenser({ leaseMs: 4000 });
  private logIndex = 0;
  private readonly nowMs: () => number;

  constructor(nowMs: () => number) {
    this.nowMs = nowMs;
  }

  submit(itemIds: readonly string[]): void {
    this.logIndex += 1;
    this.jobs.apply(
      {
        type: 'submitJob',
        atMs: this.nowMs(),
        jobId: 'job',
        host: HOST,
        path: `${PREFIX}1`,
        quotaKey: routeKeyOf(ROUTE),
        maxWaitingTokens: 0,
        resultsDueMs: 18_000,
        keepItemsMs: 60_000,
        maxAttempts: MAX_ATTEMPTS,
        items: itemIds.map((itemId) => ({
          itemId,
          path: `${PREFIX}1/${itemId}`,
          headers: [],
          body: Buffer.from('body'),
          tokens: 10,
        })),
      },
      this.logIndex,
    );
  }

  /** Reports two crashes during runs of the first item beside others. */
  suspectFirstItem(): void {
    const crash = { jobId: 'job', index: 0, hasBegun: true };
    const sharedCrashes = ['r1', 'r2'].map((runId) => ({ ...crash, runId }));
    const runs = { holder: 'other', finished: [], failed: [], returned: [], sharedCrashes };
    this.handle('commitRuns', runs);
  }

  call(method: string, _group: number, payload: unknown): Promise<unknown> {
    const { body } = payload as { body: never };
    return Promise.resolve(this.handle(method, body));
  }

  private handle(method: string, body: unknown): unknown {
    const request = body as ItemRequest & { refs: ItemRef[] };
    if (method === 'grantItems') {
      const time = { nowMs: this.nowMs(), wallMs: this.nowMs() };
      const granted = this.dispenser.grant(this.jobs, request, time);
      const items = granted.items.map(({ job, index, mustRunAlone, progress }) => ({
        ...job.identity,
        dueAtMs: job.dueAtMs,
        index,
        item: job.item(index),
        mustRunAlone,
        progress,
      }));
      return { items, waitingItems: 0 };
    }
    if (method === 'renewItems') {
      return this.dispenser.renew(this.jobs, request.holder, request.refs, this.nowMs());
    }
    this.logIndex += 1;
    const command = { ...(body as CommitRuns), type: 'commitRuns' as const, atMs: this.nowMs() };
    const result = this.jobs.apply(command, this.logIndex);
    this.dispenser.release(command.holder, [...command.failed, ...command.returned]);
    this.returned.push(...command.returned);
    return result;
  }
}

/** Sender with scripted results. */
class FakeSender implements RequestSender {
  attempts = 0;
  private readonly resultOf: (itemId: string) => SendResult;

  constructor(resultOf: (itemId: string) => SendResult) {
    this.resultOf = resultOf;
  }

  send(send: { readonly requestId: string }): RunningSend {
    this.attempts += 1;
    const result = pause(5).then(() => this.resultOf(send.requestId));
    return { result, stop: () => undefined, resume: () => undefined };
  }
}

/** Duration of a run at a {@link CrashingEndpoint}. */
const RUN_MS = 30;
/** Time from the start of an item that crashes the endpoint to the crash. */
const CRASH_AFTER_MS = 10;

/** An endpoint that crashes, with all its runs, whenever it has started to run one of the items. */
class CrashingEndpoint implements RequestSender {
  crashCount = 0;
  /** Ids of the items that ran beside each item. */
  private readonly besides = new Map<string, Set<string>>();
  private readonly crashingItemId: string | undefined;
  private readonly settleByItem = new Map<string, (result: SendResult) => void>();

  constructor(crashingItemId?: string) {
    this.crashingItemId = crashingItemId;
  }

  send({ requestId }: { readonly requestId: string }): RunningSend {
    let settle: (result: SendResult) => void = () => undefined;
    const result = new Promise<SendResult>((resolve) => (settle = resolve));
    for (const other of this.settleByItem.keys()) {
      this.besidesOf(other).add(requestId);
      this.besidesOf(requestId).add(other);
    }
    this.settleByItem.set(requestId, settle);
    const isCrashing = requestId === this.crashingItemId;
    const timer = setTimeout(
      () => {
        if (isCrashing) this.crash();
        else this.end(requestId, { kind: 'complete' });
      },
      isCrashing ? CRASH_AFTER_MS : RUN_MS,
    );
    void result.then(() => {
      clearTimeout(timer);
    });
    const stop = (): void => {
      this.end(requestId, { kind: 'stopped' });
    };
    return { result, stop, resume: () => undefined };
  }

  besidesOf(itemId: string): Set<string> {
    const known = this.besides.get(itemId) ?? new Set();
    this.besides.set(itemId, known);
    return known;
  }

  private crash(): void {
    this.crashCount += 1;
    for (const itemId of [...this.settleByItem.keys()])
      this.end(itemId, { kind: 'ended', outcome: { kind: 'lost', reason: 'reset' } });
  }

  private end(itemId: string, result: SendResult): void {
    this.settleByItem.get(itemId)?.(result);
    this.settleByItem.delete(itemId);
  }
}

const HEAD = {
  headers: [],
  requestId: undefined,
  isNotExecuted: false,
  isSigned: true,
  isEventStream: false,
  endsWithConnection: false,
};

const PROTOCOL: EndpointProtocol = {
  sharedPartsOf: () => [],
  sendHeaders: () => [],
  readHead: (status) => ({ ...HEAD, status }),
};

function createPool(): EndpointPool {
  const pool = new EndpointPool({
    availabilityZone: 'z',
    heartbeatMs: 60_000,
    random: Math.random,
    nowMs: () => performance.now(),
    isLeaving: () => false,
    inSubset: () => new Set(['e1']),
    userCount: () => 1,
    entryCount: () => 1,
    sameProcessSinceMs: () => Infinity,
    onWriterInDoubt: () => undefined,
    onLoadChange: () => undefined,
    onSlotWanted: () => undefined,
    onTimeout: () => undefined,
    onRunReplaced: () => undefined,
  });
  const heartbeat = {
    endpointId: 'e1',
    startedAtMs: 0,
    service: 'svc',
    address: '127.0.0.1:1',
    availabilityZone: 'z',
    slots: SLOTS,
    warmUpLeftMs: 0,
    sequence: 1,
  };
  pool.observeHeartbeats([{ heartbeat, ageMs: 0 }]);
  return pool;
}

interface RunnerOptions {
  readonly hasCrashed?: boolean;
  readonly nowMs?: () => number;
  readonly pool?: EndpointPool;
  readonly fleet?: KnownFleet;
}

/** A fleet whose configuration has the route. */
function createFleet(): KnownFleet {
  const fleet = new KnownFleet();
  putRoutes(fleet, 1, [ROUTE]);
  return fleet;
}

function putRoutes(fleet: KnownFleet, version: number, routes: readonly Route[]): void {
  fleet.applyDelta({
    position: { version, leaveCount: 0 },
    leaving: [],
    retiringStores: [],
    configuration: {
      version,
      routes,
      services: [{ name: 'svc', healthPath: '/', maxConnections: 10 }],
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    },
    stores: { clusterId: 'c', initialMembers: [], jobGroupCount: 1, voterCount: 1 },
  });
}

function createRunner(
  stores: FakeStores,
  sender: RequestSender,
  {
    hasCrashed = false,
    nowMs = () => performance.now(),
    pool = createPool(),
    fleet = createFleet(),
  }: RunnerOptions = {},
): ItemRunner {
  return new ItemRunner({
    holder: HOLDER,
    self: 'entry',
    stores,
    fleet,
    pool,
    crashDetector: { hasCrashed: () => Promise.resolve(hasCrashed) },
    sender,
    protocol: PROTOCOL,
    logger: createLogger({ level: 'silent' }),
    nowMs,
    usersOf: () => ['entry'],
    entryCount: () => 1,
  });
}

async function untilJobEnds(stores: FakeStores): Promise<void> {
  while (stores.jobs.get('job')?.isOpen === true) await pause(10);
}

describe('item runner', () => {
  test(
    title('returns an item with its progress if the response of its endpoint breaks'),
    async (t) => {
      const stores = new FakeStores(() => performance.now());
      const sender: RequestSender = {
        send: (_send, receiver) => {
          receiver.onPart(Buffer.alloc(0), { bytes: Buffer.from('id: 1\ndata: a\n\n'), id: '1' });
          const outcome = { kind: 'brokeOff', reason: 'reset' } as const;
          const result = Promise.resolve({ kind: 'ended', outcome } as const);
          return { result, stop: () => undefined, resume: () => undefined };
        },
      };
      const runner = createRunner(stores, sender);
      stores.submit(['a']);
      runner.start();
      while (stores.returned.length === 0) await pause(10);
      await runner.drain();
      t.deepEqual(stores.returned[0], {
        jobId: 'job',
        index: 0,
        progress: {
          pieces: ['a'],
          lastEventId: '1',
          origin: { service: 'svc', softwareVersion: '' },
        },
      });
    },
  );

  test(title('fails an item after as many failed runs as the route allows'), async (t) => {
    const stores = new FakeStores(() => performance.now());
    const sender = new FakeSender(() => ({
      kind: 'failure',
      head: { ...HEAD, status: 500 },
      body: Buffer.alloc(0),
    }));
    const runner = createRunner(stores, sender);
    stores.submit(['a']);
    runner.start();
    await untilJobEnds(stores);
    await runner.drain();
    t.is(sender.attempts, MAX_ATTEMPTS);
    t.deepEqual(stores.jobs.results('job', 0, 1000)?.results, [
      { itemId: 'a', state: 'errored', text: '' },
    ]);
  });

  // Guards against an accepted item that is given up because its endpoints ended.
  test(title('completes an item that lost its endpoint five times'), async (t) => {
    const stores = new FakeStores(() => performance.now() * 20);
    const lost = { kind: 'ended', outcome: { kind: 'lost', reason: 'reset' } } as const;
    const sender: FakeSender = new FakeSender(() =>
      sender.attempts <= 5 ? lost : { kind: 'complete' },
    );
    const runner = createRunner(stores, sender, { hasCrashed: true });
    stores.submit(['a']);
    runner.start();
    await untilJobEnds(stores);
    await runner.drain();
    t.is(sender.attempts, 6);
    t.deepEqual(stores.jobs.results('job', 0, 1000)?.results, [
      { itemId: 'a', state: 'complete', text: '' },
    ]);
  });

  // Guards against harmless items that are given up because they started beside the item that
  // crashed the endpoint, each time.
  test(title('completes the items beside one that crashes the endpoint'), async (t) => {
    const stores = new FakeStores(() => performance.now() * 20);
    const endpoint = new CrashingEndpoint('bad');
    const runner = createRunner(stores, endpoint, { hasCrashed: true });
    stores.submit(['a', 'bad', 'b', 'c']);
    runner.start();
    const results = () => stores.jobs.results('job', 0, 1000)?.results ?? [];
    while (results().length < 3) await pause(10);
    t.true(endpoint.crashCount <= 4, `${endpoint.crashCount} crashes`);
    while (endpoint.crashCount < 5) await pause(10);
    await runner.drain();
    t.deepEqual(
      results()
        .map(({ itemId, state }) => `${itemId} ${state}`)
        .sort(),
      ['a complete', 'b complete', 'c complete'],
    );
    t.true(stores.jobs.get('job')?.mayRun(1), 'still owed');
  });

  test(title('runs a suspected item alone at an endpoint that it waits for'), async (t) => {
    const stores = new FakeStores(() => performance.now() * 20);
    const endpoint = new CrashingEndpoint();
    const runner = createRunner(stores, endpoint);
    const itemIds = Array.from({ length: 40 }, (_, number) => `item ${number}`);
    stores.submit(['suspect', ...itemIds]);
    stores.suspectFirstItem();
    runner.start();
    await untilJobEnds(stores);
    await runner.drain();
    t.deepEqual([...endpoint.besidesOf('suspect')], []);
    t.true(itemIds.some((itemId) => endpoint.besidesOf(itemId).size > 0));
    const { results = [] } = stores.jobs.results('job', 0, 10_000) ?? {};
    t.true(results.every(({ state }) => state === 'complete'));
  });

  // Guards against a suspected item that waits for as long as the items of its endpoint run.
  test(title('stops the items of an endpoint that a suspected item has waited for'), async (t) => {
    const skippedMs = { stores: 0, runner: 0 };
    const stores = new FakeStores(() => performance.now() + skippedMs.stores);
    const running = new Set<string>();
    let besideSuspect: string[] | undefined;
    const sender: RequestSender = {
      send: ({ requestId }) => {
        if (requestId === 'suspect') besideSuspect = [...running];
        running.add(requestId);
        let settle: (result: SendResult) => void = () => undefined;
        const result = new Promise<SendResult>((resolve) => (settle = resolve));
        const stop = (): void => {
          running.delete(requestId);
          settle({ kind: 'stopped' });
        };
        return { result, stop, resume: () => undefined };
      },
    };
    const nowMs = (): number => performance.now() + skippedMs.runner;
    const runner = createRunner(stores, sender, { nowMs });
    stores.submit(['suspect', 'a', 'b', 'c']);
    stores.suspectFirstItem();
    runner.start();
    while (running.size < 3) await pause(10);
    skippedMs.stores = 4000;
    await pause(500);
    t.is(besideSuspect, undefined);
    skippedMs.runner = 5001;
    while (besideSuspect === undefined) await pause(10);
    t.deepEqual(besideSuspect, []);
    await runner.drain();
  });

  test(title('does not retry an item that cannot succeed'), async (t) => {
    const stores = new FakeStores(() => performance.now());
    const sender = new FakeSender(() => ({
      kind: 'failure',
      head: { ...HEAD, status: 422 },
      body: Buffer.alloc(0),
    }));
    const runner = createRunner(stores, sender);
    stores.submit(['a', 'b']);
    runner.start();
    await untilJobEnds(stores);
    await runner.drain();
    t.is(sender.attempts, 2);
  });

  // Guards against an online request that waits behind items until the next scheduled check.
  for (const isRemoved of [false, true]) {
    const when = isRemoved ? ' after the removal of their route' : '';
    test(
      title(`stops items at once where another entry reports online requests${when}`),
      async (t) => {
        let skippedMs = 0;
        const nowMs = (): number => performance.now() + skippedMs;
        const stores = new FakeStores(nowMs);
        const pool = createPool();
        let running = 0;
        const sender: RequestSender = {
          send: () => {
            running += 1;
            let settle: (result: SendResult) => void = () => undefined;
            const result = new Promise<SendResult>((resolve) => (settle = resolve));
            const stop = (): void => {
              running -= 1;
              settle({ kind: 'stopped' });
            };
            return { result, stop, resume: () => undefined };
          },
        };
        const fleet = createFleet();
        const runner = createRunner(stores, sender, { nowMs, pool, fleet });
        stores.submit(['a', 'b', 'c', 'd']);
        runner.start();
        while (running < SLOTS) await pause(10);
        if (isRemoved) {
          putRoutes(fleet, 2, []);
          // The free slots are checked at least this often.
          await pause(1000);
        }
        skippedMs += 100;
        const [endpointId = ''] = pool.ownLoads().map((load) => load.endpointId);
        const loads = [{ endpointId, online: 3, batch: 0 }];
        pool.observePeerLoads('other', loads);
        runner.noteLoads(loads);
        t.is(running, 1);
        await runner.drain();
      },
    );
  }
});
