/**
 * Commands of the groups that hold whole jobs, and their answers. A command carries `atMs`, the
 * wall clock of the leader that proposed it; replicas never read a clock of their own.
 */

interface Timed {
  readonly atMs: number;
}

/** One item of a job as submitted. */
export interface SubmittedItem {
  readonly itemId: string;
  readonly path: string;
  /** Name, value, name, value, … */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Tokens of the prompt and the most that may be generated. */
  readonly tokens: number;
}

/** Accepts a whole job, or finds the one with the same id. */
export interface SubmitJob extends Timed {
  readonly type: 'submitJob';
  readonly jobId: string;
  /** Host and path of the submission; they select the route of the items. */
  readonly host: string;
  readonly path: string;
  /** Its items are asked for by this; left out by earlier programs, which asked by {@link quotaKey}. */
  readonly routeKey?: string;
  /** Workspace that it belongs to and runs as; undefined where its route asks for no key. */
  readonly workspace?: string;
  /** Jobs with the same key share one bound on waiting tokens. */
  readonly quotaKey: string;
  /** 0 is no bound. */
  readonly maxWaitingTokens: number;
  /** Time after the submission at which all results are due. */
  readonly resultsDueMs: number;
  /** Time after the submission from which its items may be given up. */
  readonly keepItemsMs: number;
  /** Failed runs after which an item is given up. */
  readonly maxAttempts: number;
  readonly items: readonly SubmittedItem[];
}

/** How an item ended. */
export type ItemEnd = 'complete' | 'errored';

/** A result of an item. */
export interface FinishedItem {
  readonly jobId: string;
  readonly index: number;
  readonly state: ItemEnd;
  readonly text: string;
}

/** An item whose run failed at an endpoint. */
export interface FailedItem {
  readonly jobId: string;
  readonly index: number;
  /** Names the run, so that a repeated command counts it once. */
  readonly runId: string;
}

/** An item whose endpoint ended while it ran there; it is handed back as well. */
export interface CrashedItem {
  readonly jobId: string;
  readonly index: number;
  /** Names the run, so that a repeated command counts it once. */
  readonly runId: string;
}

/** How far an item got before its run was stopped. */
export interface ItemProgress {
  /** Data of its events so far. */
  readonly pieces: readonly string[];
  readonly lastEventId: string;
}

/** An item that its holder hands back. */
export interface ReturnedItem {
  readonly jobId: string;
  readonly index: number;
  readonly progress?: ItemProgress;
}

/** Stores results, counts failed runs and keeps what items that are handed back have so far. */
export interface CommitRuns extends Timed {
  readonly type: 'commitRuns';
  /** Who ran the items. */
  readonly holder: string;
  readonly finished: readonly FinishedItem[];
  readonly failed: readonly FailedItem[];
  readonly returned: readonly ReturnedItem[];
  /** Left out by earlier programs. */
  readonly crashed?: readonly CrashedItem[];
}

/** Ends a job: what is not listed yet will not run any more. */
export interface EndJob extends Timed {
  readonly type: 'endJob';
  readonly jobId: string;
}

/** Gives up items that were kept long enough, and forgets old jobs. */
export interface Sweep extends Timed {
  readonly type: 'sweep';
  /** Time after the submission for which a job that is over stays readable. */
  readonly retentionMs: number;
}

/** Any command of a job group. */
export type WholeJobCommand = SubmitJob | CommitRuns | EndJob | Sweep;

/** Answer to {@link SubmitJob}. */
export interface SubmitAnswer {
  readonly outcome: 'accepted' | 'known' | 'overQuota';
  /** Tokens waiting under the quota key after the command. */
  readonly waitingTokens: number;
}

/** Answer to {@link CommitRuns}. */
export interface CommitAnswer {
  readonly stored: number;
  readonly dropped: number;
}

/** Answer to {@link EndJob}. */
export interface EndAnswer {
  readonly outcome: 'ended' | 'unknown';
}
