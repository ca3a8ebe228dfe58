/**
 * Runs batch items on the endpoints that this entry owns, in the capacity that online work leaves
 * free, and stops them immediately when online work arrives.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { BatchHeadroom, BatchOwnership, chooseStreamsToStop } from '@shedline/batch';
import type { FreeSlots } from '@shedline/batch';
import type { ControlClient } from '@shedline/control-client';
import type { KnownEndpoint } from '@shedline/directory';
import type { Logger } from '@shedline/logger';
import type { BurnRecorder, EntryMetrics } from '@shedline/metrics';
import type { ServiceRow } from '@shedline/types';
import type { EndpointDriver } from './endpoint-driver.js';
import type { FleetView } from './fleet-view.js';
import { HeldItems } from './held-items.js';
import type { HeldItem } from './held-items.js';
import { runItem } from './item-run.js';
import type { ItemRunOutcome } from './item-run.js';
import { ResultCommitter } from './result-committer.js';
import type { ServiceCalls } from './service-calls.js';
import { WorkSource } from './work-source.js';

const TICK_INTERVAL_MS = 20;
/** Interval of ticks while no item runs or waits. */
const IDLE_TICK_INTERVAL_MS = 100;
const OWNERSHIP_INTERVAL_MS = 500;
const RENEW_INTERVAL_MS = 1500;
/**
 * Time for which an unrenewed lease is considered valid. It is shorter than the lease in the store,
 * so that streams stop before their items are granted to other entries.
 */
const LEASE_VALIDITY_MS = 4500;
/** Time after which an item that finds no free slot is returned to its job. */
const MAX_QUEUED_MS = 3000;
/** Slots of a plain service; it has no engine whose online latency must be protected. */
const PLAIN_SERVICE_SLOTS = 8;

/** Options of {@link BatchRunner}. */
export interface BatchRunnerOptions {
  /** Name of the entry, by which the ownership of endpoints is assigned. */
  readonly entry: string;
  /** Name of this process as a lease holder; changes with every restart. */
  readonly leaseOwner: string;
  readonly control: ControlClient;
  readonly fleet: FleetView;
  readonly driver: EndpointDriver;
  readonly serviceCalls: ServiceCalls;
  readonly logger: Logger;
  readonly burn: BurnRecorder;
  readonly metrics: EntryMetrics;
  /** 0 protects online latency most, 1 favours batch throughput most. */
  readonly dial: number;
  readonly random: () => number;
  readonly nowMs: () => number;
  /** Returns the live entries that share the endpoints of this one. */
  readonly liveEntries: () => readonly string[];
  readonly nextRequestId: () => string;
}

interface Stream {
  readonly streamId: string;
  readonly endpointId: string;
  readonly startedAtMs: number;
  readonly stoppable: boolean;
  readonly held: HeldItem;
  readonly abort: AbortController;
  tokens: number;
}

/** Runs the batch work of one entry. */
export class BatchRunner {
  private readonly options: BatchRunnerOptions;
  private readonly ownership: BatchOwnership;
  private readonly held = new HeldItems();
  private readonly committer: ResultCommitter;
  private readonly headrooms = new Map<string, BatchHeadroom>();
  private readonly streams = new Map<string, Stream>();
  private readonly source: WorkSource;
  private timers: NodeJS.Timeout[] = [];
  private draining = false;

  constructor(options: BatchRunnerOptions) {
    this.options = options;
    this.ownership = new BatchOwnership({ self: options.entry });
    this.committer = new ResultCommitter({
      control: options.control,
      owner: options.leaseOwner,
      logger: options.logger,
    });
    this.source = new WorkSource({
      ...options,
      entryCount: () => options.liveEntries().length,
      onLease: (group, lease, requestedAtMs) => {
        this.held.add(group, [lease], requestedAtMs);
      },
      onNotStarted: (group, jobId, indexes) => {
        for (const index of indexes) {
          const cause = 'start not confirmed';
          this.committer.addReturn(group, { jobId, index, reason: 'notRun', cause });
        }
      },
    });
  }

  /** Number of running batch streams. */
  get running(): number {
    return this.streams.size;
  }

  /** Starts the loops and timers. */
  start(): void {
    void this.runTickLoop();
    this.every(OWNERSHIP_INTERVAL_MS, () => {
      this.updateOwnership();
    });
    this.every(RENEW_INTERVAL_MS, () => {
      void this.renewLeases();
    });
    this.every(1000, () => {
      this.source.updateRates();
    });
    void this.runRequestLoop();
  }

  /** Returns the entry that owns the batch work on an endpoint. */
  ownerOf(endpointId: string): string | undefined {
    return this.ownership.ownerOf(endpointId);
  }

  /** Stops batch streams on an endpoint that exceed the capacity left by its online work. */
  yieldToOnline(endpointId: string): void {
    const streams = this.streamsAt(endpointId);
    if (streams.length === 0) return;
    const allowed = this.allowedStreamsAt(endpointId);
    for (const stream of chooseStreamsToStop(streams, allowed)) {
      this.streams.get(stream.streamId)?.abort.abort();
    }
  }

