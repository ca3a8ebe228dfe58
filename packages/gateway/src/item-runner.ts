/**
 * Runs the items of batch jobs in slots that online requests leave free. Each endpoint is owned by
 * one entry, which alone runs batch work there. It stops items as soon as online requests need
 * their slots, and returns them with their progress so that any entry can resume them.
 */
import { chooseStreamsToStop } from '@shedline/batch';
import type { GroupCaller } from '@shedline/control-client';
import type { KnownFleet, Route } from '@shedline/fleet';
import type { GrantedItem } from '@shedline/fleet-control';
import { isBroken, loggedParts } from '@shedline/forwarding';
import type { EndpointProtocol, RequestSender, SendResult } from '@shedline/forwarding';
import type { Logger } from '@shedline/logger';
import type { SlotCandidate } from '@shedline/routing';
import type { ItemRef, ReturnedItem } from '@shedline/whole-jobs';
import type { CrashDetector } from './crash-detector.js';
import type { EndpointPool, LoadCount } from './endpoint-pool.js';
import { EndpointReservations } from './endpoint-reservations.js';
import type { Reservation } from './endpoint-reservations.js';
import { aloneCapacity, placeItems } from './item-placement.js';
import type { PlacementTarget } from './item-placement.js';
import { ItemRequester } from './item-requester.js';
import { ItemRun } from './item-run.js';
import { RunReporter } from './run-reporter.js';
import { SlotCheckTimer } from './slot-check-timer.js';
import { SlotPlanner } from './slot-planner.js';

const RENEW_INTERVAL_MS = 1000;
const RENEW_TIMEOUT_MS = 1500;
/**
 * Time for which an item that must run alone waits for the running items of its endpoint to end;
 * then they are stopped and returned with their progress, or the waiting item is returned if other
 * requests occupy the endpoint. Corresponds to a usual complete run, so that most items are not
 * interrupted.
 */
const MAX_RESERVATION_MS = 5000;
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

/** An item that is to run at an endpoint. */
type RunStart = Omit<Reservation, 'sinceMs'>;

/** Requests items from the stores and runs them. */
export class ItemRunner {
  private readonly options: ItemRunnerOptions;
  private readonly planner: SlotPlanner;
  private readonly checkTimer: SlotCheckTimer;
  private readonly requester: ItemRequester;
  private readonly reporter: RunReporter;
  private readonly runs = new Map<string, ItemRun>();
  private readonly reservations = new EndpointReservations();
  /** Usable endpoints of each service, as last observed. */
  private readonly usableByService = new Map<string, readonly SlotCandidate[]>();
  private readonly runningAt = (endpointId: string): number => this.runningCountAt(endpointId);
  /** Pending checks for a crash of the endpoint that ran an item; each ends by returning the item. */
  private readonly checks = new Set<Promise<void>>();
  private renewTimer: NodeJS.Timeout | undefined;
  private isDraining = false;
  /** Number of runs started by this process, which distinguishes several runs of an item. */
  private startedRunCount = 0;

  constructor(options: ItemRunnerOptions) {
    this.options = options;
    this.planner = new SlotPlanner(options.self);
    this.reporter = new RunReporter(options);
    this.checkTimer = new SlotCheckTimer({
      nowMs: options.nowMs,
      check: () => {
        this.checkSlots();
      },
    });
    this.requester = new ItemRequester({
      ...options,
      onGranted: (group, items, route) => {
        this.startGranted(group, items, route);
      },
      onEnded: (dueInMs) => {
        this.checkTimer.checkWithin(dueInMs);
      },
    });
  }

  /** Number of items that are running at this entry. */
  get runningCount(): number {
    return this.runs.size;
  }

  /** Starts the checks of free slots and the renewal of item leases. */
  start(): void {
    this.checkSlots();
    this.renewTimer = setInterval(() => {
      this.renew();
    }, RENEW_INTERVAL_MS);
  }

  /** Stops all items and returns them; resolves when results and returned items are reported. */
  async drain(): Promise<void> {
    this.isDraining = true;
    this.stopTimers();
    const runs = [...this.runs.values()];
    this.runs.clear();
    for (const run of runs) run.stop();
    for (const reservation of this.reservations.all) this.returnReserved(reservation);
    await Promise.all(runs.map(({ result }) => result));
    for (const run of runs) this.reporter.reportReturned(run.group, [returned(run)]);
    await Promise.all(this.checks);
    await this.reporter.flush();
  }

