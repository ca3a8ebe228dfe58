/**
 * Runs the items of batch jobs in slots that online requests leave free. Each endpoint is owned by
 * one entry, which alone runs batch work there. It stops items as soon as online requests need
 * their slots, and returns them with their progress so that any entry can resume them.
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
import type { CrashDetector } from './crash-detector.js';
import type { EndpointPool } from './endpoint-pool.js';
import { ItemRun } from './item-run.js';
import { jobGroupOf, routeKeyOf } from './job-service.js';
import { RunReporter } from './run-reporter.js';

/** Time between two checks of the free slots. */
const SLOT_CHECK_INTERVAL_MS = 40;
/**
 * Time between requests for items in a small fleet: while items are waiting, and while none are.
 */
const GRANT_INTERVAL_MS = 60;
const IDLE_GRANT_INTERVAL_MS = 200;
/**
 * Number of entries with batch work up to which each sends requests at the full rate; with more,
 * the total rate stays constant. Only entries that can own an endpoint are counted: when all
 * 165 entries of a fleet with 52 endpoints were, a free slot waited 0.6 s for its next item.
 */
const ENTRIES_AT_FULL_GRANT_RATE = 16;
const GRANT_TIMEOUT_MS = 1000;
const RENEW_INTERVAL_MS = 1000;
const RENEW_TIMEOUT_MS = 1500;
/**
 * Wait before this entry takes over an endpoint from its previous owner. Two owners at a time would
 * only overfill the endpoint's queue, since an item is leased to one entry.
 */
const TAKEOVER_WAIT_MS = 400;
/**
 * Slots kept free for online requests: none, since a batch item yields its slot within a few ms.
 */
const RESERVED_SLOTS = 0;
/** Minimum time for which a slot has been free before an item starts in it. */
const SLOT_FREE_BEFORE_START_MS = 200;
/** Assumed duration of a complete item before one was observed. */
const INITIAL_RUN_MS = 5000;
/** Assumed number of events of a complete item before one was observed. */
const INITIAL_RUN_EVENTS = 200;
/** Weight of the newest run in the moving averages of duration and number of events. */
const RUN_SMOOTHING = 0.2;
/** Status of an item that cannot succeed at any endpoint. */
const UNPROCESSABLE_STATUS = 422;

/** Options of {@link ItemRunner}. */
export interface ItemRunnerOptions {
  /** Name of this incarnation of the entry, under which it leases items. */
  readonly holder: string;
  readonly self: string;
  readonly stores: GroupCaller;
  readonly fleet: KnownFleet;
  readonly pool: EndpointPool;
  readonly crashDetector: Pick<CrashDetector, 'hasCrashed'>;
  readonly sender: RequestSender;
  readonly protocol: EndpointProtocol;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Returns the names of the entries that may run batch work at an endpoint. */
  readonly usersOf: (endpointId: string) => readonly string[];
  /** Number of entries that run batch work, including this one. */
  readonly entryCount: () => number;
}

/** State of the item requests of one route. */
interface RouteState {
  lastRequestEndedAtMs: number;
  isRequesting: boolean;
  waitingItems: number;
  /** Moving average of the duration of a complete item. */
  runMs: number;
  /** Moving average of the number of events of an item. */
  runEvents: number;
}

/** Requests items from the stores and runs them. */
export class ItemRunner {
  private readonly options: ItemRunnerOptions;
  private readonly ownership: BatchOwnership;
  private readonly reporter: RunReporter;
  private readonly runs = new Map<string, ItemRun>();
  private readonly routes = new Map<string, RouteState>();
  private readonly peaks = new Map<string, RecentPeak>();
  /**
   * Pending checks for a crash of the endpoint that ran an item; each ends by returning the item.
   */
  private readonly crashChecks = new Set<Promise<void>>();
  private timers: NodeJS.Timeout[] = [];
  private isDraining = false;
  /** Number of runs started by this process, which distinguishes several runs of an item. */
  private startedRunCount = 0;

  constructor(options: ItemRunnerOptions) {
    this.options = options;
    this.ownership = new BatchOwnership({ self: options.self, takeoverWaitMs: TAKEOVER_WAIT_MS });
    this.reporter = new RunReporter(options);
  }