  /**
   * Returns the items that have not started, stops idempotent running items, waits for the others
   * to finish, and commits the results.
   */
  async drain(timeoutMs: number): Promise<void> {
    this.draining = true;
    for (const held of this.held.takeAllWaiting()) this.returnUnfinished(held, 'planned stop');
    for (const stream of this.streams.values()) {
      if (stream.stoppable) stream.abort.abort();
    }
    const deadlineMs = this.options.nowMs() + timeoutMs;
    while (this.streams.size + this.committer.pending > 0 && this.options.nowMs() < deadlineMs) {
      await pause(TICK_INTERVAL_MS);
    }
    this.stop();
  }

  /** Stops immediately, without committing. */
  stop(): void {
    this.draining = true;
    for (const timer of this.timers) clearInterval(timer);
    this.timers = [];
    this.committer.stop();
    for (const stream of this.streams.values()) stream.abort.abort();
  }

  private every(intervalMs: number, work: () => void): void {
    this.timers.push(setInterval(work, intervalMs));
  }

  private updateOwnership(): void {
    const nowMs = this.options.nowMs();
    const live = this.options.fleet.endpoints.live(nowMs);
    const ids = live.map(({ announcement }) => announcement.endpointId);
    const liveEntries = this.options.liveEntries();
    this.ownership.update(ids, () => liveEntries, nowMs);
  }

  private async runTickLoop(): Promise<void> {
    while (!this.draining) {
      this.tick();
      await pause(this.tickIntervalMs());
    }
  }

  private tickIntervalMs(): number {
    const isIdle = this.streams.size + this.held.waitingCount === 0 && !this.source.hasWork;
    return isIdle ? IDLE_TICK_INTERVAL_MS : TICK_INTERVAL_MS;
  }

  private tick(): void {
    const nowMs = this.options.nowMs();
    for (const held of this.held.takeOverdue(nowMs - MAX_QUEUED_MS)) {
      this.returnUnfinished(held, 'no room');
    }
    for (const endpoint of this.ownedEndpoints(nowMs)) {
      const { endpointId } = endpoint.announcement;
      this.yieldToOnline(endpointId);
      this.startStreams(endpoint);
    }
    this.options.metrics.setOpenRequests('batch', this.streams.size);
  }

  private ownedEndpoints(nowMs: number): KnownEndpoint[] {
    const { endpoints } = this.options.fleet;
    return this.ownership
      .owned(nowMs)
      .filter((endpointId) => endpoints.isUsable(endpointId, nowMs))
      .flatMap((endpointId) => endpoints.get(endpointId) ?? []);
  }

  private streamsAt(endpointId: string): Stream[] {
    return [...this.streams.values()].filter((stream) => stream.endpointId === endpointId);
  }

  private allowedStreamsAt(endpointId: string): number {
    const { fleet, nowMs, dial } = this.options;
    const endpoint = fleet.endpoints.get(endpointId);
    if (endpoint === undefined) return 0;
    if (endpoint.announcement.kind === 'plain') return PLAIN_SERVICE_SLOTS;
    let headroom = this.headrooms.get(endpointId);
    if (headroom === undefined) {
      headroom = new BatchHeadroom({ dial });
      this.headrooms.set(endpointId, headroom);
    }
    const now = nowMs();
    const row = this.rowsFor(endpoint)[0];
    if (row === undefined) return 0;
    const learnedLimit = fleet.limitOf(endpointId, row).value;
    const online = Math.round(fleet.loads.online(endpointId, now, false));
    const capacity = Math.min(learnedLimit, endpoint.announcement.load.capacity);
    return headroom.allowance({ online, capacity, ...row.batch }, now);
  }

  private rowsFor(endpoint: KnownEndpoint): ServiceRow[] {
    const { models, services } = endpoint.announcement;
    return this.options.fleet.table.rows.filter(
      (row) =>
        row.models.some((model) => models.includes(model)) ||
        services.includes(`${row.workspace}/${row.service}`),
    );
  }

  private startStreams(endpoint: KnownEndpoint): void {
    const { endpointId } = endpoint.announcement;
    const allowed = this.allowedStreamsAt(endpointId);
    let running = this.streamsAt(endpointId);
    while (running.length < allowed) {
      if (running.some((stream) => stream.held.item.alone)) return;
      const isEmpty = running.length === 0;
      const held = this.held.takeFirst((item) => this.canRun(item, endpoint, isEmpty));
      if (held === undefined) return;
      this.startStream(held, endpoint);
      running = this.streamsAt(endpointId);
    }
  }

  private canRun(held: HeldItem, endpoint: KnownEndpoint, isEmpty: boolean): boolean {
    if (held.item.alone && !isEmpty) return false;
    const row = this.options.fleet.table.row(held.row);
    if (row === undefined) return false;
    const { models, services } = endpoint.announcement;
    if (row.kind === 'plain') return services.includes(held.row);
    return row.models.some((model) => models.includes(model));
  }

