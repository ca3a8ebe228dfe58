/**
 * Estimate of the slowdown of items: the ratio of the time from first run to result to the duration
 * of a typical uninterrupted run. Items vary in size; an interrupted item yields its slot to online
 * work, waits for another slot and has its prompt processed again.
 */

/** Slowdown assumed before the first item finishes: typically one run in three is interrupted. */
const INITIAL_SLOWDOWN = 1.4;
const INITIAL_DEVIATION = 0.2;
/** Weight of the newest item in the moving averages. */
const SMOOTHING = 0.1;
/**
 * Cap on one sample: a larger slowdown reflects queueing under load rather than the next item's
 * needs.
 */
const MAX_SLOWDOWN = 4;
/**
 * Mean deviations added to the mean. At four times the capacity, 0.63 of the items that could meet
 * their due time do so with the mean alone, and 0.85 with two deviations (item-load test, one
 * seed).
 */
const DEVIATIONS = 2;

/** Slowdown of items as observed by the leader of a group. */
export class SlowdownEstimate {
  private mean = INITIAL_SLOWDOWN;
  private deviation = INITIAL_DEVIATION;

  /**
   * Time from first run to result within which most items finish, as a multiple of a typical run.
   */
  get slowdown(): number {
    return this.mean + DEVIATIONS * this.deviation;
  }

  /**
   * Records an item that finished `tookMs` after its first run began; a typical run takes `runMs`.
   */
  addSample(tookMs: number, runMs: number): void {
    if (runMs <= 0) return;
    const sample = Math.min(MAX_SLOWDOWN, tookMs / runMs);
    this.deviation += SMOOTHING * (Math.abs(sample - this.mean) - this.deviation);
    this.mean += SMOOTHING * (sample - this.mean);
  }
}
