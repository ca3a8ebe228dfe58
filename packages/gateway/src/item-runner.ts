/**
 * Runs the items of batch jobs in the slots that online work leaves. Each endpoint has one entry
 * that runs batch work there; it stops items at once when online work wants their slots, and
 * hands them back with what they made so far, so that any entry can go on with them.
 */
import { BatchOwnership, RecentPeak, chooseStreamsToStop, spareSlots } from '@shedline/batch';
import type { GroupCaller } from '@shedline/control-client';
import type { KnownFleet, Route } from '@shedline/fleet';
import type { GrantAnswer, GrantedItem } from '@shedline/fleet-control';
import { isBroken } from '@shedline/forwarding';
import type { EndpointProtocol, RequestSender, SendResult } from '@shedline/forwarding';
import type { Logger } from '@shedline/logger';
import type { SlotCandidate } from '@shedline/routing';
import type { ItemRef, ReturnedItem } from '@shedline/whole-jobs';
import type { EndWatch } from './end-watch.js';
import type { EndpointPool } from './endpoint-pool.js';
import { ItemRun } from './item-run.js';
import { jobGroupOf, routeKeyOf } from './job-service.js';
import { RunReporter } from './run-reporter.js';

/** Time between looks at the slots. */
const TICK_MS = 40;
/** Time between requests for items while some wait, and while none do, in a small fleet. */
const ASK_INTERVAL_MS = 60;
const IDLE_ASK_INTERVAL_MS = 200;
/**
 * Entries with batch work up to which each asks that often; with more all together do not ask more. Counting all
 * entries, 165 with 52 endpoints, a slot that was free waited 0.6 s for its next item.
 */
const ENTRIES_ASKING_AT_FULL_RATE = 16;
const ASK_TIMEOUT_MS = 1000;
const RENEW_INTERVAL_MS = 1000;
const RENEW_TIMEOUT_MS = 1500;
/** Two owners at once for this long only fill an endpoint's queue; no item runs twice by it. */
const TAKEOVER_WAIT_MS = 400;
/** Slots left free for online requests: none, since an item yields its slot within a few ms. */
const RESERVED_SLOTS = 0;
/** A slot must have been free for this long before an item starts in it. */
const START_AFTER_MS = 200;
/** Time that a whole item is taken to need before one was seen. */
const FIRST_RUN_MS = 5000;
/** Events that a whole item is taken to have before one was seen. */
const FIRST_RUN_EVENTS = 200;
/** Weight of the newest whole run in the time that items are taken to need. */
const RUN_SMOOTHING = 0.2;
const CANNOT_BE_DONE_STATUS = 422;

/** Options of {@link ItemRunner}. */
export interface ItemRunnerOptions {
  /** Name of this run of the entry; holds items under it. */
  readonly holder: string;
  readonly self: string;
  readonly stores: GroupCaller;
  readonly fleet: KnownFleet;
  readonly pool: EndpointPool;
  readonly endWatch: Pick<EndWatch, 'hasEnded'>;
  readonly sender: RequestSender;
  readonly protocol: EndpointProtocol;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Names of the entries that may run batch work at an endpoint. */
  readonly usersOf: (endpointId: string) => readonly string[];
  /** Entries that run batch work, this one included. */
  readonly entryCount: () => number;
}

/** What is known of the jobs of one route. */
interface RouteState {
  askedAtMs: number;
  isAsking: boolean;
  waitingItems: number;
  /** Time that a whole item takes. */
  runMs: number;
  /** Events of a whole item. */
  runEvents: number;
}

/** Items under way at this entry. */
export class ItemRunner {
  private readonly options: ItemRunnerOptions;
  private readonly ownership: BatchOwnership;
  private readonly reporter: RunReporter;
  private readonly runs = new Map<string, ItemRun>();
  private readonly routes = new Map<string, RouteState>();
  private readonly peaks = new Map<string, RecentPeak>();
  /** Looks whether an endpoint has ended under an item, until that is handed back. */
  private readonly looks = new Set<Promise<void>>();
  private timers: NodeJS.Timeout[] = [];
  private draining = false;
  /** Runs begun by this process; an item may come here more than once, its runs stay apart. */
  private runsBegun = 0;

