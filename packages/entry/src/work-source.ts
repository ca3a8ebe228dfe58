/**
 * Obtains batch items: polls the demand of the job groups and requests leases of items for the
 * free slots of this entry.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { allocateSlots } from '@shedline/batch';
import type { FreeSlots, GrantRequest, WaitingWork } from '@shedline/batch';
import type { ControlClient } from '@shedline/control-client';
import type { GrantAnswer, ServiceDemand, StartAnswer } from '@shedline/jobs';
import type { Logger } from '@shedline/logger';
import type { ItemLease, LeasedItem } from '@shedline/types';
import type { FleetView } from './fleet-view.js';

const POLL_INTERVAL_MS = 200;
const IDLE_POLL_INTERVAL_MS = 1000;
const MAX_ITEMS_PER_GRANT = 64;
const RATE_SMOOTHING = 0.3;

/** Options of {@link WorkSource}. */
export interface WorkSourceOptions {
  readonly control: ControlClient;
  readonly fleet: FleetView;
  readonly leaseOwner: string;
  readonly logger: Logger;
  readonly random: () => number;
  readonly nowMs: () => number;
  /** Returns the number of entries that run batch work, this one included. */
  readonly entryCount: () => number;
  /** Called with a granted lease; its items may be sent. */
  readonly onLease: (group: number, lease: ItemLease, requestedAtMs: number) => void;
  /** Called with items that were leased but will not be sent by this entry. */
  readonly onNotStarted: (group: number, jobId: string, indexes: readonly number[]) => void;
}

interface CompletionRate {
  items: number;
  perSecond: number;
}

/** Requests items from the job groups. */
export class WorkSource {
  private readonly options: WorkSourceOptions;
  private readonly waiting = new Map<number, WaitingWork[]>();
  private readonly polls = new Map<number, Promise<void>>();
  private readonly rates = new Map<string, CompletionRate>();
  private lastPollMs = -Infinity;
  private isRequesting = false;

  constructor(options: WorkSourceOptions) {
    this.options = options;
  }

  /** Whether any items were waiting at the last poll. */
  get hasWork(): boolean {
    return this.totalWaiting() > 0;
  }

  /** Polls the waiting items of all groups, if the poll interval has passed. */
  async poll(): Promise<void> {
    const nowMs = this.options.nowMs();
    const intervalMs = this.totalWaiting() === 0 ? IDLE_POLL_INTERVAL_MS : POLL_INTERVAL_MS;
    if (nowMs - this.lastPollMs < intervalMs) return;
    this.lastPollMs = nowMs;
    try {
      const groupCount = await this.options.control.groupCount();
      const groups = Array.from({ length: groupCount }, (_, index) => index + 1);
      await Promise.all(groups.map((group) => this.pollGroup(group)));
    } catch (error) {
      this.debug('poll of waiting items failed', 'look at work', error);
    }
  }

  /** Requests items for the free slots, less the `held` items that already wait here. */
  async requestItems(slots: readonly FreeSlots[], held: number): Promise<void> {
    const waitingWork = [...this.waiting.values()].flat().filter((work) => work.pendingItems > 0);
    const freeSlots = slots.reduce((sum, free) => sum + free.slots, 0) - held;
    if (this.isRequesting || freeSlots <= 0 || waitingWork.length === 0) return;
    this.isRequesting = true;
    try {
      const requests = allocateSlots(slots, waitingWork, this.options.random);
      await Promise.all(requests.map((request) => this.requestGrant(request)));
    } finally {
      this.isRequesting = false;
    }
  }

  /** Counts an item of a row that finished on this entry. */
  itemEnded(row: string): void {
    this.rateOf(row).items += 1;
  }

  /** Updates the smoothed rates; called once per second. */
  updateRates(): void {
    for (const rate of this.rates.values()) {
      rate.perSecond += RATE_SMOOTHING * (rate.items - rate.perSecond);
      rate.items = 0;
    }
  }

