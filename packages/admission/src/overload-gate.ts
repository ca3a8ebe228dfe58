/**
 * Refuses work when the endpoints of a model are full: new sessions first, by weight, at
 * once, and never a turn of an open session.
 */

/** A request at the gate. */
export interface GateRequest {
  readonly row: string;
  readonly weight: number;
  /** A turn of a session that is open already. */
  readonly isOpenSession: boolean;
  /** Online requests under way at the endpoints of the model. */
  readonly load: number;
  /** Requests that these endpoints can run while their latencies stay in time. */
  readonly capacity: number;
}

/** Answer of the gate. */
export type GateAnswer =
  { readonly admitted: true } | { readonly admitted: false; readonly retryAfterMs: number };

/** Utilization from which rows above their share are refused. */
const FULL = 0.9;
/** Utilization from which every new session is refused. */
const OVERFULL = 1;
const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 5000;
const SHARE_WINDOW_MS = 2000;

interface RowActivity {
  weight: number;
  running: number;
  seenAtMs: number;
}

/** Decides on overload, for one pool of endpoints. */
export class OverloadGate {
  private readonly rows = new Map<string, RowActivity>();
  private refusedInRow = 0;

  /** Admits or refuses a request. */
  decide(request: GateRequest, nowMs: number): GateAnswer {
    const activity = this.activityOf(request, nowMs);
    const utilization = request.capacity <= 0 ? Infinity : request.load / request.capacity;
    const admitted =
      request.isOpenSession ||
      utilization < FULL ||
      (utilization < OVERFULL && this.isWithinShare(activity, request.capacity, nowMs));
    if (!admitted) {
      this.refusedInRow += 1;
      return { admitted: false, retryAfterMs: this.retryAfterMs(utilization) };
    }
    this.refusedInRow = 0;
    activity.running += 1;
    return { admitted: true };
  }

  /** Notes that an admitted request ended. */
  finished(row: string): void {
    const activity = this.rows.get(row);
    if (activity !== undefined) activity.running = Math.max(0, activity.running - 1);
  }

  private activityOf(request: GateRequest, nowMs: number): RowActivity {
    const known = this.rows.get(request.row) ?? { weight: 1, running: 0, seenAtMs: 0 };
    known.weight = request.weight;
    known.seenAtMs = nowMs;
    this.rows.set(request.row, known);
    return known;
  }

  /** Shares are counted among the rows that were active lately at this entry. */
  private isWithinShare(activity: RowActivity, capacity: number, nowMs: number): boolean {
    let weights = 0;
    let running = 0;
    for (const [row, other] of this.rows) {
      if (other.running === 0 && nowMs - other.seenAtMs > SHARE_WINDOW_MS) {
        this.rows.delete(row);
        continue;
      }
      weights += other.weight;
      running += other.running;
    }
    // This entry's part of the capacity is taken to be what it runs now, and a little more.
    const ownCapacity = Math.min(capacity, running + 1);
    return activity.running < (ownCapacity * activity.weight) / weights;
  }

  /** The deeper the overload, the later a caller should come back. */
  private retryAfterMs(utilization: number): number {
    const excess = Number.isFinite(utilization) ? utilization : 2;
    const waitMs = MIN_RETRY_MS * excess + 10 * this.refusedInRow;
    return Math.min(MAX_RETRY_MS, Math.ceil(waitMs));
  }
}
