/**
 * Decides when the consensus members of a process are ticked next. Ticks at a fixed interval of 20 ms
 * woke an idle process 50 times per second, mostly for nothing.
 */

/** Minimum time between two ticks while something stays due, as during a slow sync. */
const MIN_INTERVAL_MS = 20;
/** Maximum time until the timer fires. */
const MAX_DELAY_MS = 500;
/**
 * A timer that fires later than this shows that the process was suspended or overloaded. Messages
 * that arrived in the meantime are then handled before the tick: they may show that the leader is up.
 */
const LATE_MS = 50;

/** Times of the ticks of one process, in milliseconds of one clock. */
export class TickSchedule {
  private armedForMs = Infinity;
  private lastTickAtMs = -Infinity;

  /**
   * Returns the delay after which a timer has to fire for what is due at `dueMs`; undefined if the
   * timer that is armed fires early enough.
   */
  arm(dueMs: number, nowMs: number): number | undefined {
    const earliestMs = Math.max(nowMs, this.lastTickAtMs + MIN_INTERVAL_MS);
    const fireAtMs = Math.min(Math.max(dueMs, earliestMs), nowMs + MAX_DELAY_MS);
    if (fireAtMs >= this.armedForMs) return undefined;
    this.armedForMs = fireAtMs;
    return Math.ceil(fireAtMs - nowMs);
  }

  /** Notes that the timer has fired; returns whether messages have to be read before the tick. */
  fired(nowMs: number): boolean {
    const isLate = nowMs - this.armedForMs > LATE_MS;
    this.armedForMs = Infinity;
    return isLate;
  }

  /** Notes a tick. */
  ticked(nowMs: number): void {
    this.lastTickAtMs = nowMs;
  }
}
