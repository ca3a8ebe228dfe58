/**
 * Decides when an instance may send orders to endpoints.
 *
 * Only the leader of the table group sends orders. Each leadership has a fencing number from the
 * log, and endpoints that check fencing numbers reject orders of an earlier holder. For other
 * endpoints two waits keep holders exclusive. A holder stops if no quorum has confirmed it for the
 * lease minus the clock drift. A successor first waits for the lease, plus the timeout of an order
 * that may still be in progress, plus the clock drift.
 */

/** Options of {@link OrderGate}. */
export interface OrderGateOptions {
  /** Time for which a confirmation by a quorum is valid. */
  readonly leaseMs?: number;
  /** Maximum time for which an order is in progress. */
  readonly orderTimeoutMs?: number;
  /** Maximum relative difference in rate of two monotonic clocks. */
  readonly maxDriftShare?: number;
}

/** Default lease of the order holder. */
export const DEFAULT_ORDER_LEASE_MS = 3000;
/** Default timeout of an order. */
export const DEFAULT_ORDER_TIMEOUT_MS = 2000;
/** Default maximum clock drift: 1 %. */
export const DEFAULT_MAX_DRIFT_SHARE = 0.01;

/** Lease and fencing number of this instance for sending orders. */
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

  /** Fencing number of this instance; zero if it is not the holder. */
  get fencingNumber(): number {
    return this.heldSinceMs === undefined ? 0 : this.fencing;
  }

  /** Records that this instance became the holder with the given fencing number. */
  acquired(fencingNumber: number, nowMs: number): void {
    this.fencing = fencingNumber;
    this.heldSinceMs = nowMs;
  }

  /** Records that a quorum confirmed the leadership, as of the time of the request. */
  confirmed(requestedAtMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, requestedAtMs);
  }

  /** Records that the leadership was lost. */
  lost(): void {
    this.heldSinceMs = undefined;
    this.confirmedAtMs = -Infinity;
  }

  /**
   * Returns whether an order may be sent now. `checksFencing` is whether the endpoint checks
   * fencing numbers.
   */
  maySendOrder(nowMs: number, checksFencing: boolean): boolean {
    if (this.heldSinceMs === undefined) return false;
    if (!this.holdsLease(nowMs)) return false;
    return checksFencing || nowMs >= this.heldSinceMs + this.successorWaitMs();
  }

  /** Wait of a new holder before its first order to an endpoint that does not check fencing. */
  protected successorWaitMs(): number {
    return (this.leaseMs + this.orderTimeoutMs) * (1 + this.maxDriftShare);
  }

  /**
   * Whether the lease is valid, whatever the clock drift. An order sent before the lease ends may
   * last for the order timeout after it, which the wait of the successor includes.
   */
  private holdsLease(nowMs: number): boolean {
    return nowMs < this.confirmedAtMs + this.leaseMs * (1 - this.maxDriftShare);
  }
}
