/**
 * Tolerance of limits. Entries enforce a common limit without waiting for each other, so it holds
 * within a tolerance set by the operator. A part of the tolerance extends the burst; the rest
 * covers delayed reports.
 */
import type { RateLimit } from '@shedline/types';

/** Requests that may be admitted beyond a limit. */
export interface QuotaTolerance {
  /** Length of the sliding windows over which a limit is measured. */
  readonly windowMs: number;
  /** Tolerated excess in a window, as a share of the requests that the limit allows there. */
  readonly overshootShare: number;
  /** Tolerated excess in a window beyond that share, in requests. */
  readonly slack: number;
}

/**
 * Share of the tolerance that extends the burst. A counter that takes over grants this amount again
 * before it knows what was left; the rest covers requests not yet reported to the counter. With a
 * share of 0.5, ten times a limit of 60 a second and the loss of a counter exceeded the limit by 80
 * requests in 5 s, where 56 are tolerated; with 0.4, by 42 (56 entries).
 */
const EXTRA_BURST_SHARE = 0.4;

/** Returns the requests that a limit allows in one window, without the tolerance. */
export function allowedInWindow(
  { ratePerS, burst }: RateLimit,
  { windowMs }: QuotaTolerance,
): number {
  return (ratePerS * windowMs) / 1000 + burst;
}

/** Returns the number of requests by which the burst may exceed that of the limit. */
export function extraBurst(limit: RateLimit, tolerance: QuotaTolerance): number {
  const { overshootShare, slack } = tolerance;
  return EXTRA_BURST_SHARE * (overshootShare * allowedInWindow(limit, tolerance) + slack);
}
