/**
 * Where batch items come from: what waits in the job groups, and the leases that this entry
 * asks for by the room it has.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { allocateSlots } from '@shedline/batch';
import type { FreeSlots, GrantRequest, WaitingWork } from '@shedline/batch';
import type { ControlClient } from '@shedline/control-client';
import type { GrantAnswer, ServiceDemand, StartAnswer } from '@shedline/jobs';
import type { Logger } from '@shedline/logger';
import type { ItemLease, LeasedItem } from '@shedline/types';
import type { FleetView } from './fleet-view.js';

const LOOK_INTERVAL_MS = 200;
const IDLE_LOOK_INTERVAL_MS = 1000;
const MAX_GRANT = 64;
const RATE_SMOOTHING = 0.3;

/** Options of {@link WorkSource}. */
export interface WorkSourceOptions {
  readonly control: ControlClient;
  readonly fleet: FleetView;
  readonly leaseOwner: string;
  readonly logger: Logger;
  readonly random: () => number;
  readonly nowMs: () => number;
  /** Entries that run batch work as this one does. */
  readonly entryCount: () => number;
  /** Takes a lease whose items may run. */
  readonly onLease: (group: number, lease: ItemLease, askedAtMs: number) => void;
  /** Told of items that were leased but will not be sent by this entry. */
  readonly onNotStarted: (group: number, jobId: string, indexes: readonly number[]) => void;
}

interface EndRate {
  items: number;
  perSecond: number;
}

/** Asks the job groups for items. */
export class WorkSource {
  private readonly options: WorkSourceOptions;
  private readonly waiting = new Map<number, WaitingWork[]>();
  private readonly looking = new Map<number, Promise<void>>();
  private readonly rates = new Map<string, EndRate>();
  private lastLookMs = -Infinity;
  private asking = false;

  constructor(options: WorkSourceOptions) {
    this.options = options;
  }

  /** Whether items wait anywhere, as of the last look. */
  get hasWork(): boolean {
    return this.totalWaiting() > 0;
  }

  /** Looks at what waits, if it is time to. */
  async look(): Promise<void> {
    const nowMs = this.options.nowMs();
    const intervalMs = this.totalWaiting() === 0 ? IDLE_LOOK_INTERVAL_MS : LOOK_INTERVAL_MS;
    if (nowMs - this.lastLookMs < intervalMs) return;
    this.lastLookMs = nowMs;
    try {
      const groupCount = await this.options.control.groupCount();
      const groups = Array.from({ length: groupCount }, (_, index) => index + 1);
      await Promise.all(groups.map((group) => this.lookAt(group)));
    } catch (error) {
      this.debug('work not known', 'look at work', error);
    }
  }

  /** Asks for items for the free slots beyond the `held` ones that wait here. */
  async ask(slots: readonly FreeSlots[], held: number): Promise<void> {
    const works = [...this.waiting.values()].flat().filter((work) => work.pendingItems > 0);
    const room = slots.reduce((sum, entry) => sum + entry.slots, 0) - held;
    if (this.asking || room <= 0 || works.length === 0) return;
    this.asking = true;
    try {
      const requests = allocateSlots(slots, works, this.options.random);
      await Promise.all(requests.map((request) => this.grant(request)));
    } finally {
      this.asking = false;
    }
  }

  /** Notes that an item of a row ended here. */
  itemEnded(row: string): void {
    this.rateOf(row).items += 1;
  }

  /** Works out the rates of the last second. */
  updateRates(): void {
    for (const rate of this.rates.values()) {
      rate.perSecond += RATE_SMOOTHING * (rate.items - rate.perSecond);
      rate.items = 0;
    }
  }

  private totalWaiting(): number {
    const works = [...this.waiting.values()].flat();
    return works.reduce((sum, work) => sum + work.pendingItems, 0);
  }

  /** A group without a leader must not hold up the others. */
  private lookAt(group: number): Promise<void> {
    if (this.looking.has(group)) return Promise.resolve();
    const look = this.load(group).finally(() => this.looking.delete(group));
    this.looking.set(group, look);
    return Promise.race([look, pause(LOOK_INTERVAL_MS)]);
  }

  private async load(group: number): Promise<void> {
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
        // The other entries are taken to end as many as this one.
        currentItemsPerSecond: this.rateOf(key).perSecond * this.options.entryCount(),
      },
    ];
  }

  private async grant({ group, row, maxItems }: GrantRequest): Promise<void> {
    const { control, leaseOwner, nowMs } = this.options;
    const [workspace = '', service = ''] = row.split('/');
    const wanted = Math.min(MAX_GRANT, maxItems);
    this.expect(group, row, wanted);
    const askedAtMs = nowMs();
    const command = { type: 'grantItems', owner: leaseOwner, workspace, service } as const;
    try {
      const answer = await control.proposeJob(group, { ...command, maxItems: wanted });
      for (const lease of (answer as GrantAnswer).leases) await this.take(group, lease, askedAtMs);
    } catch (error) {
      this.debug('no items granted', 'grant', error);
    }
  }

  /** Known work shrinks at once, so that the next round does not ask for it again. */
  private expect(group: number, row: string, items: number): void {
    const works = this.waiting.get(group) ?? [];
    const left = works.map((work) =>
      work.row === row ? { ...work, pendingItems: Math.max(0, work.pendingItems - items) } : work,
    );
    this.waiting.set(group, left);
  }

  private async take(group: number, lease: ItemLease, askedAtMs: number): Promise<void> {
    const items = lease.idempotent ? lease.items : await this.startItems(group, lease);
    this.options.onLease(group, { ...lease, items }, askedAtMs);
  }

  /**
   * Non-idempotent items are sent only once the log says that they are about to be. Where
   * that stays unknown they were not sent, and go back as not run.
   */
  private async startItems(group: number, lease: ItemLease): Promise<readonly LeasedItem[]> {
    const { leaseId, jobId, items } = lease;
    const indexes = items.map(({ index }) => index);
    try {
      const command = { type: 'startItems', leaseId, jobId, indexes } as const;
      const answer = (await this.options.control.proposeJob(group, command)) as StartAnswer;
      return items.filter(({ index }) => answer.started.includes(index));
    } catch {
      this.options.onNotStarted(group, jobId, indexes);
      return [];
    }
  }

  private rateOf(row: string): EndRate {
    const known = this.rates.get(row);
    if (known !== undefined) return known;
    const fresh = { items: 0, perSecond: 0 };
    this.rates.set(row, fresh);
    return fresh;
  }

  private debug(message: string, step: string, error: unknown): void {
    const reason = error instanceof Error ? error.message : String(error);
    this.options.logger.debug(message, { step, reason });
  }
}
