/**
 * Ends the items of jobs whose route has ended. The evidence is a read of the configuration through the
 * quorum of the fleet group, which contains every configuration under which a known job was accepted:
 * a store that lags behind, or has no contact to the control processes, ends nothing.
 */
import type { GroupHost } from '@shedline/control';
import type { Logger } from '@shedline/logger';
import type { ProcessMetrics } from '@shedline/metrics';
import { RouteEnds } from '@shedline/whole-jobs';
import type { CommitRuns, ItemDispenser, JobRecord, WholeJobs } from '@shedline/whole-jobs';
import type { JobRoutes } from './job-routes.js';

/**
 * Time for which no route has served a job before its items end. Covers an operator who replaces a
 * route in two configurations, or takes back the removal of one.
 */
const ROUTE_END_DELAY_MS = 5000;
/** Minimum time between two reads of the configuration for a group. */
const READ_INTERVAL_MS = 1000;
/** Maximum number of items that one command ends. */
const MAX_ITEMS_PER_COMMAND = 1000;
/** Holder of items in the commands that end them; no entry has this name. */
export const ROUTE_END_HOLDER = 'end of route';

/** Options of {@link RouteEndTask}. */
export interface RouteEndTaskOptions {
  readonly group: number;
  readonly routes: JobRoutes;
  readonly dispenser: ItemDispenser;
  /** Reads the newest configuration through the quorum of the fleet group. */
  readonly readNewest: () => Promise<void>;
  readonly logger: Logger;
  readonly metrics: ProcessMetrics;
  readonly nowMs: () => number;
}

/** Ends items of one group while this store leads it. */
export class RouteEndTask {
  private readonly options: RouteEndTaskOptions;
  private readonly ends = new RouteEnds({ delayMs: ROUTE_END_DELAY_MS });
  private isRunning = false;
  private nextReadAtMs = 0;

  constructor(options: RouteEndTaskOptions) {
    this.options = options;
  }

  /** Called when this store becomes leader of the group. */
  becameLeader(): void {
    this.ends.clear();
  }

  /** Ends the items of jobs without a route that no entry holds; called periodically. */
  async run(host: Pick<GroupHost, 'isLeader' | 'propose'>, jobs: WholeJobs): Promise<void> {
    const { nowMs, logger, group, readNewest } = this.options;
    const unserved = this.unserved(jobs);
    const isDue = !this.isRunning && nowMs() >= this.nextReadAtMs;
    if (!isDue || !unserved.some((job) => this.unheldItems(job).length > 0)) return;
    this.isRunning = true;
    try {
      await readNewest();
      const jobIds = new Set(unserved.map(({ identity }) => identity.jobId));
      // The configuration, the leader or the jobs may have changed during the read.
      const ended = this.unserved(jobs).filter(({ identity }) => jobIds.has(identity.jobId));
      if (host.isLeader) await this.end(host, ended);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      logger.info('items of removed routes not ended yet', { step: 'end route', group, reason });
    } finally {
      this.nextReadAtMs = nowMs() + READ_INTERVAL_MS;
      this.isRunning = false;
    }
  }

  private unserved(jobs: WholeJobs): JobRecord[] {
    const { routes, nowMs } = this.options;
    return this.ends.unserved(jobs.all, (job) => routes.keyOf(job) !== undefined, nowMs());
  }

  private unheldItems(job: JobRecord): ReturnType<ItemDispenser['unheldItems']> {
    return this.options.dispenser.unheldItems(job, this.options.nowMs());
  }

  private async end(host: Pick<GroupHost, 'propose'>, ended: readonly JobRecord[]): Promise<void> {
    const refs = ended.flatMap((job) => this.unheldItems(job)).slice(0, MAX_ITEMS_PER_COMMAND);
    if (refs.length === 0) return;
    const { group, routes, logger, metrics } = this.options;
    const { version } = routes;
    const command: CommitRuns = {
      type: 'commitRuns',
      atMs: Date.now(),
      holder: ROUTE_END_HOLDER,
      finished: refs.map((ref) => ({ ...ref, state: 'errored', text: '' })),
      failed: [],
      returned: [],
    };
    await host.propose(command);
    metrics.count('shedline_items_without_route_total', { group });
    for (const { identity } of ended) {
      const { jobId: job, host: jobHost, path, routeName, configurationVersion } = identity;
      const items = refs.filter(({ jobId }) => jobId === job).length;
      if (items === 0) continue;
      const submission = { job, host: jobHost, path, route: routeName, configurationVersion };
      logger.info('items ended with their route', {
        step: 'end route',
        group,
        ...submission,
        version,
        items,
        outcome: 'errored',
      });
    }
  }
}
