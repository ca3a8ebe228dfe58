/**
 * The clock of leases that are renewed through a third party. While nothing is received from that
 * party, a missing renewal is no evidence against the holder of a lease, so the clock is paused.
 */

/** Options of {@link LeaseClock}. */
export interface LeaseClockOptions {
  /** Time without a message from the third party after which the clock pauses. */
  readonly pauseAfterMs: number;
  /**
   * Time without a message after which the clock resumes: what is known of the holders is too old to
   * rely on by then.
   */
  readonly resumeAfterMs: number;
}

/** A clock that pauses while nothing is received from the third party. */
export class LeaseClock {
  private readonly options: LeaseClockOptions;
  private lastReceivedAtMs: number | undefined;
  /** Reading of this clock when the last message was received. */
  private readingMs = 0;

  constructor(options: LeaseClockOptions) {
    this.options = options;
  }

  /** Records a message of the third party, even if it contains no changes. */
  messageReceived(nowMs: number): void {
    this.readingMs = this.at(nowMs);
    this.lastReceivedAtMs = nowMs;
  }

  /** Returns the reading of this clock at a time of the steady clock. */
  at(nowMs: number): number {
    if (this.lastReceivedAtMs === undefined) return nowMs;
    const { pauseAfterMs, resumeAfterMs } = this.options;
    const sinceLastMs = nowMs - this.lastReceivedAtMs;
    const afterResumeMs = Math.max(0, sinceLastMs - resumeAfterMs);
    return this.readingMs + Math.min(sinceLastMs, pauseAfterMs) + afterResumeMs;
  }
}
