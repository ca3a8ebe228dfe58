/**
 * Decides whether a failed attempt may be retried, and what is reported about its execution.
 */
import type { ExecutionStatus } from '@shedline/types';

/** How far an attempt to send a request got. */
export type SendProgress =
  /** No byte of the request reached the endpoint. */
  | 'notSent'
  /** The endpoint reported that it did not run the request. */
  | 'refused'
  /** Bytes were sent and no complete response was received. */
  | 'sent';

/** Input of {@link mayRetry}. */
export interface FailedAttempt {
  readonly progress: SendProgress;
  readonly idempotent: boolean;
  /** Attempts so far, the failed one included. */
  readonly attempts: number;
  readonly maxAttempts: number;
  /** Time left until the caller's deadline. */
  readonly leftMs: number;
  /** Whether another endpoint could take the request. */
  readonly hasAlternative: boolean;
}

/** Minimum time until the deadline for a retry to be worthwhile. */
const MIN_REMAINING_MS = 20;

/** Whether the request may be sent again. The retry budget is checked separately. */
export function mayRetry(failed: FailedAttempt): boolean {
  if (failed.attempts >= failed.maxAttempts) return false;
  if (failed.leftMs < MIN_REMAINING_MS || !failed.hasAlternative) return false;
  return failed.idempotent || failed.progress !== 'sent';
}

/** Returns whether the request ran in any attempt: `no` only if none of them can have run it. */
export function ranAfterAttempts(attempts: readonly SendProgress[]): ExecutionStatus {
  return attempts.every((progress) => progress !== 'sent') ? 'no' : 'unknown';
}