  constructor(options: ItemRunnerOptions) {
    this.options = options;
    this.ownership = new BatchOwnership({ self: options.self, takeoverWaitMs: TAKEOVER_WAIT_MS });
    this.reporter = new RunReporter(options);
  }

  /** Items that run here. */
  get runningCount(): number {
    return this.runs.size;
  }

  /** Starts. */
  start(): void {
    this.timers = [
      setInterval(() => {
        this.tick();
      }, TICK_MS),
      setInterval(() => {
        this.renew();
      }, RENEW_INTERVAL_MS),
    ];
  }

  /** Stops all items and hands them back; results that are done are still reported. */
  async drain(): Promise<void> {
    this.draining = true;
    for (const timer of this.timers) clearInterval(timer);
    const runs = [...this.runs.values()];
    this.runs.clear();
    for (const run of runs) run.stop();
    for (const run of runs) this.reporter.returned(run.group, [returned(run)]);
    await Promise.all(this.looks);
    await this.reporter.flush();
  }

  /** Ends at once, whatever has not been handed back or reported. */
  close(): void {
    for (const timer of this.timers) clearInterval(timer);
    this.reporter.close();
  }

  /** Makes room at an endpoint where an online request wants a slot. */
  slotWanted(endpointId: string): void {
    this.stopExcess(endpointId, this.runsAt(endpointId).length - 1);
  }

  /** Stops the items of a job that was ended. */
  jobEnded(jobId: string): void {
    for (const run of this.runs.values()) {
      if (run.ref.jobId === jobId) this.drop(run, 'job ended');
    }
  }

  /** The entry that runs batch work at an endpoint. */
  ownerOf(endpointId: string): string | undefined {
    return this.ownership.ownerOf(endpointId);
  }

  private tick(): void {
    const routes = this.options.fleet.routes?.configuration.routes ?? [];
    for (const route of routes) {
      if (route.kind === 'jobs') this.serveRoute(route);
    }
  }

  private serveRoute(route: Route): void {
    const free = this.freeSlots(route);
    const wanted = [...free.values()].reduce((sum, count) => sum + count, 0);
    if (wanted > 0) void this.ask(route, wanted);
  }

  /** Free slots at the endpoints that this entry owns; stops items where there are too many. */
  private freeSlots(route: Route): Map<string, number> {
    const nowMs = this.options.nowMs();
    const usable = this.usableFor(route);
    const endpointIds = usable.map(({ endpointId }) => endpointId);
    this.ownership.update(endpointIds, this.options.usersOf, nowMs);
    const owned = new Set(this.ownership.owned(nowMs));
    const free = new Map<string, number>();
    for (const { endpointId, online, slots } of usable) {
      if (!owned.has(endpointId)) continue;
      const running = this.runsAt(endpointId).length;
      const mayRun = spareSlots({ slots, online, reserve: RESERVED_SLOTS });
      const peak = this.peakOf(endpointId).note(online, nowMs);
      const mayStart = spareSlots({ slots, online: peak, reserve: RESERVED_SLOTS });
      if (running > mayRun) this.stopExcess(endpointId, mayRun);
      else if (running < mayStart) free.set(endpointId, mayStart - running);
    }
    return free;
  }

  private peakOf(endpointId: string): RecentPeak {
    const known = this.peaks.get(endpointId);
    if (known !== undefined) return known;
    const fresh = new RecentPeak({ windowMs: START_AFTER_MS });
    this.peaks.set(endpointId, fresh);
    return fresh;
  }

  private usableFor(route: Route): SlotCandidate[] {
    const services = route.targets.filter(({ weight }) => weight > 0);
    return services.flatMap(({ service }) => this.options.pool.usableInSubset(service));
  }

  private runsAt(endpointId: string): ItemRun[] {
    return [...this.runs.values()].filter((run) => run.endpointId === endpointId);
  }

