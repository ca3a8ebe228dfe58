/**
 * Messages between an entry and the counter of a workspace: the control process that counts the
 * requests of this workspace.
 */
import type { RateLimit } from '@shedline/types';

/** Number of slices into which a window is divided to count requests. */
export const WINDOW_SLICES = 10;

/** A limit and the version of its configuration; a counter applies the newest version received. */
export interface QuotaTerms extends RateLimit {
  readonly version: number;
}

/** Reports requests that an entry admitted without a grant of the counter. */
export interface UsageReport {
  readonly workspace: string;
  readonly terms: QuotaTerms;
  /** Requests since the last report; negative if more of them were returned than admitted. */
  readonly used: number;
  /**
   * Requests that the entry admitted over the last window, which only the former counter knows.
   * Sent once to a new counter, by slices of the window (see {@link WINDOW_SLICES}), newest first.
   */
  readonly usedBefore?: readonly number[];
}

/** Requests grants for waiting requests of a workspace. */
export interface QuotaRequest {
  readonly workspace: string;
  readonly terms: QuotaTerms;
  /** Number of requests that wait for the reply. */
  readonly wanted: number;
}

/** Reply to {@link QuotaRequest}. */
export interface QuotaAnswer {
  /** Number of requests that are admitted. */
  readonly granted: number;
  /** Time until the first refused request can be admitted, after those refused earlier. */
  readonly roomInMs: number;
  /** Time between two admitted requests at the limit's rate. */
  readonly spacingMs: number;
}
