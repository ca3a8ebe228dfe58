/**
 * Serves the requests of entries to the leader of a job group: results, bodies and items to execute.
 */
import { instanceOf } from '@shedline/consensus';
import type { GroupHost } from '@shedline/control';
import type { ShedlineError } from '@shedline/errors';
import type { Logger } from '@shedline/logger';
import type { ProcessMetrics } from '@shedline/metrics';
import { ItemDispenser } from '@shedline/whole-jobs';
import type { CommitRuns, ItemRef, ItemRequest } from '@shedline/whole-jobs';
import type { WholeJobStateMachine } from './group-state-machines.js';
import type { JobRoutes } from './job-routes.js';
import { ROUTE_END_HOLDER, RouteEndTask } from './route-end-task.js';
import type {
  BodyAnswer,
  BodyRequest,
  GrantAnswer,
  RenewRequest,
  ResultsAnswer,
  ResultsRequest,
} from './protocol.js';

/** Lease of items granted to an entry; entries renew every second. */
const ITEM_LEASE_MS = 4000;

/** Options of {@link JobRequests}. */
export interface JobRequestsOptions {
  readonly metrics: ProcessMetrics;
  readonly logger: Logger;
  /** Routes of jobs in the newest configuration that this process knows. */
  readonly routes: JobRoutes;
  /** Reads the newest configuration through the quorum of the fleet group. */
  readonly readNewestConfiguration: () => Promise<void>;
  /** Creates the error of a request that this process cannot serve. */
  readonly unavailable: (step: string, message: string, leader: string) => ShedlineError;
  readonly nowMs: () => number;
}

/** Serves the requests to the groups of one store. */
export class JobRequests {
  private readonly options: JobRequestsOptions;
  private readonly dispensers = new Map<number, ItemDispenser>();
  private readonly routeEnds = new Map<number, RouteEndTask>();
  /** Callbacks that resume the readers waiting for results, by job. */
  private readonly readers = new Map<string, Set<() => void>>();

  constructor(options: JobRequestsOptions) {
    this.options = options;
  }

  /** Called when this member becomes leader; entries report the items that they hold by renewal. */
  becameLeader(group: number): void {
    this.dispenserOf(group).becameLeader(this.options.nowMs());
    this.routeEndsOf(group).becameLeader();
  }

  /** Removes expired item leases. */
  removeExpiredLeases(group: number, stateMachine: WholeJobStateMachine): void {
    this.dispenserOf(group).sweep(stateMachine.jobs, this.options.nowMs());
  }

  /** Ends the items of jobs whose route has ended; called periodically for the groups led. */
  endItemsWithoutRoute(host: GroupHost, { jobs }: WholeJobStateMachine): Promise<void> {
    return this.routeEndsOf(host.group).run(host, jobs);
  }

  /** Number of items of a group that are leased to entries. */
  leasedItems(group: number): number {
    return this.dispenserOf(group).leasedCount(this.options.nowMs());
  }

  /** Handles committed execution attempts: releases their items and resumes readers. */
  runsCommitted(group: number, run: CommitRuns): void {
    const { holder, finished, failed, returned, crashed = [] } = run;
    const dispenser = this.dispenserOf(group);
    // Ends of routes say nothing about how long items take.
    if (holder !== ROUTE_END_HOLDER) dispenser.recordFinished(finished, this.options.nowMs());
    dispenser.release(holder, [...failed, ...returned]);
    const changedJobIds = [...finished, ...failed, ...crashed].map(({ jobId }) => jobId);
    for (const jobId of new Set(changedJobIds)) this.resumeReaders(jobId);
  }

  /** Resumes the readers that wait for results of a job. */
  resumeReaders(jobId: string): void {
    const waiting = this.readers.get(jobId);
    this.readers.delete(jobId);
    for (const resume of waiting ?? []) resume();
  }

  /** Serves a request; returns undefined for a method that is not served here. */
  handle(
    method: string,
    host: GroupHost,
    stateMachine: WholeJobStateMachine,
    body: unknown,
  ): Promise<unknown> | undefined {
    switch (method) {
      case 'jobResults':
        return this.results(host, stateMachine, body as ResultsRequest);
      case 'itemBody':
        return this.itemBody(host, stateMachine, body as BodyRequest);
      case 'grantItems':
        return Promise.resolve(this.grant(host, stateMachine, body as ItemRequest));
      case 'renewItems':
        return this.renew(host, stateMachine, body as RenewRequest);
      default:
        return undefined;
    }
  }

