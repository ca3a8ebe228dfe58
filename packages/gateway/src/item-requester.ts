/**
 * Requests batch items from the stores, one request at a time per route.
 */
import type { GroupCaller } from '@shedline/control-client';
import { routeKeyOf } from '@shedline/fleet';
import type { KnownFleet, Route } from '@shedline/fleet';
import type { GrantAnswer, GrantedItem } from '@shedline/fleet-control';
import type { Logger } from '@shedline/logger';
import type { ItemRequest } from '@shedline/whole-jobs';
import { GrantSchedule } from './grant-schedule.js';
import { jobGroupOf } from './job-service.js';

const GRANT_TIMEOUT_MS = 1000;

/** Options of {@link ItemRequester}. */
export interface ItemRequesterOptions {
  /** Name of this incarnation of the entry, under which it leases items. */
  readonly holder: string;
  readonly stores: GroupCaller;
  readonly fleet: KnownFleet;
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Number of entries that run batch work, including this one. */
  readonly entryCount: () => number;
  /** Called with the items of an answer, which are leased to this entry. */
  readonly onGranted: (group: number, items: readonly GrantedItem[], route: Route) => void;
  /** Called when a request has ended; the next one for its route may be sent in `dueInMs`. */
  readonly onEnded: (dueInMs: number) => void;
}

/** Requests items at the rate that {@link GrantSchedule} allows. */
export class ItemRequester {
  private readonly options: ItemRequesterOptions;
  private readonly schedules = new Map<string, GrantSchedule>();

  constructor(options: ItemRequesterOptions) {
    this.options = options;
  }

  /** Number of items of routes that wait at the stores, as last stated by them. */
  waitingItems(routes: readonly Route[]): number {
    return routes.reduce((sum, route) => sum + this.scheduleOf(route).waitingItems, 0);
  }

  /** Returns the time until items of a route may be requested; Infinity during a request. */
  dueInMs(route: Route): number {
    const { nowMs, entryCount } = this.options;
    return this.scheduleOf(route).dueInMs(nowMs(), entryCount());
  }

  /**
   * Requests items of a route unless it is too early, or the stores are unknown; at most
   * `maxAloneItems` of them may be items that must run alone.
   */
  request(route: Route, maxItems: number, maxAloneItems: number): void {
    const { storeCluster } = this.options.fleet;
    if (storeCluster === undefined || this.dueInMs(route) > 0) return;
    void this.send(route, jobGroupOf(route.host, storeCluster.jobGroupCount), {
      maxItems,
      maxAloneItems,
    });
  }

  /** Records a complete item; `runMs` is undefined if its run did not start from the beginning. */
  noteRun(route: Route, events: number, runMs: number | undefined): void {
    this.scheduleOf(route).noteRun(events, runMs);
  }

  private async send(
    route: Route,
    group: number,
    limits: Pick<ItemRequest, 'maxItems' | 'maxAloneItems'>,
  ): Promise<void> {
    const { stores, holder, logger, nowMs, onGranted, onEnded } = this.options;
    const schedule = this.scheduleOf(route);
    const { runMs, runEvents } = schedule;
    const body = { holder, routeKey: routeKeyOf(route), ...limits, runMs, runEvents };
    schedule.began();
    try {
      const raw = await stores.call('grantItems', group, { group, body }, GRANT_TIMEOUT_MS);
      const grant = raw as GrantAnswer;
      schedule.noteWaiting(grant.waitingItems);
      onGranted(group, grant.items, route);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      logger.debug('no items granted', { step: 'grant', group, reason });
    } finally {
      schedule.ended(nowMs());
      onEnded(this.dueInMs(route));
    }
  }

  private scheduleOf(route: Route): GrantSchedule {
    const key = routeKeyOf(route);
    const known = this.schedules.get(key);
    if (known !== undefined) return known;
    const created = new GrantSchedule();
    this.schedules.set(key, created);
    return created;
  }
}
