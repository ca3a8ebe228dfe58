/**
 * The highest value of the last moments: batch work that starts in a slot which is free for an
 * instant only would be stopped again at once.
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
  /** Falling values with rising times: the first is the maximum. */
  private samples: Sample[] = [];

  constructor(options: RecentPeakOptions) {
    this.windowMs = options.windowMs;
  }

  /** Notes a value; gives the highest of the window. */
  note(value: number, nowMs: number): number {
    while ((this.samples.at(-1)?.value ?? Infinity) <= value) this.samples.pop();
    this.samples.push({ value, atMs: nowMs });
    while ((this.samples[0]?.atMs ?? nowMs) < nowMs - this.windowMs) this.samples.shift();
    return this.samples[0]?.value ?? value;
  }
}
