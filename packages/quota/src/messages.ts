/**
 * What an entry and the keeper of a workspace's count tell each other.
 */
import type { RateLimit } from '@shedline/types';

/** Parts of a window in which requests are counted. */
export const WINDOW_SLICES = 10;

/** A limit, and the version of the configuration that set it: a keeper goes by the newest that it heard of. */
export interface QuotaTerms extends RateLimit {
  readonly version: number;
}

/** Requests that an entry let in without asking; negative where some of them did not run after all. */
export interface UsageReport {
  readonly workspace: string;
  readonly terms: QuotaTerms;
  readonly used: number;
  /**
   * What it let in over the last window, told once to a keeper that is new to it, since the keeper before knew of
   * these: by slices of the window, see {@link WINDOW_SLICES}, the newest first.
   */
  readonly usedBefore?: readonly number[];
}

/** Asks whether requests may pass. */
export interface QuotaRequest {
  readonly workspace: string;
  readonly terms: QuotaTerms;
  /** Requests that wait for the answer. */
  readonly wanted: number;
}

/** Answer to {@link QuotaRequest}. */
export interface QuotaAnswer {
  /** Requests that may pass. */
  readonly granted: number;
  /** Time until there is room for the first of the others, those refused before them counted in. */
  readonly roomInMs: number;
  /** Time between the room for one and for the next. */
  readonly spacingMs: number;
}
