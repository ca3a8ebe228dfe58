/**
 * Batch jobs and their items.
 */

/** Transient and final states of an item; snapshots store a state as its position in this list. */
export const ITEM_STATES = [
  'pending',
  'leased',
  'started',
  'completed',
  'failed',
  'cancelled',
  'inDoubt',
] as const;

/** State of an item. */
export type ItemState = (typeof ITEM_STATES)[number];

/** State of a job: `open` accepts items, `sealed` has all its items, the others are final. */
export type JobState = 'open' | 'sealed' | 'completed' | 'cancelled';

/** Numbers of items of a job by state; `pending` counts all items that are not final. */
export interface JobCounts {
  readonly total: number;
  readonly completed: number;
  readonly failed: number;
  readonly cancelled: number;
  readonly inDoubt: number;
  readonly pending: number;
}

/** Job as reported to callers. */
export interface JobView {
  readonly jobId: string;
  readonly workspace: string;
  readonly service: string;
  readonly jobKey: string;
  readonly state: JobState;
  readonly dueAtMs: number;
  readonly idempotent: boolean;
  readonly received: number;
  readonly counts: JobCounts;
  /** Number of results dropped because their item was already final. */
  readonly duplicatesDropped: number;
  /** Whether the job is predicted to miss its due time. */
  readonly predictedLate: boolean;
}

/** Items leased to an entry for a limited time. */
export interface ItemLease {
  readonly leaseId: string;
  readonly jobId: string;
  readonly workspace: string;
  readonly service: string;
  readonly idempotent: boolean;
  readonly dueAtMs: number;
  readonly items: readonly LeasedItem[];
}

/** Item of a lease. */
export interface LeasedItem {
  readonly index: number;
  /** Number of the attempt, from 1. */
  readonly attempt: number;
  /** Whether the item must run alone on its endpoint, because it is suspected of crashing it. */
  readonly alone: boolean;
  /** Line of the caller's upload, as received. */
  readonly line: string;
}

/** Outcome of an item as reported by an entry. */
export type ItemOutcome = 'completed' | 'failed' | 'inDoubt';

/** Result of an item that an entry commits. */
export interface ItemResult {
  readonly jobId: string;
  readonly index: number;
  readonly outcome: ItemOutcome;
  /** JSON text of the response or error. */
  readonly body: string;
}

/**
 * Reason why an entry returns an item without a result. `notRun` is reported only if no byte of
 * the item reached an endpoint, or if the endpoint reported that it did not run.
 */
export type ReturnReason = 'yielded' | 'notRun' | 'endpointLost' | 'retryable';

/** Item that an entry returns without a result. */
export interface ItemReturn {
  readonly jobId: string;
  readonly index: number;
  readonly reason: ReturnReason;
  /** Description of the failure, for the error of an item that is given up. */
  readonly cause: string;
}
