/**
 * Decides when the stores that start with a new fleet form their cluster. They do not know how
 * many they are, so the set of those that are up must have stayed the same for a while.
 */

/** Time for which the set must not have changed. */
const STABLE_MS = 1500;

/** Watches the founding stores. */
export class StoreFormation {
  private known = '';
  private sinceMs = 0;

  /** The identities that form the cluster; undefined while it is too early. */
  plan(foundingIds: readonly string[], wantedVoters: number, nowMs: number): string[] | undefined {
    const ids = [...foundingIds].sort();
    const key = ids.join(' ');
    if (key !== this.known) {
      this.known = key;
      this.sinceMs = nowMs;
    }
    // With fewer than wanted, a later start may still complete the set: wait four times as long.
    const waitMs = ids.length >= wantedVoters ? STABLE_MS : 4 * STABLE_MS;
    if (ids.length === 0 || nowMs - this.sinceMs < waitMs) return undefined;
    return ids;
  }
}