  /** Stops at once; what has not been returned or reported yet is abandoned. */
  close(): void {
    this.stopTimers();
    this.reporter.close();
  }

  /** Stops an item at an endpoint where an online request needs its slot. */
  yieldSlot(endpointId: string): void {
    this.stopExcess(endpointId, this.runsAt(endpointId).length - 1);
  }

  /** Stops items where the loads reported by another entry leave too few slots. */
  noteLoads(counts: readonly LoadCount[]): void {
    if (this.runs.size === 0) return;
    const isUrgent = counts.some(
      ({ endpointId, online }) =>
        online > 0 && this.planner.mayNeedSlot(endpointId, online, this.runningAt(endpointId)),
    );
    if (isUrgent) this.checkTimer.checkWithin(0);
  }

  /** Stops the items of a job that has ended. */
  stopJob(jobId: string): void {
    for (const run of this.runs.values()) {
      if (run.ref.jobId === jobId) this.dropRun(run, 'job ended');
    }
    this.reservations.removeItems((ref) => ref.jobId === jobId);
  }

  /** Returns the entry that runs batch work at an endpoint. */
  ownerOf(endpointId: string): string | undefined {
    return this.planner.ownerOf(endpointId);
  }

  private checkSlots(): void {
    this.observeSlots();
    for (const [endpointId, allowed] of this.planner.excess(this.runningAt))
      this.stopExcess(endpointId, allowed);
    this.startReserved();
    let grantDueInMs = Infinity;
    for (const route of this.jobRoutes()) {
      const targets = this.targetsOf(route);
      const wanted = targets.reduce((sum, { free }) => sum + free, 0);
      if (wanted === 0) continue;
      const maxAloneItems = aloneCapacity(targets, this.reservations.isEmpty);
      if (!this.isDraining) this.requester.request(route, wanted, maxAloneItems);
      grantDueInMs = Math.min(grantDueInMs, this.requester.dueInMs(route));
    }
    const ownsAny = this.planner.ownedEndpoints.length > 0;
    this.checkTimer.checked({ ownsAny, grantDueInMs });
  }

  private stopTimers(): void {
    clearInterval(this.renewTimer);
    this.checkTimer.stop();
  }

  private jobRoutes(): Route[] {
    const routes = this.options.fleet.routes?.configuration.routes ?? [];
    return routes.filter(({ kind }) => kind === 'jobs');
  }

  /** Passes the current load of the endpoints of all routes and runs to the planner. */
  private observeSlots(): void {
    const { pool, usersOf, nowMs } = this.options;
    // A service whose routes have moved or ended still runs items, which must yield their slots.
    const running = [...this.runs.values()].map(({ origin }) => origin.service);
    const services = new Set([...this.jobRoutes().flatMap(servicesOf), ...running]);
    this.usableByService.clear();
    const usable = new Map<string, SlotCandidate>();
    for (const service of services) {
      const candidates = pool.usableInSubset(service);
      this.usableByService.set(service, candidates);
      for (const candidate of candidates) usable.set(candidate.endpointId, candidate);
    }
    this.planner.observe(usable, usersOf, nowMs());
  }

  /** Returns the owned endpoints of a route at which items may start, as last observed. */
  private targetsOf(route: Route): PlacementTarget[] {
    const usable = servicesOf(route).flatMap((service) => this.usableByService.get(service) ?? []);
    const batch = new Map(usable.map((candidate) => [candidate.endpointId, candidate.batch]));
    const free = this.planner.free(batch.keys(), this.runningAt);
    return [...free]
      .filter(([endpointId]) => !this.isClosed(endpointId))
      .map(([endpointId, count]) => ({
        endpointId,
        free: count,
        running: batch.get(endpointId) ?? 0,
        origin: this.options.pool.originOf(endpointId),
      }));
  }

  /** Whether an endpoint is left to one item that must run alone. */
  private isClosed(endpointId: string): boolean {
    if (this.reservations.has(endpointId)) return true;
    return [...this.runs.values()].some(
      (run) => run.endpointId === endpointId && run.needsEndpointAlone,
    );
  }

