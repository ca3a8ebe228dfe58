/**
 * Compares requests that wait for an endpoint, and estimates from the duration of earlier requests
 * which of them can no longer be served.
 */

/** A request that waits for a free slot. */
export interface WaitingRequest {
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Time at which the target expires, counted from the caller's first attempt. */
  readonly targetDeadlineMs: number;
  /** Time until which the caller waits for the complete response. */
  readonly deadlineMs: number;
  /** Time by which the response has to begin, if the caller would disconnect otherwise. */
  readonly firstEventDeadlineMs?: number;
  /** Time from which a late request is served first, since it would soon miss its deadline. */
  readonly urgentFromMs?: number;
}

/**
 * State of a request relative to its target: `on time` before the target expires, `late` after it
 * while the request can wait, `urgent` if it is late and would soon miss its deadline.
 */
export type Timeliness = 'urgent' | 'on time' | 'late';

const TIMELINESS_ORDER: Readonly<Record<Timeliness, number>> = { urgent: 0, 'on time': 1, late: 2 };

/** Returns the timeliness of a request at `nowMs`. */
export function timelinessOf(request: WaitingRequest, nowMs: number): Timeliness {
  if (request.targetDeadlineMs > nowMs) return 'on time';
  return (request.urgentFromMs ?? Infinity) <= nowMs ? 'urgent' : 'late';
}

/** Capacity that serves the waiting requests. */
export interface WaitingCapacity {
  /** Requests that all endpoints of the service run at once. */
  readonly slots: number;
  /** Entries that send to these endpoints, this one included. */
  readonly entryCount: number;
}

/** Weight of the newest sample in the moving averages. */
const SMOOTHING = 0.1;
/**
 * Assumed run time before the first request completes, for the slots kept for new requests. It is
 * deliberately long, as it applies for only one run time after a start. After a total power loss
 * during a peak, simulated requests reached 0.76 of their achievable value with 1.5 s, 0.74 with
 * 0.7 s, 0.71 with 0.3 s and 0.69 without it (56 entries, 28 endpoints, one of three seeds).
 */
const INITIAL_RUN_MS = 1000;
/** Share of the slots assumed to serve late requests while new requests keep arriving. */
const LATE_SLOT_SHARE = 0.5;
/**
 * Margin before the last possible send time at which a late request becomes urgent, as a share of
 * the run time. It covers the wait for a free slot and variations of the run time.
 */
const URGENT_MARGIN_RUN_SHARE = 0.5;
/** Lower bound of this margin. */
const MIN_URGENT_MARGIN_MS = 100;
/** Time constant of the decaying arrival count; short enough to follow a traffic peak. */
const ARRIVAL_DECAY_MS = 1000;

/**
 * Compares two requests by the order in which they get an endpoint at `nowMs`: by rank; then urgent
 * requests; then those within their target, earliest target first; then late requests, earliest
 * expiry first. A late request loses little by a longer wait, while a request that exceeds its
 * target loses most of its value.
 */
export function compareWaitingRequests(
  a: WaitingRequest,
  b: WaitingRequest,
  nowMs: number,
): number {
  if (a.rank !== b.rank) return a.rank - b.rank;
  const timeliness = timelinessOf(a, nowMs);
  const other = timelinessOf(b, nowMs);
  if (timeliness !== other) return TIMELINESS_ORDER[timeliness] - TIMELINESS_ORDER[other];
  if (timeliness === 'on time') return a.targetDeadlineMs - b.targetDeadlineMs;
  return expiryMs(a) - expiryMs(b);
}

/** Returns the time from which a response is of no use to the caller. */
function expiryMs({ deadlineMs, firstEventDeadlineMs = Infinity }: WaitingRequest): number {
  return Math.min(deadlineMs, firstEventDeadlineMs);
}

/** Estimates queue waits from the run times and arrivals of one service. */
export class WaitEstimate {
  private smoothedRunMs: number | undefined;
  private smoothedFirstEventMs = 0;
  private arrivals = 0;
  private arrivedAtMs = 0;

  /** Records the time for which an endpoint ran a completed request. */
  recordRun(runMs: number): void {
    this.smoothedRunMs ??= runMs;
    this.smoothedRunMs += SMOOTHING * (runMs - this.smoothedRunMs);
  }

  /** Records the arrival of a request. */
  recordArrival(nowMs: number): void {
    this.arrivals = this.decayedArrivals(nowMs) + 1;
    this.arrivedAtMs = nowMs;
  }

  /** Returns the slots that new requests will occupy if the recent arrival rate continues. */
  slotsForNewRequests(nowMs: number): number {
    const runMs = this.smoothedRunMs ?? INITIAL_RUN_MS;
    return (this.decayedArrivals(nowMs) * runMs) / ARRIVAL_DECAY_MS;
  }

  private decayedArrivals(nowMs: number): number {
    return this.arrivals * Math.exp(-Math.max(0, nowMs - this.arrivedAtMs) / ARRIVAL_DECAY_MS);
  }

  /** Records the time from sending a request to the first event of its response. */
  recordFirstEvent(firstEventMs: number): void {
    this.smoothedFirstEventMs += SMOOTHING * (firstEventMs - this.smoothedFirstEventMs);
  }

  /** Average time from sending a request to its first event; 0 before the first sample. */
  get firstEventMs(): number {
    return this.smoothedFirstEventMs;
  }

  /** Average run time; 0 before the first sample. */
  get runMs(): number {
    return this.smoothedRunMs ?? 0;
  }

  /**
   * Returns the time until a slot opens for the request at a queue position of this entry, counted
   * from 0: `slots` requests end in each run time, and for each request before it here every other
   * entry sends one as well. The first position does not wait for the other entries: otherwise,
   * with 13 entries on 16 slots and runs of half a second, all requests of a route whose callers
   * wait for one second would be refused.
   */
  waitMs(position: number, { slots, entryCount }: WaitingCapacity): number {
    if (slots === 0) return Infinity;
    return ((position * Math.max(1, entryCount) + 1) * this.runMs) / slots;
  }

  /** Whether a request at a queue position cannot be served before its caller stops waiting. */
  willMissDeadline(
    request: WaitingRequest,
    position: number,
    capacity: WaitingCapacity,
    nowMs: number,
  ): boolean {
    const sentAtMs = nowMs + this.waitMs(position, capacity);
    if (sentAtMs + this.firstEventMs > (request.firstEventDeadlineMs ?? Infinity)) return true;
    return sentAtMs + this.runMs > request.deadlineMs;
  }

  /**
   * Whether more late requests are queued before a late request than can be served before its
   * expiry in the slots for late requests. If it is refused at once, its caller can retry after the
   * peak.
   */
  hasTooManyLateAhead(
    request: WaitingRequest,
    lateAhead: number,
    { slots, entryCount }: WaitingCapacity,
    nowMs: number,
  ): boolean {
    if (slots === 0) return false;
    const perRequestMs = (this.runMs * Math.max(1, entryCount)) / (slots * LATE_SLOT_SHARE);
    return nowMs + (lateAhead + 1) * perRequestMs > expiryMs(request);
  }

  /** Returns the time from which a late request is urgent. */
  urgentFromMs({ deadlineMs, firstEventDeadlineMs = Infinity }: WaitingRequest): number {
    const marginMs = Math.max(MIN_URGENT_MARGIN_MS, URGENT_MARGIN_RUN_SHARE * this.runMs);
    return Math.min(deadlineMs - this.runMs, firstEventDeadlineMs - this.firstEventMs) - marginMs;
  }
}
