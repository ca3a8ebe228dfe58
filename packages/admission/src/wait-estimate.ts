/**
 * Decides who of the requests that wait for an endpoint goes first, and which of them cannot be
 * served any more, from what earlier requests needed.
 */

/** A request that waits for a free slot. */
export interface WaitingRequest {
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Until when an answer is on time, counted from the caller's first attempt. */
  readonly onTimeUntilMs: number;
  /** End of the time that the caller waits. */
  readonly deadlineMs: number;
  /** Until when the answer has to begin, where the caller leaves otherwise. */
  readonly beginByMs?: number;
  /** From when on it goes first, late as it is, since it could not be served any more soon after. */
  readonly urgentFromMs?: number;
}

/** Whether a request can be on time, is late and can wait, or is late and has to go now. */
export type Timeliness = 'urgent' | 'on time' | 'late';

const TIMELINESS_ORDER: Readonly<Record<Timeliness, number>> = { urgent: 0, 'on time': 1, late: 2 };

/** The timeliness of a request at a moment. */
export function timelinessOf(request: WaitingRequest, nowMs: number): Timeliness {
  if (request.onTimeUntilMs > nowMs) return 'on time';
  return (request.urgentFromMs ?? Infinity) <= nowMs ? 'urgent' : 'late';
}

/** What serves the requests that wait. */
export interface WaitingCapacity {
  /** Requests that all endpoints of the service run at once. */
  readonly slots: number;
  /** Entries that send to these endpoints, this one included. */
  readonly sharers: number;
}

/** Weight of the newest request in the times that requests are taken to need. */
const SMOOTHING = 0.1;
/**
 * Time that a request is taken to need before one was seen, where slots are left to others. Much rather too long: it
 * holds for one run time after a start. After a loss of all power in a peak 0.76 of the worth was had with 1.5 s, 0.74 with
 * 0.7 s, 0.71 with 0.3 s and 0.69 with none (model of 56 entries with 28 endpoints, one of three seeds).
 */
const FIRST_RUN_MS = 1000;
/** Part of the slots in which late requests are counted on to be served while others keep coming. */
const LATE_SHARE = 0.5;
/** Time before the last moment at which a late request goes first: until a slot opens, and for what cannot be foreseen. */
const URGENT_RUN_SHARE = 0.5;
const LEAST_SPARE_MS = 100;
/** Time over which the requests that come are counted: a peak shows within it. */
const ARRIVAL_MEMORY_MS = 1000;

/**
 * Order of turns at `nowMs`: by rank; then those whose callers would leave soon; then those that can
 * still be on time, the soonest late first; then those that are late already, the soonest over first. What
 * is late loses little by a longer wait, what is on time loses most of its use.
 */
export function compareTurns(a: WaitingRequest, b: WaitingRequest, nowMs: number): number {
  if (a.rank !== b.rank) return a.rank - b.rank;
  const timeliness = timelinessOf(a, nowMs);
  const other = timelinessOf(b, nowMs);
  if (timeliness !== other) return TIMELINESS_ORDER[timeliness] - TIMELINESS_ORDER[other];
  if (timeliness === 'on time') return a.onTimeUntilMs - b.onTimeUntilMs;
  return endOf(a) - endOf(b);
}

function endOf({ deadlineMs, beginByMs = Infinity }: WaitingRequest): number {
  return Math.min(deadlineMs, beginByMs);
}

/** Times that requests of one service need, and the waits that follow from them. */
export class WaitEstimate {
  private smoothedRunMs: number | undefined;
  private smoothedLeadMs = 0;
  private arrivals = 0;
  private arrivedAtMs = 0;

  /** Notes how long an endpoint was at work on a request that it completed. */
  completed(runMs: number): void {
    this.smoothedRunMs ??= runMs;
    this.smoothedRunMs += SMOOTHING * (runMs - this.smoothedRunMs);
  }

  /** Notes that a request came. */
  arrived(nowMs: number): void {
    this.arrivals = this.arrivalsAt(nowMs) + 1;
    this.arrivedAtMs = nowMs;
  }

  /** Slots that requests which come from now on will keep in use, if they go on to come as of late. */
  slotsForNew(nowMs: number): number {
    const runMs = this.smoothedRunMs ?? FIRST_RUN_MS;
    return (this.arrivalsAt(nowMs) * runMs) / ARRIVAL_MEMORY_MS;
  }

  private arrivalsAt(nowMs: number): number {
    return this.arrivals * Math.exp(-Math.max(0, nowMs - this.arrivedAtMs) / ARRIVAL_MEMORY_MS);
  }

  /** Notes how long it took from a send to the first event of its answer. */
  answered(leadMs: number): void {
    this.smoothedLeadMs += SMOOTHING * (leadMs - this.smoothedLeadMs);
  }

  /** Time from a send to the first event of its answer; 0 before one was seen. */
  get leadMs(): number {
    return this.smoothedLeadMs;
  }

  /** Time that a request needs; 0 before one was seen. */
  get runMs(): number {
    return this.smoothedRunMs ?? 0;
  }

  /**
   * Time until a slot opens for the request at a position of this entry's queue, counted from 0: `slots`
   * requests end in each run time, and for each that goes before it here each sharer takes one as well. Nobody
   * goes before the first: while it was taken to wait for all sharers, a route whose callers wait for a second
   * was refused altogether where 13 entries shared 16 slots and a run took half a second.
   */
  waitMs(position: number, { slots, sharers }: WaitingCapacity): number {
    if (slots === 0) return Infinity;
    return ((position * Math.max(1, sharers) + 1) * this.runMs) / slots;
  }

  /** Whether a request at a position would be over, or its caller gone, before it could be served. */
  isHopeless(
    request: WaitingRequest,
    position: number,
    capacity: WaitingCapacity,
    nowMs: number,
  ): boolean {
    const sentAtMs = nowMs + this.waitMs(position, capacity);
    if (sentAtMs + this.leadMs > (request.beginByMs ?? Infinity)) return true;
    return sentAtMs + this.runMs > request.deadlineMs;
  }

  /**
   * Whether a late request has more late ones before it than can be served until it would be over, in the part of
   * the slots that is left to what is late. Told at once, its caller can come back when the peak is over.
   */
  isBeyondLate(
    request: WaitingRequest,
    lateBefore: number,
    { slots, sharers }: WaitingCapacity,
    nowMs: number,
  ): boolean {
    if (slots === 0) return false;
    const eachMs = (this.runMs * Math.max(1, sharers)) / (slots * LATE_SHARE);
    return nowMs + (lateBefore + 1) * eachMs > endOf(request);
  }

  /** From when on a late request has to go. */
  urgentFromMs({ deadlineMs, beginByMs = Infinity }: WaitingRequest): number {
    const spareMs = Math.max(LEAST_SPARE_MS, URGENT_RUN_SHARE * this.runMs);
    return Math.min(deadlineMs - this.runMs, beginByMs - this.leadMs) - spareMs;
  }
}