  private startStream(held: HeldItem, endpoint: KnownEndpoint): void {
    const { fleet, nowMs, nextRequestId } = this.options;
    const { endpointId } = endpoint.announcement;
    const stream: Stream = {
      streamId: nextRequestId(),
      endpointId,
      startedAtMs: nowMs(),
      stoppable: held.lease.idempotent,
      held,
      abort: new AbortController(),
      tokens: 0,
    };
    this.streams.set(stream.streamId, stream);
    fleet.loads.recordChange(endpointId, 'batch', 1);
    void this.runStream(stream, endpoint).finally(() => {
      this.streams.delete(stream.streamId);
      fleet.loads.recordChange(endpointId, 'batch', -1);
    });
  }

  private async runStream(stream: Stream, endpoint: KnownEndpoint): Promise<void> {
    const { fleet, driver, serviceCalls, nowMs } = this.options;
    const { held } = stream;
    const row = fleet.table.row(held.row);
    if (row === undefined) {
      this.returnItem(held, 'notRun', 'the service is no longer in the table');
      return;
    }
    try {
      const outcome = await runItem({
        held,
        row,
        url: endpoint.announcement.url,
        driver,
        serviceCalls,
        requestId: stream.streamId,
        signal: stream.abort.signal,
        onToken: () => {
          stream.tokens += 1;
        },
      });
      this.handleOutcome(stream, outcome, nowMs());
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      const returnReason = held.lease.idempotent ? 'retryable' : 'endpointLost';
      this.returnItem(held, returnReason, reason);
    }
  }

  private handleOutcome(stream: Stream, outcome: ItemRunOutcome, nowMs: number): void {
    const { held } = stream;
    const { burn, metrics, fleet } = this.options;
    metrics.recordTokens(held.row, 'batch', stream.tokens);
    if (outcome.kind === 'stopped') {
      if (this.draining) this.returnUnfinished(held, 'yielded at a planned stop');
      else this.held.requeue(held);
      return;
    }
    if (outcome.kind === 'return') {
      if (outcome.lost) fleet.endpoints.failed(stream.endpointId, nowMs);
      this.returnItem(held, outcome.itemReturn.reason, outcome.itemReturn.cause);
      return;
    }
    this.held.close(held);
    this.committer.addResult(held.group, outcome.result);
    this.source.itemEnded(held.row);
    burn.record(held.row, 'batchDue', Date.now() <= held.lease.dueAtMs, nowMs);
    metrics.recordRequestEnd(
      held.row,
      'batch',
      outcome.result.outcome === 'completed' ? 'completed' : 'failed',
    );
  }

  private returnUnfinished(held: HeldItem, cause: string): void {
    // A non-idempotent item is recorded as started in the log, but was never sent.
    const reason = held.lease.idempotent ? 'yielded' : 'notRun';
    this.returnItem(held, reason, cause);
  }

  private returnItem(
    held: HeldItem,
    reason: 'yielded' | 'notRun' | 'endpointLost' | 'retryable',
    cause: string,
  ): void {
    if (!this.held.isOpen(held)) return;
    this.held.close(held);
    const { jobId } = held.lease;
    this.committer.addReturn(held.group, { jobId, index: held.item.index, reason, cause });
  }

  private async renewLeases(): Promise<void> {
    const { control, leaseOwner, nowMs } = this.options;
    const requestedAtMs = nowMs();
    const renewals = [...this.held.leasesByGroup()].map(async ([group, leaseIds]) => {
      try {
        const closed = await control.renew(group, leaseOwner, leaseIds);
        this.held.recordRenewal(group, leaseIds, closed, requestedAtMs);
      } catch {
        // Leases that are not renewed in time are dropped below.
      }
    });
    await Promise.all(renewals);
    this.held.dropExpired(nowMs() - LEASE_VALIDITY_MS);
    for (const stream of this.streams.values()) {
      // The result of an item that is no longer leased is wasted, so its stream is stopped. Streams
      // of non-idempotent items continue, because only the response shows whether the item ran.
      if (!this.held.isOpen(stream.held) && stream.stoppable) stream.abort.abort();
    }
  }

  private async runRequestLoop(): Promise<void> {
    while (!this.draining) {
      const slots = this.freeSlots(this.options.nowMs());
      if (slots.length > 0) {
        await this.source.poll();
        await this.source.requestItems(slots, this.held.waitingCount);
      }
      await pause(this.tickIntervalMs());
    }
  }

  /** Free slots on the endpoints that this entry owns. */
  private freeSlots(nowMs: number): FreeSlots[] {
    const byModel = new Map<string, number>();
    for (const endpoint of this.ownedEndpoints(nowMs)) {
      const { endpointId, models, services } = endpoint.announcement;
      const free = this.allowedStreamsAt(endpointId) - this.streamsAt(endpointId).length;
      const names = endpoint.announcement.kind === 'plain' ? services : models;
      const name = names[0];
      if (free > 0 && name !== undefined) byModel.set(name, (byModel.get(name) ?? 0) + free);
    }
    return [...byModel].map(([model, slots]) => ({ model, slots }));
  }
}
