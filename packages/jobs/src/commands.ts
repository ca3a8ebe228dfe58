/**
 * Commands of the job groups and their answers. A command carries `atMs`, the wall clock of
 * the leader that proposed it; replicas never read a clock of their own.
 */
import type { ItemLease, ItemResult, ItemReturn, JobView, PastDuePolicy } from '@shedline/types';

interface Timed {
  readonly atMs: number;
}

/** Creates a job, or finds the one with the same key. */
export interface CreateJob extends Timed {
  readonly type: 'createJob';
  readonly jobId: string;
  readonly workspace: string;
  readonly service: string;
  readonly jobKey: string;
  readonly dueAtMs: number;
  readonly idempotent: boolean;
  readonly pastDue: PastDuePolicy;
}

/** Adds items from an index on. */
export interface PutItems extends Timed {
  readonly type: 'putItems';
  readonly jobId: string;
  readonly workspace: string;
  readonly fromIndex: number;
  /** One JSON text an item; none contains a line break. */
  readonly lines: readonly string[];
}

/** Ends the upload. */
export interface SealJob extends Timed {
  readonly type: 'sealJob';
  readonly jobId: string;
  readonly workspace: string;
  readonly itemCount: number;
}

/** Stops a job. */
export interface CancelJob extends Timed {
  readonly type: 'cancelJob';
  readonly jobId: string;
  readonly workspace: string;
}

/** Leases items of one service to an entry. */
export interface GrantItems extends Timed {
  readonly type: 'grantItems';
  readonly owner: string;
  readonly workspace: string;
  readonly service: string;
  readonly maxItems: number;
}

/** Says durably that non-idempotent items are about to be sent. */
export interface StartItems extends Timed {
  readonly type: 'startItems';
  readonly leaseId: string;
  readonly jobId: string;
  readonly indexes: readonly number[];
}

/** Stores results and takes items back, in one group commit. */
export interface CommitItems extends Timed {
  readonly type: 'commitItems';
  readonly owner: string;
  readonly results: readonly ItemResult[];
  readonly returns: readonly ItemReturn[];
}

/** Takes back what a silent holder had. */
export interface ExpireLeases extends Timed {
  readonly type: 'expireLeases';
  readonly leaseIds: readonly string[];
}

/** Ends items past due where the row says so, and forgets old jobs and calls. */
export interface Housekeep extends Timed {
  readonly type: 'housekeep';
  readonly jobRetentionMs: number;
  readonly callRetentionMs: number;
}

/** Claims a non-idempotent call before its one send. */
export interface ClaimCall extends Timed {
  readonly type: 'claimCall';
  readonly key: string;
  /** Names the claimant, so that a claim whose answer was lost can be asked for again. */
  readonly claimId: string;
  readonly requestHash: string;
  readonly deadlineMs: number;
}

/** How a claimed call ended. */
export interface FinishCall extends Timed {
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

/** Why a command was refused. */
export interface Refusal {
  readonly ok: false;
  readonly reason: 'notFound' | 'conflict' | 'invalid';
  readonly message: string;
}

/** Answer to a command on a job. */
export interface JobAnswer {
  readonly ok: true;
  readonly created: boolean;
  readonly job: JobView;
}

/** Answer to {@link GrantItems}. */
export interface GrantAnswer {
  readonly ok: true;
  readonly leases: readonly ItemLease[];
}

/** Answer to {@link StartItems}: the items that may be sent. */
export interface StartAnswer {
  readonly ok: true;
  readonly started: readonly number[];
}

/** Answer to {@link CommitItems}. */
export interface CommitAnswer {
  readonly ok: true;
  readonly stored: number;
  readonly dropped: number;
}

/** Answer to {@link ClaimCall}. */
export type ClaimAnswer =
  | { readonly ok: true; readonly claim: 'granted' | 'inProgress' | 'inDoubt' | 'mismatch' }
  | {
      readonly ok: true;
      readonly claim: 'recorded';
      readonly status: number;
      readonly contentType: string;
      readonly body: Uint8Array;
    };

/** Answer to a command that has nothing to tell. */
export interface DoneAnswer {
  readonly ok: true;
}

/** Any answer of a job group. */
export type JobGroupAnswer =
  Refusal | JobAnswer | GrantAnswer | StartAnswer | CommitAnswer | ClaimAnswer | DoneAnswer;
