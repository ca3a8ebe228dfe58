/**
 * Submits callers' batch jobs to the stores, and reads and cancels them there.
 */
import type { GroupCaller } from '@shedline/control-client';
import { ShedlineError, toShedlineError } from '@shedline/errors';
import type { KnownFleet, Route } from '@shedline/fleet';
import { hostName, routeKeyOf } from '@shedline/fleet';
import type { BodyAnswer, ResultsAnswer, ResultsRequest } from '@shedline/fleet-control';
import type { Logger } from '@shedline/logger';
import { groupOf } from '@shedline/types';
import type { EndAnswer, SubmitAnswer, SubmittedItem } from '@shedline/whole-jobs';
import type { GracefulShutdown } from './graceful-shutdown.js';

/** Maximum number of items in one job. */
const MAX_ITEMS = 200;
/** Maximum size of one page of results. */
const MAX_RESULTS_BYTES = 900_000;
/** Timeout of calls to the stores; readers, and callers that end a job, wait longer than this. */
const CALL_TIMEOUT_MS = 1800;
/** Part of a caller's remaining time that is reserved for sending it the reply to a submission. */
const SUBMIT_REPLY_MARGIN_MS = 300;

/** Identifies a job of a caller; job ids are unique within a workspace. */
export interface JobReference {
  readonly host: string;
  readonly jobId: string;
  /** Workspace of the caller; undefined if the route requires no API key. */
  readonly workspace: string | undefined;
}

/** A call about a job that was submitted before. */
export interface JobCall extends JobReference {
  /**
   * Which jobs without a workspace the call may reach: those that a public route accepted, or all,
   * as the configuration requires no API key of it.
   */
  readonly withoutWorkspace: 'public' | 'all';
}

/** A job that a call may refer to. */
interface JobCandidate extends JobReference {
  /** Whether the job counts only if a public route accepted it. */
  readonly mustBePublic: boolean;
}

/** A job as submitted by a caller. */
export interface JobRequest extends JobReference {
  readonly path: string;
  readonly items: readonly SubmittedItem[];
  /** Time for which the caller still waits for the reply. */
  readonly timeLeftMs: number;
}

/** Result of a submission. */
export type SubmitOutcome =
  | { readonly kind: 'accepted' }
  /** No item of the job runs; it may be submitted again later. */
  | { readonly kind: 'refused'; readonly reason: 'quota' | 'unavailable' }
  /** Unknown whether the job was accepted; the caller must submit it again. */
  | { readonly kind: 'unknown' }
  | { readonly kind: 'invalid'; readonly message: string };

/** Options of {@link JobService}. */
export interface JobServiceOptions {
  readonly stores: GroupCaller;
  readonly fleet: KnownFleet;
  readonly stop: Pick<GracefulShutdown, 'onClosing' | 'waitLimitMs'>;
  readonly logger: Logger;
}

/** Read that returns as little as possible of a job. */
const EXISTENCE_READ = { position: 0, waitMs: 0, maxBytes: 1 };
/** Methods that change nothing, so that their callers may be told that nothing was executed. */
const READING_METHODS: ReadonlySet<string> = new Set(['jobResults', 'itemBody']);

/** Returns the key of the jobs that share a limit on waiting tokens: a workspace's on a route. */
function quotaKeyOf(route: Route, workspace: string | undefined): string {
  const key = routeKeyOf(route);
  return workspace === undefined ? key : `${encodeURIComponent(workspace)}@${key}`;
}

/**
 * Returns the id of a job in the stores. It includes the workspace, so that a caller with the API
 * key of another workspace cannot detect that the job exists.
 */
export function storedJobId({ workspace, jobId }: Omit<JobReference, 'host'>): string {
  return workspace === undefined ? jobId : `${encodeURIComponent(workspace)}/${jobId}`;
}

/**
 * Returns the group of a host's jobs: a single one, so that one leader enforces their limits
 * exactly.
 */
export function jobGroupOf(host: string, groupCount: number): number {
  return groupOf(`jobs|${hostName(host)}`, groupCount);
}

/** Returns the groups that hold the jobs of all hosts, also of those without a current route. */
export function jobGroupsOf(fleet: KnownFleet): ReadonlySet<number> {
  const groupCount = fleet.storeCluster?.jobGroupCount ?? 0;
  if (groupCount === 0) return new Set();
  return new Set(fleet.knownJobHosts.map((host) => jobGroupOf(host, groupCount)));
}

/** Returns the jobs that a call may refer to, in the order in which they are looked up. */
function candidatesOf({ withoutWorkspace, ...reference }: JobCall): JobCandidate[] {
  const mustBePublic = reference.workspace === undefined && withoutWorkspace === 'public';
  // With a slash, the id could be that of a job of a workspace, see storedJobId.
  const mayBeUnowned = !reference.jobId.includes('/');
  const unowned = mayBeUnowned ? [{ ...reference, workspace: undefined, mustBePublic }] : [];
  if (reference.workspace === undefined) return unowned;
  return [{ ...reference, mustBePublic: false }, ...unowned];
}

