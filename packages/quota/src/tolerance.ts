/**
 * How exactly limits have to be kept. A limit that holds over entries which do not wait for each other is
 * kept within a tolerance that operators state; half of it is given to callers, half to what is heard late.
 */
import type { RateLimit } from '@shedline/types';

/** What operators allow beyond a limit. */
export interface QuotaTolerance {
  /** Length of the sliding windows in which a limit is looked at. */
  readonly windowMs: number;
  /** Share of a limit that may pass beyond it in a window. */
  readonly overshootShare: number;
  /** Requests that may pass beyond that in a window. */
  readonly slack: number;
}

/**
 * Share of the tolerance by which a burst may be larger than the limit says. A keeper that takes a count over
 * lets as much pass again before it knows what was left; the rest covers requests that are under way to the
 * keeper. With half of it, ten times a limit of 60 a second and a keeper that is lost went 80 beyond the
 * limit in 5 s where 56 are tolerated; with this, 42 (model of 56 entries).
 */
const GIVEN_SHARE = 0.4;

/** Requests that a limit allows in one window, tolerance left out. */
export function allowedInWindow(
  { ratePerS, burst }: RateLimit,
  { windowMs }: QuotaTolerance,
): number {
  return (ratePerS * windowMs) / 1000 + burst;
}

/** Requests by which a burst may be larger than the limit says. */
export function headroom(limit: RateLimit, tolerance: QuotaTolerance): number {
  const { overshootShare, slack } = tolerance;
  return GIVEN_SHARE * (overshootShare * allowedInWindow(limit, tolerance) + slack);
}
