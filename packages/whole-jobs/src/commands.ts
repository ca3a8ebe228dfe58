/**
 * Commands of the groups that hold whole jobs, and their replies. A command carries `atMs`, the
 * wall clock of the leader that proposed it. Replicas never read their own clocks.
 */

import type { StreamOrigin } from '@shedline/stream-origins';

interface Timestamped {
  readonly atMs: number;
}

/** One item of a job as submitted. */
export interface SubmittedItem {
  readonly itemId: string;
  readonly path: string;
  /** Name, value, name, value, … */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Tokens of the prompt plus the maximum number of generated tokens. */
  readonly tokens: number;
}

/** Accepts a whole job, or returns the known job with the same id. */
export interface SubmitJob extends Timestamped {
  readonly type: 'submitJob';
  readonly jobId: string;
  /** Host of the submission; host and path select the route of the items. */
  readonly host: string;
  readonly path: string;
  /** Key by which entries request its items; earlier versions omit it and use {@link quotaKey}. */
  readonly routeKey?: string;
  /** Name of the route that accepted the job; omitted by earlier versions. */
  readonly routeName?: string;
  /** Version of the configuration under which it was accepted; omitted by earlier versions. */
  readonly configurationVersion?: number;
  /** Workspace that owns the job; undefined if its route requires no API key. */
  readonly workspace?: string;
  /** Whether its route required no API key; omitted by earlier versions. */
  readonly isPublic?: boolean;
  /** Jobs with the same key share one limit on waiting tokens. */
  readonly quotaKey: string;
  /** Limit on the waiting tokens of the quota key; 0 means no limit. */
  readonly maxWaitingTokens: number;
  /** Time from the submission until all results are due. */
  readonly resultsDueMs: number;
  /** Time from the submission until unfinished items may be given up. */
  readonly keepItemsMs: number;
  /** Number of failed runs after which an item is given up. */
  readonly maxAttempts: number;
  readonly items: readonly SubmittedItem[];
}

/** Final state of an item. */
export type FinalItemState = 'complete' | 'errored';

/** Result of a finished item. */
export interface FinishedItem {
  readonly jobId: string;
  readonly index: number;
  readonly state: FinalItemState;
  readonly text: string;
}

/** An item whose run failed at an endpoint. */
export interface FailedItem {
  readonly jobId: string;
  readonly index: number;
  /** Identifies the run, so that a repeated command counts it once. */
  readonly runId: string;
}

/** An item whose endpoint crashed during its run; it is also listed as returned. */
export interface CrashedItem {
  readonly jobId: string;
  readonly index: number;
  /** Identifies the run, so that a repeated command counts it once. */
  readonly runId: string;
}

/** A crash during a run, which does not end the item. */
export interface SharedCrash extends CrashedItem {
  /** Whether the run had brought an event; most items that crash endpoints do so before. */
  readonly hasBegun: boolean;
}

/** Partial output of an item whose run was stopped. */
export interface ItemProgress {
  /** Data of the events received so far. */
  readonly pieces: readonly string[];
  readonly lastEventId: string;
  /** What wrote the events; omitted by earlier versions, whose progress no endpoint may continue. */
  readonly origin?: StreamOrigin;
}

/** An item that its holder returns unfinished. */
export interface ReturnedItem {
  readonly jobId: string;
  readonly index: number;
  readonly progress?: ItemProgress;
}

/** Stores results, counts failed and crashed runs, and keeps the progress of returned items. */
export interface CommitRuns extends Timestamped {
  readonly type: 'commitRuns';
  /** Process that ran the items. */
  readonly holder: string;
  readonly finished: readonly FinishedItem[];
  readonly failed: readonly FailedItem[];
  readonly returned: readonly ReturnedItem[];
  /**
   * Crashes that end an item after three of them: reported by entries of earlier versions for runs
   * without other items at the endpoint.
   */
  readonly crashed?: readonly CrashedItem[];
  /** All other crashes. */
  readonly sharedCrashes?: readonly SharedCrash[];
}

/** Ends a job: items without a result no longer run. */
export interface EndJob extends Timestamped {
  readonly type: 'endJob';
  readonly jobId: string;
}

/** Gives up items whose keep time has passed, and deletes old jobs. */
export interface Sweep extends Timestamped {
  readonly type: 'sweep';
  /** Time from the submission for which a finished job stays readable. */
  readonly retentionMs: number;
}

/** Any command of a job group. */
export type WholeJobCommand = SubmitJob | CommitRuns | EndJob | Sweep;

/** Reply to {@link SubmitJob}. */
export interface SubmitAnswer {
  readonly outcome: 'accepted' | 'known' | 'overQuota';
  /** Waiting tokens of the quota key after the command. */
  readonly waitingTokens: number;
}

/** Reply to {@link CommitRuns}. */
export interface CommitAnswer {
  /** Number of results stored. */
  readonly stored: number;
  /**
   * Number of results ignored: the item has a result already, or its job has ended or is unknown.
   */
  readonly dropped: number;
}

/** Reply to {@link EndJob}. */
export interface EndAnswer {
  readonly outcome: 'ended' | 'unknown';
}
