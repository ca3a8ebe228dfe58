/**
 * Serves the requests of entries to the leader of a job group: results, bodies and items to execute.
 */
import { instanceOf } from '@shedline/consensus';
import type { GroupHost } from '@shedline/control';
import type { ShedlineError } from '@shedline/errors';
import type { ProcessMetrics } from '@shedline/metrics';
import { ItemDispenser } from '@shedline/whole-jobs';
import type { CommitRuns, ItemRef, ItemRequest } from '@shedline/whole-jobs';
import type { WholeJobStateMachine } from './group-state-machines.js';
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
  /** Creates the error of a request that this process cannot serve. */
  readonly unavailable: (step: string, message: string, leader: string) => ShedlineError;
  readonly nowMs: () => number;
}

/** Serves the requests to the groups of one store. */
export class JobRequests {
  private readonly options: JobRequestsOptions;
  private readonly dispensers = new Map<number, ItemDispenser>();
  /** Callbacks that resume the readers waiting for results, by job. */
  private readonly readers = new Map<string, Set<() => void>>();

  constructor(options: JobRequestsOptions) {
    this.options = options;
  }

  /** Called when this member becomes leader; entries report the items that they hold by renewal. */
  becameLeader(group: number): void {
    this.dispenserOf(group).becameLeader(this.options.nowMs());
  }

  /** Removes expired item leases. */
  removeExpiredLeases(group: number, stateMachine: WholeJobStateMachine): void {
    this.dispenserOf(group).sweep(stateMachine.jobs, this.options.nowMs());
  }

  /** Number of items of a group that are leased to entries. */
  leasedItems(group: number): number {
    return this.dispenserOf(group).leasedCount(this.options.nowMs());
  }

  /** Handles committed execution attempts: releases their items and resumes readers. */
  runsCommitted(group: number, run: CommitRuns): void {
    const { holder, finished, failed, returned, crashed = [] } = run;
    const dispenser = this.dispenserOf(group);
    dispenser.recordFinished(finished, this.options.nowMs());
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
    const granted = dispenser.grant(jobs, request, time);
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

  private dispenserOf(group: number): ItemDispenser {
    const known = this.dispensers.get(group);
    if (known !== undefined) return known;
    const created = new ItemDispenser({ leaseMs: ITEM_LEASE_MS });
    this.dispensers.set(group, created);
    return created;
  }
}
