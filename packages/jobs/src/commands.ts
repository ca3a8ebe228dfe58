/**
 * Commands of the job groups and their replies. A command carries `atMs`, the wall clock of
 * the leader that proposed it. Replicas never read their own clocks.
 */
import type { ItemLease, ItemResult, ItemReturn, JobView, PastDuePolicy } from '@shedline/types';

interface Timestamped {
  readonly atMs: number;
}

/** Creates a job, or returns the existing job with the same key. */
export interface CreateJob extends Timestamped {
  readonly type: 'createJob';
  readonly jobId: string;
  readonly workspace: string;
  readonly service: string;
  readonly jobKey: string;
  readonly dueAtMs: number;
  readonly idempotent: boolean;
  readonly pastDue: PastDuePolicy;
}

/** Adds items starting at an index. */
export interface PutItems extends Timestamped {
  readonly type: 'putItems';
  readonly jobId: string;
  readonly workspace: string;
  readonly fromIndex: number;
  /** One JSON text per item, without line breaks. */
  readonly lines: readonly string[];
}

/** Ends the upload. */
export interface SealJob extends Timestamped {
  readonly type: 'sealJob';
  readonly jobId: string;
  readonly workspace: string;
  readonly itemCount: number;
}

/** Stops a job. */
export interface CancelJob extends Timestamped {
  readonly type: 'cancelJob';
  readonly jobId: string;
  readonly workspace: string;
}

/** Leases items of one service to an entry. */
export interface GrantItems extends Timestamped {
  readonly type: 'grantItems';
  readonly owner: string;
  readonly workspace: string;
  readonly service: string;
  readonly maxItems: number;
}

/** Records durably that non-idempotent items are about to be sent. */
export interface StartItems extends Timestamped {
  readonly type: 'startItems';
  readonly leaseId: string;
  readonly jobId: string;
  readonly indexes: readonly number[];
}

/** Stores results and takes returned items back, in one group commit. */
export interface CommitItems extends Timestamped {
  readonly type: 'commitItems';
  readonly owner: string;
  readonly results: readonly ItemResult[];
  readonly returns: readonly ItemReturn[];
}

/** Takes back the items leased to an unresponsive holder. */
export interface ExpireLeases extends Timestamped {
  readonly type: 'expireLeases';
  readonly leaseIds: readonly string[];
}

/** Fails pending items past due if their row requires it, and deletes old jobs and call claims. */
export interface Housekeep extends Timestamped {
  readonly type: 'housekeep';
  readonly jobRetentionMs: number;
  readonly callRetentionMs: number;
}

/** Claims a non-idempotent call before its single attempt. */
export interface ClaimCall extends Timestamped {
  readonly type: 'claimCall';
  readonly key: string;
  /** Identifies the claimant, so that a claim can be retried if its reply was lost. */
  readonly claimId: string;
  readonly requestHash: string;
  readonly deadlineMs: number;
}

/** Records the outcome of a claimed call. */
export interface FinishCall extends Timestamped {
  readonly type: 'finishCall';
  readonly key: string;
  readonly claimId: string;
  readonly outcome: 'recorded' | 'inDoubt' | 'notRun';
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
}

/** Any command of a job group. */
export type JobCommand =
  | CreateJob
  | PutItems
  | SealJob
  | CancelJob
  | GrantItems
  | StartItems
  | CommitItems
  | ExpireLeases
  | Housekeep
  | ClaimCall
  | FinishCall;

/** Reply to a refused command. */
export interface Refusal {
  readonly ok: false;
  readonly reason: 'notFound' | 'conflict' | 'invalid';
  readonly message: string;
}

/** Reply to a command on a job. */
export interface JobAnswer {
  readonly ok: true;
  /** Whether the command created the job. */
  readonly created: boolean;
  readonly job: JobView;
}

/** Reply to {@link GrantItems}. */
export interface GrantAnswer {
  readonly ok: true;
  readonly leases: readonly ItemLease[];
}

/** Reply to {@link StartItems}: the items that may be sent. */
export interface StartAnswer {
  readonly ok: true;
  readonly started: readonly number[];
}

/** Reply to {@link CommitItems}: the numbers of results stored and dropped. */
export interface CommitAnswer {
  readonly ok: true;
  readonly stored: number;
  readonly dropped: number;
}

/** Reply to {@link ClaimCall}. */
export type ClaimAnswer =
  | { readonly ok: true; readonly claim: 'granted' | 'inProgress' | 'inDoubt' | 'mismatch' }
  | {
      readonly ok: true;
      readonly claim: 'recorded';
      readonly status: number;
      readonly contentType: string;
      readonly body: Uint8Array;
    };

/** Reply to a command without a result. */
export interface DoneAnswer {
  readonly ok: true;
}

/** Any reply of a job group. */
export type JobGroupAnswer =
  Refusal | JobAnswer | GrantAnswer | StartAnswer | CommitAnswer | ClaimAnswer | DoneAnswer;