/** Serves callers' calls on jobs. */
export class JobService {
  private readonly options: JobServiceOptions;

  constructor(options: JobServiceOptions) {
    this.options = options;
  }

  /** Submits a job to the stores; `accepted` means that a quorum of them has synced it to disk. */
  async submit(request: JobRequest, route: Route): Promise<SubmitOutcome> {
    const { host, path, items, workspace } = request;
    const jobId = storedJobId(request);
    if (items.length === 0 || items.length > MAX_ITEMS) {
      return { kind: 'invalid', message: `a job has 1 to ${MAX_ITEMS} items` };
    }
    const rules = route.jobs;
    if (rules === undefined) return { kind: 'invalid', message: 'the route does not accept jobs' };
    const outcome = await this.propose(request, {
      jobId,
      host,
      path,
      routeKey: routeKeyOf(route),
      quotaKey: quotaKeyOf(route, workspace),
      ...(workspace === undefined ? {} : { workspace }),
      isPublic: route.isPublic === true,
      routeName: route.name,
      configurationVersion: this.options.fleet.position.version,
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

  /**
   * Returns the results from a position on, after waiting up to `waitMs` for the first of them, or
   * less if this process stops; undefined if there is no such job.
   */
  async results(
    call: JobCall,
    { position, waitMs }: { readonly position: number; readonly waitMs: number },
  ): Promise<ResultsAnswer> {
    const limitedWaitMs = Math.min(waitMs, this.options.stop.waitLimitMs);
    const read = { position, waitMs: limitedWaitMs, maxBytes: MAX_RESULTS_BYTES };
    for (const job of candidatesOf(call)) {
      const answer = await this.readResults(job, read);
      if (answer !== undefined) return answer;
    }
    return undefined;
  }

  /** Whether the stores have the job of a call. */
  async isKnown(call: JobCall): Promise<boolean> {
    for (const job of candidatesOf(call)) {
      if ((await this.readResults(job, EXISTENCE_READ)) !== undefined) return true;
    }
    return false;
  }

  /** Returns the body of an item; undefined if there is none. */
  async body(call: JobCall, itemId: string): Promise<Uint8Array | undefined> {
    for (const job of candidatesOf(call)) {
      const body = { jobId: storedJobId(job), itemId };
      const answer = await this.call('itemBody', job.host, body, CALL_TIMEOUT_MS);
      const found = permitted(job, answer as BodyAnswer)?.body;
      if (found !== undefined) return found;
    }
    return undefined;
  }

  /** Ends a job at its caller's request. */
  async end(call: JobCall): Promise<EndAnswer> {
    let answer: EndAnswer = { outcome: 'unknown' };
    for (const job of candidatesOf(call)) {
      const mayEnd = !job.mustBePublic || (await this.readResults(job, EXISTENCE_READ));
      if (!mayEnd) continue;
      const body = { jobId: storedJobId(job) };
      answer = (await this.call('endJob', job.host, body, CALL_TIMEOUT_MS)) as EndAnswer;
      if (answer.outcome === 'ended') break;
    }
    this.options.logger.info('job ended by its caller', {
      step: 'end job',
      request: call.jobId,
      ...(call.workspace === undefined ? {} : { workspace: call.workspace }),
      outcome: answer.outcome,
    });
    return answer;
  }

  /** Reads results of a job; undefined if there is none that the caller may reach. */
  private async readResults(
    job: JobCandidate,
    read: Omit<ResultsRequest, 'jobId'>,
  ): Promise<ResultsAnswer> {
    const body: ResultsRequest = { jobId: storedJobId(job), ...read };
    const answer = await this.call('jobResults', job.host, body, read.waitMs + CALL_TIMEOUT_MS);
    return permitted(job, answer as ResultsAnswer);
  }

  private async propose(request: JobRequest, body: object): Promise<SubmitOutcome> {
    const timeoutMs = Math.max(100, request.timeLeftMs - SUBMIT_REPLY_MARGIN_MS);
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
    const answer = this.options.stores.call(method, group, { group, body }, timeoutMs);
    return this.untilClosing(method, answer);
  }

  /** Returns an answer of the stores, or fails when this process is about to exit. */
  private untilClosing(method: string, answer: Promise<unknown>): Promise<unknown> {
    return new Promise((resolve, reject) => {
      const removeListener = this.options.stop.onClosing(() => {
        reject(stoppedError(method));
      });
      answer.finally(removeListener).then(resolve, reject);
    });
  }
}

/** Returns an answer about a job if the caller may reach the job. */
function permitted<T extends { readonly isPublic?: boolean }>(
  { mustBePublic }: JobCandidate,
  answer: T | undefined,
): T | undefined {
  return mustBePublic && answer?.isPublic !== true ? undefined : answer;
}

function stoppedError(method: string): ShedlineError {
  const message = 'this entry stops; call another one';
  return READING_METHODS.has(method)
    ? new ShedlineError({ type: 'unavailable', message, step: method, ran: 'no' })
    : new ShedlineError({ type: 'deadline_exceeded', message, step: method, ran: 'unknown' });
}
