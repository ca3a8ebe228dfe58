/**
 * Refuses requests when the endpoints of a model are full. Requests of open sessions are never
 * refused; near full utilization, rows that exceed their weighted share are refused first.
 */

/** Input of {@link OverloadGate.decide}. */
export interface GateRequest {
  readonly row: string;
  readonly weight: number;
  /** Whether the request belongs to a session that is already open. */
  readonly isOpenSession: boolean;
  /** Online requests in progress at the endpoints of the model. */
  readonly load: number;
  /** Requests that these endpoints can run at once within their latency targets. */
  readonly capacity: number;
}

/** Result of {@link OverloadGate.decide}. */
export type GateDecision =
  { readonly admitted: true } | { readonly admitted: false; readonly retryAfterMs: number };

/** Utilization from which rows that exceed their share are refused. */
const HIGH_UTILIZATION = 0.9;
/** Utilization from which every new session is refused. */
const FULL_UTILIZATION = 1;
const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 5000;
const SHARE_WINDOW_MS = 2000;

interface RowActivity {
  weight: number;
  running: number;
  lastSeenAtMs: number;
}

/** Overload decisions for one pool of endpoints. */
export class OverloadGate {
  private readonly rows = new Map<string, RowActivity>();
  private consecutiveRefusals = 0;

  /** Admits or refuses a request; {@link release} must be called for each admitted request. */
  decide(request: GateRequest, nowMs: number): GateDecision {
    const activity = this.activityOf(request, nowMs);
    const utilization = request.capacity <= 0 ? Infinity : request.load / request.capacity;
    const admitted =
      request.isOpenSession ||
      utilization < HIGH_UTILIZATION ||
      (utilization < FULL_UTILIZATION && this.isWithinShare(activity, request.capacity, nowMs));
    if (!admitted) {
      this.consecutiveRefusals += 1;
      return { admitted: false, retryAfterMs: this.retryAfterMs(utilization) };
    }
    this.consecutiveRefusals = 0;
    activity.running += 1;
    return { admitted: true };
  }

  /** Records that an admitted request ended. */
  release(row: string): void {
    const activity = this.rows.get(row);
    if (activity !== undefined) activity.running = Math.max(0, activity.running - 1);
  }

  private activityOf(request: GateRequest, nowMs: number): RowActivity {
    const known = this.rows.get(request.row) ?? { weight: 1, running: 0, lastSeenAtMs: 0 };
    known.weight = request.weight;
    known.lastSeenAtMs = nowMs;
    this.rows.set(request.row, known);
    return known;
  }

  /** Whether a row is below its share among the rows that were recently active at this entry. */
  private isWithinShare(activity: RowActivity, capacity: number, nowMs: number): boolean {
    let weights = 0;
    let running = 0;
    for (const [row, other] of this.rows) {
      if (other.running === 0 && nowMs - other.lastSeenAtMs > SHARE_WINDOW_MS) {
        this.rows.delete(row);
        continue;
      }
      weights += other.weight;
      running += other.running;
    }
    // This entry's part of the capacity is estimated as what it runs now plus one request.
    const ownCapacity = Math.min(capacity, running + 1);
    return activity.running < (ownCapacity * activity.weight) / weights;
  }

  /** Returns a retry delay that grows with the overload and with consecutive refusals. */
  private retryAfterMs(utilization: number): number {
    const excess = Number.isFinite(utilization) ? utilization : 2;
    const waitMs = MIN_RETRY_MS * excess + 10 * this.consecutiveRefusals;
    return Math.min(MAX_RETRY_MS, Math.ceil(waitMs));
  }
}
