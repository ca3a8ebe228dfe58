/**
 * Who may give orders to endpoints, and when.
 *
 * The leader of the table group gives orders. Each leadership has a fencing number from the
 * log. Endpoints that check it refuse an older holder by themselves. For the others two
 * waits make holders exclusive: a holder stops once it has not been confirmed by a quorum for
 * the lease less the drift, and a successor waits out the lease, the drift and the time-out
 * of an order that may still be under way.
 */

/** Options of {@link OrderGate}. */
export interface OrderGateOptions {
  /** Time that a confirmation by a quorum lasts. */
  readonly leaseMs?: number;
  /** Longest time that an order stays under way. */
  readonly orderTimeoutMs?: number;
  /** Bound on the difference in rate of two monotonic clocks. */
  readonly maxDriftShare?: number;
}

/** Default lease of the order holder. */
export const DEFAULT_ORDER_LEASE_MS = 3000;
/** Default time-out of one order. */
export const DEFAULT_ORDER_TIMEOUT_MS = 2000;
/** Default bound on clock drift: one part in a hundred. */
export const DEFAULT_MAX_DRIFT_SHARE = 0.01;

/** Decides whether this instance may give orders now. */
export class OrderGate {
  private readonly leaseMs: number;
  private readonly orderTimeoutMs: number;
  private readonly maxDriftShare: number;
  private fencing = 0;
  private heldSinceMs: number | undefined;
  private confirmedAtMs = -Infinity;

  constructor(options: OrderGateOptions = {}) {
    this.leaseMs = options.leaseMs ?? DEFAULT_ORDER_LEASE_MS;
    this.orderTimeoutMs = options.orderTimeoutMs ?? DEFAULT_ORDER_TIMEOUT_MS;
    this.maxDriftShare = options.maxDriftShare ?? DEFAULT_MAX_DRIFT_SHARE;
  }

  /** Fencing number of this holder; zero while it holds nothing. */
  get fencingNumber(): number {
    return this.heldSinceMs === undefined ? 0 : this.fencing;
  }

  /** Notes that the log gave this instance a fencing number. */
  acquired(fencingNumber: number, nowMs: number): void {
    this.fencing = fencingNumber;
    this.heldSinceMs = nowMs;
  }

  /** Notes that a quorum confirmed the leadership as of `askedAtMs`, when it was asked. */
  confirmed(askedAtMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, askedAtMs);
  }

  /** Notes that the leadership is lost. */
  lost(): void {
    this.heldSinceMs = undefined;
    this.confirmedAtMs = -Infinity;
  }

  /** Whether an order may be sent now; `checksFencing` says what the endpoint does. */
  maySendOrder(nowMs: number, checksFencing: boolean): boolean {
    if (this.heldSinceMs === undefined) return false;
    if (!this.holdsLease(nowMs)) return false;
    return checksFencing || nowMs >= this.heldSinceMs + this.successorWaitMs();
  }

  /** Time that a successor waits before its first order to an endpoint that does not check. */
  protected successorWaitMs(): number {
    return (this.leaseMs + this.orderTimeoutMs) * (1 + this.maxDriftShare);
  }

  /** An order counts as under way for the order time-out, which the successor waits too. */
  private holdsLease(nowMs: number): boolean {
    return nowMs < this.confirmedAtMs + this.leaseMs * (1 - this.maxDriftShare);
  }
}
