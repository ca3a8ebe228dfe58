/**
 * How much longer items take than a usual run that nothing interrupts: their sizes differ, they yield
 * their slots to online work, wait for another one and read their prompt again.
 */

/** Stretch before an item was seen to end: one run in three is usually cut. */
const FIRST_STRETCH = 1.4;
const FIRST_DEVIATION = 0.2;
/** Weight of the newest item. */
const SMOOTHING = 0.1;
/** An item that lay for longer says more of the load than of what to expect of the next one. */
const MAX_STRETCH = 4;
/**
 * Deviations above the mean that an item is given. With the mean alone 0.63 of the items that could have been on
 * time at four times the capacity were, with two deviations 0.85 (item-load test, one seed).
 */
const DEVIATIONS = 2;

/** Stretch as observed by the leader of a group. */
export class ItemPace {
  private mean = FIRST_STRETCH;
  private deviation = FIRST_DEVIATION;

  /** Time from the first run to the end that most items need, as a multiple of a usual run. */
  get stretch(): number {
    return this.mean + DEVIATIONS * this.deviation;
  }

  /** An item ended `tookMs` after its first run began; a usual run takes `runMs`. */
  finished(tookMs: number, runMs: number): void {
    if (runMs <= 0) return;
    const seen = Math.min(MAX_STRETCH, tookMs / runMs);
    this.deviation += SMOOTHING * (Math.abs(seen - this.mean) - this.deviation);
    this.mean += SMOOTHING * (seen - this.mean);
  }
}