  /** Number of items that are running at this entry. */
  get runningCount(): number {
    return this.runs.size;
  }

  /** Starts the checks of free slots and the renewal of item leases. */
  start(): void {
    this.timers = [
      setInterval(() => {
        this.checkSlots();
      }, SLOT_CHECK_INTERVAL_MS),
      setInterval(() => {
        this.renew();
      }, RENEW_INTERVAL_MS),
    ];
  }

  /** Stops all items and returns them; resolves when results and returned items are reported. */
  async drain(): Promise<void> {
    this.isDraining = true;
    for (const timer of this.timers) clearInterval(timer);
    const runs = [...this.runs.values()];
    this.runs.clear();
    for (const run of runs) run.stop();
    for (const run of runs) this.reporter.reportReturned(run.group, [returned(run)]);
    await Promise.all(this.crashChecks);
    await this.reporter.flush();
  }

  /** Stops at once; what has not been returned or reported yet is abandoned. */
  close(): void {
    for (const timer of this.timers) clearInterval(timer);
    this.reporter.close();
  }

  /** Stops an item at an endpoint where an online request needs its slot. */
  yieldSlot(endpointId: string): void {
    this.stopExcess(endpointId, this.runsAt(endpointId).length - 1);
  }

  /** Stops the items of a job that has ended. */
  stopJob(jobId: string): void {
    for (const run of this.runs.values()) {
      if (run.ref.jobId === jobId) this.dropRun(run, 'job ended');
    }
  }

  /** Returns the entry that runs batch work at an endpoint. */
  ownerOf(endpointId: string): string | undefined {
    return this.ownership.ownerOf(endpointId);
  }

  private checkSlots(): void {
    const routes = this.options.fleet.routes?.configuration.routes ?? [];
    for (const route of routes) {
      if (route.kind === 'jobs') this.fillSlots(route);
    }
  }

  private fillSlots(route: Route): void {
    const free = this.freeSlots(route);
    const wanted = [...free.values()].reduce((sum, count) => sum + count, 0);
    if (wanted > 0) void this.requestItems(route, wanted);
  }