  private totalWaiting(): number {
    const waitingWork = [...this.waiting.values()].flat();
    return waitingWork.reduce((sum, work) => sum + work.pendingItems, 0);
  }

  /** Waits a limited time, so that a group without a leader does not delay the others. */
  private pollGroup(group: number): Promise<void> {
    if (this.polls.has(group)) return Promise.resolve();
    const poll = this.loadDemand(group).finally(() => this.polls.delete(group));
    this.polls.set(group, poll);
    return Promise.race([poll, pause(POLL_INTERVAL_MS)]);
  }

  private async loadDemand(group: number): Promise<void> {
    try {
      const demand = await this.options.control.demand(group);
      this.waiting.set(
        group,
        demand.flatMap((service) => this.workOf(group, service)),
      );
    } catch {
      this.waiting.delete(group);
    }
  }

  private workOf(group: number, service: ServiceDemand): WaitingWork[] {
    const key = `${service.workspace}/${service.service}`;
    const row = this.options.fleet.table.row(key);
    if (row === undefined) return [];
    const { pendingItems, neededItemsPerSecond } = service;
    return [
      {
        group,
        row: key,
        weight: row.weight,
        models: row.kind === 'plain' ? [key] : row.models,
        pendingItems,
        neededItemsPerSecond,
        // Assumes that each of the other entries finishes items at the same rate.
        currentItemsPerSecond: this.rateOf(key).perSecond * this.options.entryCount(),
      },
    ];
  }

  private async requestGrant({ group, row, maxItems }: GrantRequest): Promise<void> {
    const { control, leaseOwner, nowMs } = this.options;
    const [workspace = '', service = ''] = row.split('/');
    const itemCount = Math.min(MAX_ITEMS_PER_GRANT, maxItems);
    this.reduceWaiting(group, row, itemCount);
    const requestedAtMs = nowMs();
    const command = { type: 'grantItems', owner: leaseOwner, workspace, service } as const;
    try {
      const reply = await control.proposeJob(group, { ...command, maxItems: itemCount });
      for (const lease of (reply as GrantAnswer).leases)
        await this.acceptLease(group, lease, requestedAtMs);
    } catch (error) {
      this.debug('no items granted', 'grant', error);
    }
  }

  /** Reduces the known waiting items at once, so that they are not requested again. */
  private reduceWaiting(group: number, row: string, items: number): void {
    const waitingWork = this.waiting.get(group) ?? [];
    const remaining = waitingWork.map((work) =>
      work.row === row ? { ...work, pendingItems: Math.max(0, work.pendingItems - items) } : work,
    );
    this.waiting.set(group, remaining);
  }

  private async acceptLease(group: number, lease: ItemLease, requestedAtMs: number): Promise<void> {
    const items = lease.idempotent ? lease.items : await this.startItems(group, lease);
    this.options.onLease(group, { ...lease, items }, requestedAtMs);
  }

  /**
   * Records the start of non-idempotent items in the log before they are sent. If the record is not
   * confirmed, the items are not sent and are returned as not run.
   */
  private async startItems(group: number, lease: ItemLease): Promise<readonly LeasedItem[]> {
    const { leaseId, jobId, items } = lease;
    const indexes = items.map(({ index }) => index);
    try {
      const command = { type: 'startItems', leaseId, jobId, indexes } as const;
      const reply = (await this.options.control.proposeJob(group, command)) as StartAnswer;
      return items.filter(({ index }) => reply.started.includes(index));
    } catch {
      this.options.onNotStarted(group, jobId, indexes);
      return [];
    }
  }

  private rateOf(row: string): CompletionRate {
    const known = this.rates.get(row);
    if (known !== undefined) return known;
    const created = { items: 0, perSecond: 0 };
    this.rates.set(row, created);
    return created;
  }

  private debug(message: string, step: string, error: unknown): void {
    const reason = error instanceof Error ? error.message : String(error);
    this.options.logger.debug(message, { step, reason });
  }
}
