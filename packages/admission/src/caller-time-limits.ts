/**
 * Tells how long ago a caller first asked. Callers say how long they will still wait; one that
 * comes back after a refusal has less time left than most.
 */

/** Requests that the usual time is taken from. */
const REMEMBERED = 32;
/**
 * Share of the requests that have no more than the usual time: most are first attempts, a few
 * callers wait much longer than the others, and after a loss of power many come back.
 */
const USUAL_QUANTILE = 0.75;

/** Time that the callers of one route allow. */
export class CallerTimeLimits {
  private readonly recentMs: number[] = [];
  private next = 0;

  /** Notes the time that a caller says it will wait. */
  note(timeLeftMs: number): void {
    this.recentMs[this.next] = timeLeftMs;
    this.next = (this.next + 1) % REMEMBERED;
  }

  /** Time since the first attempt of a caller that will wait this long, as far as it shows. */
  ageMs(timeLeftMs: number): number {
    const sorted = [...this.recentMs].sort((a, b) => a - b);
    const usualMs = sorted[Math.floor(sorted.length * USUAL_QUANTILE)] ?? timeLeftMs;
    return Math.max(0, usualMs - timeLeftMs);
  }
}
