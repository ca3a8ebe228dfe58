/**
 * Maximum over a short sliding window. Applied to the online load, it prevents that batch work
 * starts in a slot that is free only briefly, since that work would be stopped again at once.
 */

interface Sample {
  readonly value: number;
  readonly atMs: number;
}

/** Options of {@link RecentPeak}. */
export interface RecentPeakOptions {
  readonly windowMs: number;
}

/** A sliding maximum. */
export class RecentPeak {
  private readonly windowMs: number;
  /** Monotonic queue: values decrease as times increase, and the first is the maximum. */
  private samples: Sample[] = [];

  constructor(options: RecentPeakOptions) {
    this.windowMs = options.windowMs;
  }

  /** Records a value; returns the highest value of the window. */
  note(value: number, nowMs: number): number {
    while ((this.samples.at(-1)?.value ?? Infinity) <= value) this.samples.pop();
    this.samples.push({ value, atMs: nowMs });
    while ((this.samples[0]?.atMs ?? nowMs) < nowMs - this.windowMs) this.samples.shift();
    return this.samples[0]?.value ?? value;
  }
}
