/**
 * A rate limiter whose rate may change between any two calls.
 */

/** Capacity of the bucket, in seconds at the present rate. */
const BURST_SECONDS = 1;

/** A token bucket. Its level may become negative if a cost is known only afterwards. */
export class RateBucket {
  private level: number | undefined;
  private filledAtMs = 0;

  /** Takes `cost` and returns true if the level is sufficient. */
  take(cost: number, ratePerSecond: number, nowMs: number): boolean {
    this.fill(ratePerSecond, nowMs);
    const level = this.level ?? 0;
    if (level < cost) return false;
    this.level = level - cost;
    return true;
  }

  /** Whether the level is above zero. */
  isPositive(ratePerSecond: number, nowMs: number): boolean {
    this.fill(ratePerSecond, nowMs);
    return (this.level ?? 0) > 0;
  }

  /** Takes `cost`, even if the level becomes negative. */
  charge(cost: number): void {
    this.level = (this.level ?? 0) - cost;
  }

  /** Returns the time until `cost` can be taken, as of the last refill. */
  waitMs(cost: number, ratePerSecond: number): number {
    const missing = cost - (this.level ?? 0);
    if (missing <= 0) return 0;
    return ratePerSecond <= 0 ? 1000 : (missing / ratePerSecond) * 1000;
  }

  private fill(ratePerSecond: number, nowMs: number): void {
    const capacity = Math.max(1, ratePerSecond * BURST_SECONDS);
    if (this.level === undefined) {
      this.level = capacity;
    } else {
      const gained = ((nowMs - this.filledAtMs) / 1000) * ratePerSecond;
      this.level = Math.min(capacity, this.level + Math.max(0, gained));
    }
    this.filledAtMs = nowMs;
  }
}
