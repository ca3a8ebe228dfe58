/** Limit on the rate of requests, over all entries together. */
export interface RateLimit {
  /** Sustained rate, in requests per second. */
  readonly ratePerS: number;
  /** Number of requests above the sustained rate that may arrive at once. */
  readonly burst: number;
}
