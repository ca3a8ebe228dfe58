/**
 * The leader's view of how long item leases have been silent. It is not replicated: a new
 * leader gives every lease its full time again, measured on its own monotonic clock.
 */

/** Options of {@link LeaseClock}. */
export interface LeaseClockOptions {
  readonly leaseMs?: number;
}

/** Time that a holder keeps items without a word. */
export const DEFAULT_ITEM_LEASE_MS = 6000;

/** Silence of item leases by their holders. */
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

  /** Leases of `open` whose time is up; others start their time now or are forgotten. */
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

  /** Forgets everything, when the leadership is lost. */
  clear(): void {
    this.deadlines.clear();
  }
}
