/**
 * Batch jobs and their items.
 */

/** Final and passing states of one item. */
export const ITEM_STATES = [
  'pending',
  'leased',
  'started',
  'completed',
  'failed',
  'cancelled',
  'inDoubt',
] as const;

/** State of one item. */
export type ItemState = (typeof ITEM_STATES)[number];

/** States of a job. `open` takes items; `sealed` has all of them; the rest are final. */
export type JobState = 'open' | 'sealed' | 'completed' | 'cancelled';

/** Items of a job by state. */
export interface JobCounts {
  readonly total: number;
  readonly completed: number;
  readonly failed: number;
  readonly cancelled: number;
  readonly inDoubt: number;
  readonly pending: number;
}

/** What a caller sees of a job. */
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
  /** Results that came after the first one for their item and were dropped. */
  readonly duplicatesDropped: number;
  /** Whether the job is predicted to end after its due time. */
  readonly predictedLate: boolean;
}

/** Items granted to one entry for a limited time. */
export interface ItemLease {
  readonly leaseId: string;
  readonly jobId: string;
  readonly workspace: string;
  readonly service: string;
  readonly idempotent: boolean;
  readonly dueAtMs: number;
  readonly items: readonly LeasedItem[];
}

/** One item of a lease. */
export interface LeasedItem {
  readonly index: number;
  readonly attempt: number;
  /** Runs alone on its endpoint: it is suspected of killing engines. */
  readonly alone: boolean;
  /** The caller's line as received. */
  readonly line: string;
}

/** How an item ended, as an entry reports it. */
export type ItemOutcome = 'completed' | 'failed' | 'inDoubt';

/** One result that an entry commits. */
export interface ItemResult {
  readonly jobId: string;
  readonly index: number;
  readonly outcome: ItemOutcome;
  /** JSON text of the response or of the error. */
  readonly body: string;
}

/**
 * Why an entry hands an item back without a result. `notRun` is only said when no byte of
 * the item reached an endpoint, or the endpoint said so.
 */
export type ReturnReason = 'yielded' | 'notRun' | 'endpointLost' | 'retryable';

/** One item that an entry hands back. */
export interface ItemReturn {
  readonly jobId: string;
  readonly index: number;
  readonly reason: ReturnReason;
  readonly cause: string;
}
