/**
 * Estimates how long ago a caller sent its first attempt. Callers state how long they will still
 * wait, and a caller that retries after a refusal has less time left than most.
 */

/** Number of recent requests that the typical time is computed from. */
const SAMPLE_COUNT = 32;
/**
 * Quantile of the stated times that counts as typical. Most requests are first attempts, a few
 * callers wait much longer than the others, and after a power loss many callers retry.
 */
const TYPICAL_QUANTILE = 0.75;

/** Times that the callers of one route are willing to wait. */
export class CallerTimeLimits {
  private readonly recentMs: number[] = [];
  private next = 0;

  /** Records the time that a caller will still wait. */
  record(timeLeftMs: number): void {
    this.recentMs[this.next] = timeLeftMs;
    this.next = (this.next + 1) % SAMPLE_COUNT;
  }

  /** Returns the estimated time since the first attempt of a caller that will wait this long. */
  sinceFirstAttemptMs(timeLeftMs: number): number {
    const sorted = [...this.recentMs].sort((a, b) => a - b);
    const typicalMs = sorted[Math.floor(sorted.length * TYPICAL_QUANTILE)] ?? timeLeftMs;
    return Math.max(0, typicalMs - timeLeftMs);
  }
}
