/**
 * A rate limit whose rate may change from moment to moment.
 */

/** Seconds of rate that may be saved up. */
const BURST_SECONDS = 1;

/** A token bucket. It may go into debt where the cost is known only afterwards. */
export class RateBucket {
  private level: number | undefined;
  private filledAtMs = 0;

  /** Takes `cost` if the bucket holds it. */
  take(cost: number, ratePerSecond: number, nowMs: number): boolean {
    this.fill(ratePerSecond, nowMs);
    const level = this.level ?? 0;
    if (level < cost) return false;
    this.level = level - cost;
    return true;
  }

  /** Whether the bucket is out of debt. */
  isPositive(ratePerSecond: number, nowMs: number): boolean {
    this.fill(ratePerSecond, nowMs);
    return (this.level ?? 0) > 0;
  }

  /** Takes `cost` in any case. */
  charge(cost: number): void {
    this.level = (this.level ?? 0) - cost;
  }

  /** Time until `cost` can be taken. */
  waitMs(cost: number, ratePerSecond: number): number {
    const missing = cost - (this.level ?? 0);
    if (missing <= 0) return 0;
    return ratePerSecond <= 0 ? 1000 : (missing / ratePerSecond) * 1000;
  }

  private fill(ratePerSecond: number, nowMs: number): void {
    const ceiling = Math.max(1, ratePerSecond * BURST_SECONDS);
    if (this.level === undefined) {
      this.level = ceiling;
    } else {
      const gained = ((nowMs - this.filledAtMs) / 1000) * ratePerSecond;
      this.level = Math.min(ceiling, this.level + Math.max(0, gained));
    }
    this.filledAtMs = nowMs;
  }
}