  private stopExcess(endpointId: string, allowed: number): void {
    const streams = this.runsAt(endpointId).map((run) => ({
      streamId: keyOf(run.ref),
      startedAtMs: run.startedAtMs,
      tokens: run.eventCount,
      stoppable: true,
    }));
    for (const { streamId } of chooseStreamsToStop(streams, allowed)) {
      this.runs.get(streamId)?.stop();
    }
  }

  private stateOf(route: Route): RouteState {
    const key = routeKeyOf(route);
    const known = this.routes.get(key);
    if (known !== undefined) return known;
    const fresh = {
      askedAtMs: -Infinity,
      isAsking: false,
      waitingItems: 0,
      runMs: FIRST_RUN_MS,
      runEvents: FIRST_RUN_EVENTS,
    };
    this.routes.set(key, fresh);
    return fresh;
  }

  private async ask(route: Route, maxItems: number): Promise<void> {
    const { stores, fleet, holder, logger, nowMs } = this.options;
    const state = this.stateOf(route);
    const isEarly = nowMs() - state.askedAtMs < this.askIntervalMs(state);
    if (isEarly || state.isAsking || this.draining || fleet.storeCluster === undefined) return;
    const group = jobGroupOf(route.host, fleet.storeCluster.jobGroupCount);
    const { runMs, runEvents } = state;
    const body = { holder, routeKey: routeKeyOf(route), maxItems, runMs, runEvents };
    state.isAsking = true;
    try {
      const raw = await stores.call('grantItems', group, { group, body }, ASK_TIMEOUT_MS);
      const answer = raw as GrantAnswer;
      state.waitingItems = answer.waitingItems;
      this.startAll(group, answer.items, route);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      logger.debug('no items granted', { step: 'grant', group, reason });
    } finally {
      state.isAsking = false;
      state.askedAtMs = nowMs();
    }
  }

  private askIntervalMs({ waitingItems }: RouteState): number {
    const intervalMs = waitingItems > 0 ? ASK_INTERVAL_MS : IDLE_ASK_INTERVAL_MS;
    return intervalMs * Math.max(1, this.options.entryCount() / ENTRIES_ASKING_AT_FULL_RATE);
  }

  /** Starts what was granted where there is still room; the rest goes back. */
  private startAll(group: number, items: readonly GrantedItem[], route: Route): void {
    const free = this.draining ? new Map<string, number>() : this.freeSlots(route);
    const left = [...items];
    for (const [endpointId, count] of free) {
      for (const granted of left.splice(0, count)) this.startRun(group, granted, endpointId, route);
    }
    if (left.length > 0) this.reporter.returned(group, left.map(notStarted));
  }

  private startRun(group: number, granted: GrantedItem, endpointId: string, route: Route): void {
    const { pool, sender, protocol, nowMs } = this.options;
    const address = pool.addressOf(endpointId);
    if (address === undefined) {
      this.reporter.returned(group, [notStarted(granted)]);
      return;
    }
    this.runsBegun += 1;
    const runNumber = this.runsBegun;
    const onBegun = (): void => {
      pool.answers(endpointId);
    };
    const target = { endpointId, address, sender, protocol, nowMs, onBegun };
    const run = new ItemRun({ runNumber, group, granted, ...target });
    this.runs.set(keyOf(run.ref), run);
    pool.batchChange(endpointId, 1);
    void run.result.then((result) => {
      this.runEnded(run, result, route);
    });
  }

  private runEnded(run: ItemRun, result: SendResult, route: Route): void {
    const { pool } = this.options;
    pool.batchChange(run.endpointId, -1);
    pool.judge(run.endpointId, result, undefined);
    this.logEnd(run, result);
    if (this.runs.get(keyOf(run.ref)) !== run) return;
    this.runs.delete(keyOf(run.ref));
    if (result.kind === 'complete') {
      this.noteRunTime(run, route);
      this.reporter.finished(run.group, { ...run.ref, state: 'complete', text: run.text });
    } else if (result.kind === 'failure' && result.head.status === CANNOT_BE_DONE_STATUS) {
      this.reporter.finished(run.group, { ...run.ref, state: 'errored', text: '' });
    } else if (result.kind === 'failure') {
      this.reporter.failed(run.group, { ...run.ref, runId: this.runIdOf(run) });
    } else if (isBroken(result)) {
      this.handBackBroken(run);
    } else {
      this.reporter.returned(run.group, [returned(run)]);
    }
    this.tick();
  }

