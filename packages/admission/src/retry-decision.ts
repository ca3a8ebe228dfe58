/**
 * Whether a failed send may be repeated, and what the caller is told of it.
 */
import type { Ran } from '@shedline/types';

/** How far a send got. */
export type SendProgress =
  /** No byte of the request reached the endpoint. */
  | 'notSent'
  /** The endpoint said that it did not run the request. */
  | 'refused'
  /** Bytes went out and no whole answer came. */
  | 'sent';

/** What the decision depends on. */
export interface FailedSend {
  readonly progress: SendProgress;
  readonly idempotent: boolean;
  readonly attempts: number;
  readonly maxAttempts: number;
  /** Time left until the caller's deadline. */
  readonly leftMs: number;
  /** Whether another endpoint could take the request. */
  readonly hasAlternative: boolean;
}

/** Least time left that a repetition is worth. */
const MIN_LEFT_MS = 20;

/** Whether the request may go out again; the retry budget is asked besides. */
export function mayRetry(failed: FailedSend): boolean {
  if (failed.attempts >= failed.maxAttempts) return false;
  if (failed.leftMs < MIN_LEFT_MS || !failed.hasAlternative) return false;
  return failed.idempotent || failed.progress !== 'sent';
}

/** What may truly be said after the sends so far: `no` only if none of them can have run. */
export function ranAfter(sends: readonly SendProgress[]): Ran {
  return sends.every((progress) => progress !== 'sent') ? 'no' : 'unknown';
}
