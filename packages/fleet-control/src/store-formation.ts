/**
 * Decides when the stores of a new fleet form their cluster. Their number is not configured, so the
 * set of stores that are up must have been unchanged for some time.
 */

/** Time for which the set of stores must be unchanged. */
const STABLE_MS = 1500;

/** Tracks the set of founding stores. */
export class StoreFormation {
  private lastKey = '';
  private unchangedSinceMs = 0;

  /** Returns the member ids that form the cluster, or undefined if it is too early. */
  plan(foundingIds: readonly string[], wantedVoters: number, nowMs: number): string[] | undefined {
    const ids = [...foundingIds].sort();
    const key = ids.join(' ');
    if (key !== this.lastKey) {
      this.lastKey = key;
      this.unchangedSinceMs = nowMs;
    }
    // With too few stores, a later start may still complete the set: wait four times as long.
    const waitMs = ids.length >= wantedVoters ? STABLE_MS : 4 * STABLE_MS;
    if (ids.length === 0 || nowMs - this.unchangedSinceMs < waitMs) return undefined;
    return ids;
  }
}
