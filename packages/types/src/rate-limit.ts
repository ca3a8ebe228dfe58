/** How often requests may come, over all entries together. */
export interface RateLimit {
  /** Requests a second that may go on for ever. */
  readonly ratePerS: number;
  /** Requests beyond that which may come at once. */
  readonly burst: number;
}
