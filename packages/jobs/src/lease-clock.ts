/**
 * Expiry of item leases as measured by the leader. It is not replicated: a new leader restarts
 * every lease with its full duration, measured on its own monotonic clock.
 */

/** Options of {@link LeaseClock}. */
export interface LeaseClockOptions {
  readonly leaseMs?: number;
}

/** Default time after which the items of an unresponsive holder are taken back. */
export const DEFAULT_ITEM_LEASE_MS = 6000;

/** Deadlines of item leases by lease id. */
export class LeaseClock {
  private readonly leaseMs: number;
  private readonly deadlines = new Map<string, number>();

  constructor(options: LeaseClockOptions = {}) {
    this.leaseMs = options.leaseMs ?? DEFAULT_ITEM_LEASE_MS;
  }

  /** Starts or renews a lease. */
  renew(leaseId: string, nowMs: number): void {
    this.deadlines.set(leaseId, nowMs + this.leaseMs);
  }

  /**
   * Returns the expired leases of `open`. Starts the time of open leases seen for the first time
   * and removes leases that are no longer open.
   */
  expired(open: Iterable<string>, nowMs: number): string[] {
    const expired: string[] = [];
    const current = new Set(open);
    for (const leaseId of this.deadlines.keys()) {
      if (!current.has(leaseId)) this.deadlines.delete(leaseId);
    }
    for (const leaseId of current) {
      const deadline = this.deadlines.get(leaseId);
      if (deadline === undefined) this.renew(leaseId, nowMs);
      else if (nowMs >= deadline) expired.push(leaseId);
    }
    return expired;
  }

  /** Removes all deadlines; called when the role of the member changes. */
  clear(): void {
    this.deadlines.clear();
  }
}