  private runningCountAt(endpointId: string): number {
    let count = 0;
    for (const run of this.runs.values()) if (isRunningAt(run, endpointId)) count += 1;
    return count;
  }

  /** Whether an item of this entry is at an endpoint, also if it has been stopped. */
  private hasRunAt(endpointId: string): boolean {
    return [...this.runs.values()].some((run) => run.endpointId === endpointId);
  }

  private runsAt(endpointId: string): ItemRun[] {
    return [...this.runs.values()].filter((run) => isRunningAt(run, endpointId));
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

  /** Starts the granted items where they may start; returns the rest to the stores. */
  private startGranted(group: number, items: readonly GrantedItem[], route: Route): void {
    if (items.length === 0) return;
    this.observeSlots();
    const targets = this.isDraining ? [] : this.targetsOf(route);
    const placement = placeItems(items, targets, this.reservations.isEmpty);
    for (const { item, endpointId } of placement.starts)
      this.startRun({ group, granted: item, endpointId, route });
    for (const { item, endpointId } of placement.reservations)
      this.reserve({ group, granted: item, endpointId, route, sinceMs: this.options.nowMs() });
    if (placement.unplaced.length > 0)
      this.reporter.reportReturned(group, placement.unplaced.map(notStarted));
  }

  private reserve(reservation: Reservation): void {
    this.reservations.add(reservation);
    const { granted, endpointId } = reservation;
    this.options.logger.info('endpoint reserved for an item', {
      step: 'run item',
      request: granted.item.itemId,
      job: granted.jobId,
      index: granted.index,
      endpoint: endpointId,
      running: this.runningCountAt(endpointId),
    });
  }

  /** Starts the items whose reserved endpoint runs no other item, as last observed. */
  private startReserved(): void {
    for (const reservation of this.reservations.all) {
      const { endpointId, group, granted, route, sinceMs } = reservation;
      const free = this.planner.free([endpointId], this.runningAt).get(endpointId) ?? 0;
      if (!this.planner.ownedEndpoints.includes(endpointId)) this.returnReserved(reservation);
      else if (this.options.pool.batchAt(endpointId) === 0 && free > 0) {
        this.reservations.remove(endpointId);
        this.startRun({ group, granted, endpointId, route });
      } else if (this.options.nowMs() - sinceMs > MAX_RESERVATION_MS) {
        if (this.hasRunAt(endpointId)) this.stopExcess(endpointId, 0);
        else this.returnReserved(reservation);
      }
    }
  }

  private returnReserved({ endpointId, group, granted }: Reservation): void {
    this.reservations.remove(endpointId);
    this.reporter.reportReturned(group, [notStarted(granted)]);
  }

  private startRun({ group, granted, endpointId, route }: RunStart): void {
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
    const origin = pool.originOf(endpointId);
    const target = { endpointId, address, origin, sender, protocol, nowMs, onFirstEvent };
    const confirmServing = (runId: string): Promise<boolean> => pool.confirmServing(runId);
    const isWriterCertain = (runId: string, atMs: number): boolean =>
      pool.isWriterCertain(runId, atMs);
    const checks = { confirmServing, isWriterCertain };
    const run = new ItemRun({ runNumber, group, granted, ...target, ...checks });
    this.runs.set(keyOf(run.ref), run);
    if (run.droppedEvents > 0) this.logDroppedProgress(run);
    this.noteSharing(endpointId, 0);
    pool.batchChange(endpointId, 1);
    void run.result.then((result) => {
      this.onRunEnded(run, result, route);
    });
  }

  /** Notes in the runs at an endpoint whether more than `ownCount` items run there. */
  private noteSharing(endpointId: string, ownCount: 0 | 1): void {
    if (this.options.pool.batchAt(endpointId) <= ownCount) return;
    for (const run of this.runs.values()) if (run.endpointId === endpointId) run.noteShared();
  }

  private onRunEnded(run: ItemRun, result: SendResult, route: Route): void {
    const { pool } = this.options;
    this.noteSharing(run.endpointId, 1);
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
    const tookMs = this.options.nowMs() - run.startedAtMs;
    this.requester.noteRun(route, run.eventCount, run.isFromStart ? tookMs : undefined);
  }

  private runIdOf(run: ItemRun): string {
    return `${this.options.holder}/${keyOf(run.ref)}/${run.runNumber}`;
  }

  /** Returns an item whose run broke; the stores delay items that lost several endpoints. */
  private returnBroken(run: ItemRun): void {
    const check = this.options.crashDetector
      .hasCrashed(run.endpointId, run.address)
      .then((hasCrashed) => {
        if (hasCrashed) this.reportCrashed(run);
        else this.reporter.reportReturned(run.group, [returned(run)]);
        this.checks.delete(check);
      });
    this.checks.add(check);
  }

  private reportCrashed(run: ItemRun): void {
    const { jobId, index } = run.ref;
    const { hasBegun, isShared } = run;
    this.options.logger.info('endpoint crashed while running an item', {
      step: 'run item',
      request: run.granted.item.itemId,
      job: jobId,
      index,
      endpoint: run.endpointId,
      run: run.runNumber,
      mustRunAlone: run.granted.mustRunAlone,
      isShared,
      hasBegun,
    });
    const crashed = { runId: this.runIdOf(run), hasBegun };
    this.reporter.reportCrashed(run.group, returned(run), crashed);
  }

  private dropRun(run: ItemRun, reason: string): void {
    this.runs.delete(keyOf(run.ref));
    run.stop();
    const { jobId, index } = run.ref;
    this.options.logger.info('item dropped', { step: 'run item', job: jobId, index, reason });
  }

  private renew(): void {
    this.logState();
    for (const [group, refs] of this.refsByGroup()) void this.renewGroup(group, refs);
  }

  /** Returns the items that this entry holds, by group. */
  private refsByGroup(): Map<number, ItemRef[]> {
    const held = [
      ...[...this.runs.values()].map(({ group, ref }) => ({ group, ref })),
      ...this.reservations.all.map(({ group, granted: { jobId, index } }) => ({
        group,
        ref: { jobId, index },
      })),
    ];
    const refsByGroup = new Map<number, ItemRef[]>();
    for (const { group, ref } of held)
      refsByGroup.set(group, [...(refsByGroup.get(group) ?? []), ref]);
    return refsByGroup;
  }

  private async renewGroup(group: number, refs: readonly ItemRef[]): Promise<void> {
    const { stores, holder, logger } = this.options;
    const runs = refs.flatMap((ref) => this.runs.get(keyOf(ref)) ?? []);
    const body = { holder, refs };
    try {
      const raw = await stores.call('renewItems', group, { group, body }, RENEW_TIMEOUT_MS);
      const lost = new Set((raw as ItemRef[]).map(keyOf));
      for (const run of runs) {
        const isCurrent = this.runs.get(keyOf(run.ref)) === run;
        if (isCurrent && lost.has(keyOf(run.ref)))
          this.dropRun(run, 'over, or held by another entry');
      }
      this.reservations.removeItems((ref) => lost.has(keyOf(ref)));
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
      ownedEndpoints: this.planner.ownedEndpoints,
      waitingItems: this.requester.waitingItems(this.jobRoutes()),
    });
  }

  private logDroppedProgress({ ref, granted, endpointId, origin, droppedEvents }: ItemRun): void {
    this.options.logger.info('item starts again: its progress is of another software version', {
      step: 'run item',
      request: granted.item.itemId,
      job: ref.jobId,
      index: ref.index,
      endpoint: endpointId,
      ...origin,
      droppedEvents,
      progressVersion: granted.progress?.origin?.softwareVersion ?? 'unknown',
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
      softwareVersion: run.origin.softwareVersion,
      ...(run.sharedParts.length === 0 ? {} : { parts: loggedParts(run.sharedParts) }),
      run: run.runNumber,
      resumedAfterEvents: run.resumedAfterEvents,
      outcome,
      events: run.eventCount,
      tookMs: Math.round(this.options.nowMs() - run.startedAtMs),
      ...(result.kind === 'failure' ? { status: result.head.status } : {}),
    });
  }
}

function servicesOf(route: Route): string[] {
  return route.targets.filter(({ weight }) => weight > 0).map(({ service }) => service);
}

function isRunningAt(run: ItemRun, endpointId: string): boolean {
  return run.endpointId === endpointId && !run.isStopped;
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
