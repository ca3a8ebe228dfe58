/**
 * Limits how many items run at once that each lost several endpoints. Mostly something else ended
 * those endpoints, and the items complete as soon as that is over; an item that does end its endpoints
 * must not take one after the other.
 */

const MAX_RUNS = 64;

/** The number of such items that may run at once: more with each that completes. */
export class CautiousRuns {
  private currentLimit = 1;

  /** Number of such items that may run at once. */
  get limit(): number {
    return this.currentLimit;
  }

  /** Notes that such an item has completed. */
  completed(): void {
    this.currentLimit = Math.min(MAX_RUNS, this.currentLimit * 2);
  }

  /** Notes that such an item lost its endpoint again. */
  crashed(): void {
    this.currentLimit = 1;
  }
}
