/**
 * Decides when an entry checks the slots of its endpoints. Checks at a fixed interval of 40 ms took
 * 2 ms of CPU time a second at each entry, also where no item could start.
 */

/** Minimum time between two checks. */
const MIN_INTERVAL_MS = 40;
/**
 * Maximum time between two checks where this entry owns an endpoint. An item starts in a slot that
 * has been free for 200 ms, which at least two checks must have seen.
 */
const OWNER_INTERVAL_MS = 100;
/** Maximum time between two checks elsewhere, which find out that an endpoint is owned now. */
const OTHER_INTERVAL_MS = 200;

/** What the last check found. */
export interface SlotCheckResult {
  readonly ownsAny: boolean;
  /** Time until the next request for items may be sent, if slots are free; else Infinity. */
  readonly grantDueInMs: number;
}

/** The times of the checks of one entry. */
export class SlotCheckSchedule {
  private lastCheckAtMs = -Infinity;

  /** Records a check. */
  checked(nowMs: number): void {
    this.lastCheckAtMs = nowMs;
  }

  /** Returns the time until the next check, unless a load changes before. */
  nextInMs({ ownsAny, grantDueInMs }: SlotCheckResult, nowMs: number): number {
    const intervalMs = ownsAny ? OWNER_INTERVAL_MS : OTHER_INTERVAL_MS;
    const latestInMs = this.lastCheckAtMs + intervalMs - nowMs;
    const wantedInMs = Math.max(grantDueInMs, this.earliestInMs(nowMs));
    return Math.max(0, Math.min(latestInMs, wantedInMs));
  }

  /** Returns the time until a check may follow the last one; 0 if it may now. */
  earliestInMs(nowMs: number): number {
    return Math.max(0, this.lastCheckAtMs + MIN_INTERVAL_MS - nowMs);
  }
}
