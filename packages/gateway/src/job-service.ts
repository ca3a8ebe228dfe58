/**
 * Takes batch jobs from callers and answers questions about them, through the stores.
 */
import type { GroupCaller } from '@shedline/control-client';
import { ShedlineError, toShedlineError } from '@shedline/errors';
import type { KnownFleet, Route } from '@shedline/fleet';
import { hostName } from '@shedline/fleet';
import type { BodyAnswer, ResultsAnswer } from '@shedline/fleet-control';
import type { Logger } from '@shedline/logger';
import { groupOf } from '@shedline/types';
import type { EndAnswer, SubmitAnswer, SubmittedItem } from '@shedline/whole-jobs';

/** Most items of one job. */
const MAX_ITEMS = 200;
/** Largest page of results. Bytes. */
const MAX_PAGE_BYTES = 900_000;
/** Readers and callers that end a job wait longer than this for an answer. */
const CALL_TIMEOUT_MS = 1800;
/** Time of a submission that is left for the answer to travel. */
const SUBMIT_MARGIN_MS = 300;

/** A job as a caller names it: the same id means another job in another workspace. */
export interface JobName {
  readonly host: string;
  readonly jobId: string;
  /** Workspace of the caller; undefined where no key is asked for. */
  readonly workspace: string | undefined;
}

/** A job as a caller hands it in. */
export interface JobRequest extends JobName {
  readonly path: string;
  readonly items: readonly SubmittedItem[];
  /** Time that the caller waits for the answer. */
  readonly timeLeftMs: number;
}

/** What the caller of a submission hears. */
export type SubmitOutcome =
  | { readonly kind: 'accepted' }
  /** No part of it runs; it may come again later. */
  | { readonly kind: 'refused'; readonly reason: 'quota' | 'unavailable' }
  /** It is not known whether it was accepted; it must come again. */
  | { readonly kind: 'unknown' }
  | { readonly kind: 'invalid'; readonly message: string };

/** Options of {@link JobService}. */
export interface JobServiceOptions {
  readonly stores: GroupCaller;
  readonly fleet: KnownFleet;
  readonly logger: Logger;
}

/** Names a route to the stores: entries ask for its items by it. */
export function routeKeyOf(route: Route): string {
  return `${route.host}${route.pathPrefix}`;
}

/** Names the jobs that share a bound on waiting tokens: those of a workspace on a route. */
function quotaKeyOf(route: Route, workspace: string | undefined): string {
  const key = routeKeyOf(route);
  return workspace === undefined ? key : `${encodeURIComponent(workspace)}@${key}`;
}

/**
 * Names a job to the stores. Whoever shows the key of another workspace asks for another name, and
 * so learns nothing, not even that the job exists.
 */
export function storedJobId({ workspace, jobId }: Omit<JobName, 'host'>): string {
  return workspace === undefined ? jobId : `${encodeURIComponent(workspace)}/${jobId}`;
}

/** Jobs of one host are in one group, so that one leader keeps their bound exactly. */
export function jobGroupOf(host: string, groupCount: number): number {
  return groupOf(`jobs|${hostName(host)}`, groupCount);
}

/** The groups that hold the jobs of the routes in force. */
export function jobGroupsOf(fleet: KnownFleet): ReadonlySet<number> {
  const groupCount = fleet.storeCluster?.jobGroupCount ?? 0;
  const routes = fleet.routes?.configuration.routes ?? [];
  if (groupCount === 0) return new Set();
  const taking = routes.filter(({ kind }) => kind === 'jobs');
  return new Set(taking.map(({ host }) => jobGroupOf(host, groupCount)));
}

/** Jobs as callers see them. */
export class JobService {
  private readonly options: JobServiceOptions;

  constructor(options: JobServiceOptions) {
    this.options = options;
  }

  /** Hands a job to the stores; accepted means that a quorum of them has synced it. */
  async submit(request: JobRequest, route: Route): Promise<SubmitOutcome> {
    const { host, path, items, workspace } = request;
    const jobId = storedJobId(request);
    if (items.length === 0 || items.length > MAX_ITEMS) {
      return { kind: 'invalid', message: `a job has 1 to ${MAX_ITEMS} items` };
    }
    const rules = route.jobs;
    if (rules === undefined) return { kind: 'invalid', message: 'the route takes no jobs' };
    const outcome = await this.propose(request, {
      jobId,
      host,
      path,
      routeKey: routeKeyOf(route),
      quotaKey: quotaKeyOf(route, workspace),
      ...(workspace === undefined ? {} : { workspace }),
      maxWaitingTokens: rules.maxWaitingTokens,
      resultsDueMs: rules.resultsDueMs,
      keepItemsMs: rules.keepItemsMs,
      maxAttempts: route.maxAttempts,
      items,
    });
    const reason = outcome.kind === 'refused' ? outcome.reason : undefined;
    this.options.logger.info('job submitted', {
      step: 'submit',
      request: request.jobId,
      ...(workspace === undefined ? {} : { workspace }),
      route: route.name,
      items: items.length,
      outcome: outcome.kind,
      ...(reason === undefined ? {} : { reason }),
    });
    return outcome;
  }

  /** Results from a position on; undefined where there is no such job. */
  async results(
    job: JobName,
    { position, waitMs }: { readonly position: number; readonly waitMs: number },
  ): Promise<ResultsAnswer> {
    const body = { jobId: storedJobId(job), position, waitMs, maxBytes: MAX_PAGE_BYTES };
    return (await this.call(
      'jobResults',
      job.host,
      body,
      waitMs + CALL_TIMEOUT_MS,
    )) as ResultsAnswer;
  }

  /** Body of an item; undefined where there is none. */
  async body(job: JobName, itemId: string): Promise<Uint8Array | undefined> {
    const body = { jobId: storedJobId(job), itemId };
    const answer = await this.call('itemBody', job.host, body, CALL_TIMEOUT_MS);
    return (answer as BodyAnswer).body;
  }

  /** Ends a job. */
  async end(job: JobName): Promise<EndAnswer> {
    const body = { jobId: storedJobId(job) };
    const answer = (await this.call('endJob', job.host, body, CALL_TIMEOUT_MS)) as EndAnswer;
    this.options.logger.info('job ended by its caller', {
      step: 'end job',
      request: job.jobId,
      ...(job.workspace === undefined ? {} : { workspace: job.workspace }),
      outcome: answer.outcome,
    });
    return answer;
  }

  private async propose(request: JobRequest, body: object): Promise<SubmitOutcome> {
    const timeoutMs = Math.max(100, request.timeLeftMs - SUBMIT_MARGIN_MS);
    try {
      const answer = await this.call('submitJob', request.host, body, timeoutMs);
      const { outcome } = answer as SubmitAnswer;
      return outcome === 'overQuota' ? { kind: 'refused', reason: 'quota' } : { kind: 'accepted' };
    } catch (error) {
      const failure = toShedlineError(error, { step: 'submit', ran: 'unknown' });
      if (failure.ran === 'no') return { kind: 'refused', reason: 'unavailable' };
      return { kind: 'unknown' };
    }
  }

  private call(method: string, host: string, body: object, timeoutMs: number): Promise<unknown> {
    const cluster = this.options.fleet.storeCluster;
    if (cluster === undefined) {
      const message = 'the stores have not formed yet';
      throw new ShedlineError({ type: 'unavailable', message, step: method, ran: 'no' });
    }
    const group = jobGroupOf(host, cluster.jobGroupCount);
    return this.options.stores.call(method, group, { group, body }, timeoutMs);
  }
}
