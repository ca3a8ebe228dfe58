/**
 * The clock of leases that are renewed through a third party. While that party says nothing at all, a
 * lease that is not renewed tells nothing of its holder, so the clock stands still.
 */

/** Options of {@link LeaseClock}. */
export interface LeaseClockOptions {
  /** Silence of the third party that still counts in full. */
  readonly usualSilenceMs: number;
  /** Silence from which on the clock runs again: what is known is too old by then. */
  readonly longestSilenceMs: number;
}

/** A clock that stands still while nothing is heard. */
export class LeaseClock {
  private readonly options: LeaseClockOptions;
  private heardAtMs: number | undefined;
  /** Reading of this clock when something was last heard. */
  private readingMs = 0;

  constructor(options: LeaseClockOptions) {
    this.options = options;
  }

  /** Something was heard, be it that there is nothing new. */
  heard(nowMs: number): void {
    this.readingMs = this.at(nowMs);
    this.heardAtMs = nowMs;
  }

  /** Reading at a time of the steady clock. */
  at(nowMs: number): number {
    if (this.heardAtMs === undefined) return nowMs;
    const { usualSilenceMs, longestSilenceMs } = this.options;
    const silentMs = nowMs - this.heardAtMs;
    const beyondMs = Math.max(0, silentMs - longestSilenceMs);
    return this.readingMs + Math.min(silentMs, usualSilenceMs) + beyondMs;
  }
}