  /** Returns the free slots of owned endpoints, and stops items where too many are running. */
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
    const created = new RecentPeak({ windowMs: SLOT_FREE_BEFORE_START_MS });
    this.peaks.set(endpointId, created);
    return created;
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
    const initial = {
      lastRequestEndedAtMs: -Infinity,
      isRequesting: false,
      waitingItems: 0,
      runMs: INITIAL_RUN_MS,
      runEvents: INITIAL_RUN_EVENTS,
    };
    this.routes.set(key, initial);
    return initial;
  }

  private async requestItems(route: Route, maxItems: number): Promise<void> {
    const { stores, fleet, holder, logger, nowMs } = this.options;
    const state = this.stateOf(route);
    const isEarly = nowMs() - state.lastRequestEndedAtMs < this.grantIntervalMs(state);
    if (isEarly || state.isRequesting || this.isDraining || fleet.storeCluster === undefined)
      return;
    const group = jobGroupOf(route.host, fleet.storeCluster.jobGroupCount);
    const { runMs, runEvents } = state;
    const body = { holder, routeKey: routeKeyOf(route), maxItems, runMs, runEvents };
    state.isRequesting = true;
    try {
      const raw = await stores.call('grantItems', group, { group, body }, GRANT_TIMEOUT_MS);
      const grant = raw as GrantAnswer;
      state.waitingItems = grant.waitingItems;
      this.startGranted(group, grant.items, route);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      logger.debug('no items granted', { step: 'grant', group, reason });
    } finally {
      state.isRequesting = false;
      state.lastRequestEndedAtMs = nowMs();
    }
  }

  private grantIntervalMs({ waitingItems }: RouteState): number {
    const intervalMs = waitingItems > 0 ? GRANT_INTERVAL_MS : IDLE_GRANT_INTERVAL_MS;
    return intervalMs * Math.max(1, this.options.entryCount() / ENTRIES_AT_FULL_GRANT_RATE);
  }

  /** Starts the granted items in the slots that are still free; returns the rest to the stores. */
  private startGranted(group: number, items: readonly GrantedItem[], route: Route): void {
    const free = this.isDraining ? new Map<string, number>() : this.freeSlots(route);
    const remaining = [...items];
    for (const [endpointId, count] of free) {
      for (const granted of remaining.splice(0, count))
        this.startRun(group, granted, endpointId, route);
    }
    if (remaining.length > 0) this.reporter.reportReturned(group, remaining.map(notStarted));
  }

  private startRun(group: number, granted: GrantedItem, endpointId: string, route: Route): void {
    const { pool, sender, protocol, nowMs } = this.options;
    const address = pool.addressOf(endpointId);
    if (address === undefined) {
      this.reporter.reportReturned(group, [notStarted(granted)]);
      return;
    }
    this.startedRunCount += 1;
    const runNumber = this.startedRunCount;
    const onFirstEvent = (): void => {
      pool.noteResponseStarted(endpointId);
    };
    const target = { endpointId, address, sender, protocol, nowMs, onFirstEvent };
    const run = new ItemRun({ runNumber, group, granted, ...target });
    this.runs.set(keyOf(run.ref), run);
    pool.batchChange(endpointId, 1);
    void run.result.then((result) => {
      this.onRunEnded(run, result, route);
    });
  }

  private onRunEnded(run: ItemRun, result: SendResult, route: Route): void {
    const { pool } = this.options;
    pool.batchChange(run.endpointId, -1);
    pool.recordOutcome(run.endpointId, result, undefined);
    this.logRunEnd(run, result);
    if (this.runs.get(keyOf(run.ref)) !== run) return;
    this.runs.delete(keyOf(run.ref));
    if (result.kind === 'complete') {
      this.updateRunEstimates(run, route);
      this.reporter.reportFinished(run.group, { ...run.ref, state: 'complete', text: run.text });
    } else if (result.kind === 'failure' && result.head.status === UNPROCESSABLE_STATUS) {
      this.reporter.reportFinished(run.group, { ...run.ref, state: 'errored', text: '' });
    } else if (result.kind === 'failure') {
      this.reporter.reportFailed(run.group, { ...run.ref, runId: this.runIdOf(run) });
    } else if (isBroken(result)) {
      this.returnBroken(run);
    } else {
      this.reporter.reportReturned(run.group, [returned(run)]);
    }
    this.checkSlots();
  }

  private updateRunEstimates(run: ItemRun, route: Route): void {
    const state = this.stateOf(route);
    state.runEvents += RUN_SMOOTHING * (run.eventCount - state.runEvents);
    if (!run.isFromStart) return;
    const tookMs = this.options.nowMs() - run.startedAtMs;
    state.runMs += RUN_SMOOTHING * (tookMs - state.runMs);
  }

  private runIdOf(run: ItemRun): string {
    return `${this.options.holder}/${keyOf(run.ref)}/${run.runNumber}`;
  }

  /** Returns an item whose run broke; the stores count endpoint crashes by item, and limit them. */
  private returnBroken(run: ItemRun): void {
    const check = this.options.crashDetector
      .hasCrashed(run.endpointId, run.address)
      .then((hasCrashed) => {
        if (hasCrashed) this.reporter.reportCrashed(run.group, returned(run), this.runIdOf(run));
        else this.reporter.reportReturned(run.group, [returned(run)]);
        this.crashChecks.delete(check);
      });
    this.crashChecks.add(check);
  }

  private dropRun(run: ItemRun, reason: string): void {
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
        if (isCurrent && lost.has(keyOf(run.ref)))
          this.dropRun(run, 'over, or held by another entry');
      }
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      logger.debug('items not renewed', { step: 'renew', group, reason });
    }
  }

  /** Logs the state once a second while items are running, so that idle slots can be explained. */
  private logState(): void {
    if (this.runs.size === 0) return;
    this.options.logger.info('batch work', {
      step: 'run item',
      running: this.runs.size,
      ownedEndpoints: this.ownership.owned(this.options.nowMs()),
      waitingItems: [...this.routes.values()].reduce((sum, state) => sum + state.waitingItems, 0),
    });
  }

  private logRunEnd(run: ItemRun, result: SendResult): void {
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