  private async results(
    host: GroupHost,
    stateMachine: WholeJobStateMachine,
    request: ResultsRequest,
  ): Promise<ResultsAnswer> {
    const { jobId, position, maxBytes, waitMs } = request;
    await host.confirmLeadership();
    const page = stateMachine.jobs.results(jobId, position, maxBytes);
    if (page === undefined || page.results.length > 0 || waitMs <= 0) return page;
    if (stateMachine.jobs.get(jobId)?.isOpen !== true) return page;
    await this.waitForChange(jobId, waitMs);
    await host.confirmLeadership();
    return stateMachine.jobs.results(jobId, position, maxBytes);
  }

  private waitForChange(jobId: string, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const waiting = this.readers.get(jobId) ?? new Set();
      const resume = (): void => {
        clearTimeout(timer);
        waiting.delete(resume);
        resolve();
      };
      const timer = setTimeout(resume, waitMs);
      waiting.add(resume);
      this.readers.set(jobId, waiting);
    });
  }

  private async itemBody(
    host: GroupHost,
    stateMachine: WholeJobStateMachine,
    request: BodyRequest,
  ): Promise<BodyAnswer> {
    await host.confirmLeadership();
    const job = stateMachine.jobs.get(request.jobId);
    if (job === undefined || job.isEnded) return { body: undefined };
    const { isPublic } = job.identity;
    const body = job.findItem(request.itemId)?.body;
    return { body, ...(isPublic === undefined ? {} : { isPublic }) };
  }

  private grant(
    host: GroupHost,
    stateMachine: WholeJobStateMachine,
    request: ItemRequest,
  ): GrantAnswer {
    this.requireLeading(host, 'grantItems');
    this.options.metrics.count('shedline_item_requests_total', { route: request.routeKey });
    const { jobs } = stateMachine;
    const dispenser = this.dispenserOf(host.group);
    const time = { nowMs: this.options.nowMs(), wallMs: Date.now() };
    const granted = dispenser.grant(jobs, request, time, (job) => this.options.routes.keyOf(job));
    const items = granted.items.map(({ job, index, mustRunAlone, progress }) => {
      const { jobId, host: jobHost, path, workspace } = job.identity;
      const { dueAtMs } = job;
      const item = job.item(index);
      return {
        jobId,
        index,
        host: jobHost,
        path,
        ...(workspace === undefined ? {} : { workspace }),
        dueAtMs,
        item,
        mustRunAlone,
        ...(progress === undefined ? {} : { progress }),
      };
    });
    return { items, waitingItems: granted.unleasedCount };
  }

  private async renew(
    host: GroupHost,
    stateMachine: WholeJobStateMachine,
    request: RenewRequest,
  ): Promise<ItemRef[]> {
    // A newly elected leader may not have applied all jobs yet: it must not report items that it
    // does not know yet as ended.
    await host.confirmLeadership();
    const dispenser = this.dispenserOf(host.group);
    return dispenser.renew(stateMachine.jobs, request.holder, request.refs, this.options.nowMs());
  }

  private requireLeading(host: GroupHost, step: string): void {
    if (host.isLeader) return;
    const leader = instanceOf(host.consensus.leaderId);
    throw this.options.unavailable(step, `this store does not lead group ${host.group}`, leader);
  }

  private routeEndsOf(group: number): RouteEndTask {
    const known = this.routeEnds.get(group);
    if (known !== undefined) return known;
    const { routes, logger, metrics, nowMs, readNewestConfiguration: readNewest } = this.options;
    const dispenser = this.dispenserOf(group);
    const shared = { routes, logger, metrics, nowMs, readNewest };
    const created = new RouteEndTask({ group, dispenser, ...shared });
    this.routeEnds.set(group, created);
    return created;
  }

  private dispenserOf(group: number): ItemDispenser {
    const known = this.dispensers.get(group);
    if (known !== undefined) return known;
    const created = new ItemDispenser({ leaseMs: ITEM_LEASE_MS });
    this.dispensers.set(group, created);
    return created;
  }
}