  private noteRunTime(run: ItemRun, route: Route): void {
    const state = this.stateOf(route);
    state.runEvents += RUN_SMOOTHING * (run.eventCount - state.runEvents);
    if (!run.isWhole) return;
    const tookMs = this.options.nowMs() - run.startedAtMs;
    state.runMs += RUN_SMOOTHING * (tookMs - state.runMs);
  }

  private runIdOf(run: ItemRun): string {
    return `${this.options.holder}/${keyOf(run.ref)}/${run.runNumber}`;
  }

  /** The stores count the ends of endpoints under an item, and hand it out again unless there were too many. */
  private handBackBroken(run: ItemRun): void {
    const look = this.options.endWatch.hasEnded(run.endpointId, run.address).then((hasEnded) => {
      if (hasEnded) this.reporter.crashed(run.group, returned(run), this.runIdOf(run));
      else this.reporter.returned(run.group, [returned(run)]);
      this.looks.delete(look);
    });
    this.looks.add(look);
  }

  private drop(run: ItemRun, reason: string): void {
    this.runs.delete(keyOf(run.ref));
    run.stop();
    const { jobId, index } = run.ref;
    this.options.logger.info('item dropped', { step: 'run item', job: jobId, index, reason });
  }

  private renew(): void {
    this.logState();
    for (const [group, runs] of byGroup(this.runs.values())) void this.renewGroup(group, runs);
  }

  private async renewGroup(group: number, runs: readonly ItemRun[]): Promise<void> {
    const { stores, holder, logger } = this.options;
    const body = { holder, refs: runs.map((run) => run.ref) };
    try {
      const raw = await stores.call('renewItems', group, { group, body }, RENEW_TIMEOUT_MS);
      const lost = new Set((raw as ItemRef[]).map(keyOf));
      for (const run of runs) {
        const isCurrent = this.runs.get(keyOf(run.ref)) === run;
        if (isCurrent && lost.has(keyOf(run.ref))) this.drop(run, 'over, or held by another entry');
      }
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      logger.debug('items not renewed', { step: 'renew', group, reason });
    }
  }

  /** One line a second while there is batch work, so that idle slots can be explained. */
  private logState(): void {
    if (this.runs.size === 0) return;
    this.options.logger.info('batch work', {
      step: 'run item',
      running: this.runs.size,
      ownedEndpoints: this.ownership.owned(this.options.nowMs()),
      waitingItems: [...this.routes.values()].reduce((sum, state) => sum + state.waitingItems, 0),
    });
  }

  private logEnd(run: ItemRun, result: SendResult): void {
    const outcome = result.kind === 'ended' ? result.outcome.kind : result.kind;
    const { jobId, index } = run.ref;
    this.options.logger.info('item run ended', {
      step: 'run item',
      request: run.granted.item.itemId,
      job: jobId,
      index,
      endpoint: run.endpointId,
      run: run.runNumber,
      outcome,
      events: run.eventCount,
      tookMs: Math.round(this.options.nowMs() - run.startedAtMs),
      ...(result.kind === 'failure' ? { status: result.head.status } : {}),
    });
  }
}

function keyOf(ref: ItemRef): string {
  return `${ref.jobId}|${ref.index}`;
}

function returned(run: ItemRun): ReturnedItem {
  const { progress } = run;
  return { ...run.ref, ...(progress === undefined ? {} : { progress }) };
}

function notStarted({ jobId, index, progress }: GrantedItem): ReturnedItem {
  return { jobId, index, ...(progress === undefined ? {} : { progress }) };
}

function byGroup(runs: Iterable<ItemRun>): Map<number, ItemRun[]> {
  const groups = new Map<number, ItemRun[]>();
  for (const run of runs) {
    const own = groups.get(run.group) ?? [];
    own.push(run);
    groups.set(run.group, own);
  }
  return groups;
}
