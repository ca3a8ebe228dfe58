/**
 * Requests that wait at this entry for an endpoint of their service. Whoever has the best turn
 * gets the next free slot; who cannot be served in its time is told so at once.
 */
import { FairQueueOrder, WaitEstimate, timelinessOf } from '@shedline/admission';
import type { WaitingCapacity, QueuedRequest } from '@shedline/admission';
import type { ChoiceTerms, SharedPrompt } from '@shedline/types';

/** Time between looks for free slots: those that other entries leave are not announced here. */
const LOOK_INTERVAL_MS = 15;
const NONE: ReadonlySet<string> = new Set();
/**
 * Part of the time that a request has left to be on time that may count for its way. Endpoints that were slow for a moment
 * would make all that come look late otherwise, and be left to nobody while they are free.
 */
const MOST_LEAD_SHARE = 0.5;
/** Soonest return of a refused caller: its next attempt opens a connection elsewhere in a few ms, and finds the same load. */
const LEAST_RETURN_MS = 50;

/** An endpoint chosen for one send. */
export interface ChosenEndpoint {
  readonly endpointId: string;
  /** `host:port`. */
  readonly address: string;
  /** Requests that were thought to be under way there, for the log. */
  readonly load: number;
  /** Whether it was chosen for a request that is late already; see {@link SendEnd}. */
  readonly isForLate?: boolean;
}

/** How a send ended, as far as it matters for those that wait. */
export interface SendEnd {
  /** Where the endpoint completed the request: how long it was at work on it. */
  readonly runMs?: number | undefined;
  /** Time to the first event of the answer, where there was one. */
  readonly leadMs?: number | undefined;
  /** What {@link ChosenEndpoint} said. */
  readonly isForLate?: boolean | undefined;
}

/** Finds endpoints with room. */
export interface EndpointFinder {
  /** An endpoint that may take a request now, but none of `tried`; one that keeps its prompt part. */
  choose(
    service: string,
    tried: ReadonlySet<string>,
    terms?: ChoiceTerms,
  ): ChosenEndpoint | undefined;
  /** A request is about to be sent to the endpoint. */
  began(endpointId: string): void;
  /** What the endpoints of a service but `excluded` take; no slots where none is known to be up. */
  capacity(service: string, excluded: ReadonlySet<string>): WaitingCapacity;
  /** Time within which every endpoint that is up makes itself known. */
  readonly knownWithinMs: number;
}

/** A request that wants an endpoint. */
export interface EndpointQueueRequest extends QueuedRequest {
  readonly service: string;
  /** Endpoints that it was sent to already. */
  readonly tried: ReadonlySet<string>;
  /** Whether one that was tried may be chosen again where no other has room. */
  readonly mayRepeat: boolean;
  readonly prompt?: SharedPrompt;
}

/** A place in the queue. */
export interface QueuePlace {
  /** Undefined where the request cannot be served; otherwise its send is counted already. */
  readonly endpoint: Promise<ChosenEndpoint | undefined>;
  /** Leaves the queue. */
  leave(): void;
}

/** Options of {@link EndpointQueue}. */
export interface EndpointQueueOptions {
  readonly finder: EndpointFinder;
  readonly nowMs: () => number;
  /** Calls back after a time, on the clock of `nowMs`; a timer of the process where it is left out. */
  readonly after?: (delayMs: number, callback: () => void) => void;
}

interface Waiter {
  readonly request: EndpointQueueRequest;
  readonly sinceMs: number;
  readonly settle: (endpoint: ChosenEndpoint | undefined) => void;
}

/** What one look at the queue has found for a service so far. */
interface ServiceRound {
  readonly capacity: WaitingCapacity;
  /** Requests that wait for it. */
  waiting: number;
  /** Those that were looked at and go on to wait. */
  before: number;
  /** Of these, the late ones that can wait. */
  lateBefore: number;
  isFull: boolean;
}

/** The queue of one entry. */
export class EndpointQueue {
  private readonly finder: EndpointFinder;
  private readonly nowMs: () => number;
  private readonly estimates = new Map<string, WaitEstimate>();
  private readonly queueOrder = new FairQueueOrder();
  private waiters: Waiter[] = [];
  private readonly after: (delayMs: number, callback: () => void) => void;
  private isLookDue = false;
  /** Sends of requests that were late already. */
  private lateUnderWay = 0;

  constructor(options: EndpointQueueOptions) {
    this.finder = options.finder;
    this.nowMs = options.nowMs;
    this.after = options.after ?? ((delayMs, callback) => setTimeout(callback, delayMs));
  }

  /** Requests that wait. */
  get length(): number {
    return this.waiters.length;
  }

  /** Takes a place in the queue, or an endpoint at once where nobody waits and one has room. */
  enter(request: EndpointQueueRequest): QueuePlace {
    this.queueOrder.asked(request.rank, this.nowMs());
    this.estimateOf(request.service).arrived(this.nowMs());
    const isFree = !this.waiters.some((other) => other.request.service === request.service);
    const toSend = this.toBeSentBy(request);
    const mayGo = isFree && this.mayGo(toSend, this.finder.capacity(request.service, NONE));
    const found = mayGo ? this.take(toSend, true) : undefined;
    if (found !== undefined) return { endpoint: Promise.resolve(found), leave: () => undefined };
    return this.enqueue(toSend);
  }

  /**
   * Time until there is a slot for a request that comes back, behind those that wait here now; where no endpoint is
   * known, until one that is up makes itself known.
   */
  roomInMs(service: string): number {
    const capacity = this.finder.capacity(service, NONE);
    if (capacity.slots === 0) return this.finder.knownWithinMs;
    const position = this.waiters.filter(({ request }) => request.service === service).length;
    return Math.max(LEAST_RETURN_MS, this.estimateOf(service).waitMs(position, capacity));
  }

  /** Notes that a send ended. */
  ended(service: string, { runMs, leadMs, isForLate = false }: SendEnd = {}): void {
    if (runMs !== undefined) this.estimateOf(service).completed(runMs);
    if (leadMs !== undefined) this.estimateOf(service).answered(leadMs);
    if (isForLate) this.lateUnderWay -= 1;
    this.serve();
  }

  private enqueue(request: EndpointQueueRequest): QueuePlace {
    let settle: Waiter['settle'] = () => undefined;
    const endpoint = new Promise<ChosenEndpoint | undefined>((resolve) => {
      settle = resolve;
    });
    const waiter: Waiter = { request, sinceMs: this.nowMs(), settle };
    this.waiters.push(waiter);
    this.serve();
    return {
      endpoint,
      leave: () => {
        this.remove(waiter, undefined);
      },
    };
  }

  /**
   * A request is late from when it would have to be sent on, not from when its answer would have to be there. Counted
   * from the latter, the turns of an overload all went to requests that became late on their way.
   */
  private toBeSentBy(request: EndpointQueueRequest): EndpointQueueRequest {
    const estimate = this.estimateOf(request.service);
    const leftMs = Math.max(0, request.onTimeUntilMs - this.nowMs());
    const onTimeUntilMs =
      request.onTimeUntilMs - Math.min(estimate.leadMs, MOST_LEAD_SHARE * leftMs);
    // Who was sent somewhere in vain goes before those that were not, once both are late: it may not be refused as not run.
    const urgentFromMs = request.tried.size > 0 ? this.nowMs() : estimate.urgentFromMs(request);
    return { ...request, onTimeUntilMs, urgentFromMs };
  }

  /**
   * Whether a request may take a slot. One that is late already leaves this entry's share of the slots to those that
   * can still be on time and will come while it runs; it goes when it could not be served any more otherwise. After a
   * loss of all power in a peak every slot went to what had waited, and what came then was late as well.
   */
  private mayGo(request: EndpointQueueRequest, { slots, sharers }: WaitingCapacity): boolean {
    const nowMs = this.nowMs();
    if (timelinessOf(request, nowMs) !== 'late') return true;
    const reserved = this.estimateOf(request.service).slotsForNew(nowMs);
    return this.lateUnderWay + reserved < slots / Math.max(1, sharers);
  }

  /** Gives free slots to those whose turn it is, and turns away who cannot be served. */
  private serve(): void {
    const nowMs = this.nowMs();
    const ordered = this.queueOrder.order(this.waiters, nowMs);
    const rounds = new Map<string, ServiceRound>();
    for (const { request } of ordered) this.roundOf(rounds, request.service).waiting += 1;
    for (const waiter of ordered) {
      const round = this.roundOf(rounds, waiter.request.service);
      const endpoint = this.takeInRound(waiter.request, round);
      if (endpoint !== undefined || this.isHopeless(waiter, round, nowMs)) {
        this.remove(waiter, endpoint);
        continue;
      }
      round.before += 1;
      if (timelinessOf(waiter.request, nowMs) === 'late') round.lateBefore += 1;
    }
    this.keepLooking();
  }

  private roundOf(rounds: Map<string, ServiceRound>, service: string): ServiceRound {
    const known = rounds.get(service);
    if (known !== undefined) return known;
    const capacity = this.finder.capacity(service, NONE);
    const fresh = { capacity, waiting: 0, before: 0, lateBefore: 0, isFull: false };
    rounds.set(service, fresh);
    return fresh;
  }

  private takeInRound(
    request: EndpointQueueRequest,
    round: ServiceRound,
  ): ChosenEndpoint | undefined {
    if (round.isFull || !this.mayGo(request, round.capacity)) return undefined;
    // A queue at an endpoint fills gaps between runs; what waits there has no turn any more.
    const endpoint = this.take(request, round.waiting <= 1);
    // Where a request that was sent nowhere yet finds no room, nobody does.
    if (endpoint === undefined && request.tried.size === 0) round.isFull = true;
    return endpoint;
  }

  private take(request: EndpointQueueRequest, mayQueue: boolean): ChosenEndpoint | undefined {
    const { service, tried, mayRepeat, prompt } = request;
    const repeated = mayRepeat && tried.size > 0;
    const terms = { mayQueue, prompt };
    const found =
      this.finder.choose(service, tried, terms) ??
      (repeated ? this.finder.choose(service, NONE, terms) : undefined);
    if (found === undefined) return undefined;
    this.finder.began(found.endpointId);
    this.queueOrder.served(request, this.nowMs());
    const isForLate = timelinessOf(request, this.nowMs()) !== 'on time';
    if (isForLate) this.lateUnderWay += 1;
    return { ...found, isForLate };
  }

  private isHopeless({ request, sinceMs }: Waiter, round: ServiceRound, nowMs: number): boolean {
    if (request.deadlineMs <= nowMs) return true;
    const { service, tried, mayRepeat } = request;
    const isAnyUsable = mayRepeat || tried.size === 0;
    const capacity = isAnyUsable ? round.capacity : this.finder.capacity(service, tried);
    if (capacity.slots === 0) return nowMs - sinceMs >= this.finder.knownWithinMs;
    const estimate = this.estimateOf(service);
    const isLate = timelinessOf(request, nowMs) === 'late';
    if (isLate && estimate.isBeyondLate(request, round.lateBefore, capacity, nowMs)) return true;
    return estimate.isHopeless(request, round.before, capacity, nowMs);
  }

  private remove(waiter: Waiter, endpoint: ChosenEndpoint | undefined): void {
    const index = this.waiters.indexOf(waiter);
    if (index === -1) return;
    this.waiters.splice(index, 1);
    waiter.settle(endpoint);
  }

  private keepLooking(): void {
    if (this.waiters.length === 0 || this.isLookDue) return;
    this.isLookDue = true;
    this.after(LOOK_INTERVAL_MS, () => {
      this.isLookDue = false;
      this.serve();
    });
  }

  private estimateOf(service: string): WaitEstimate {
    const known = this.estimates.get(service);
    if (known !== undefined) return known;
    const fresh = new WaitEstimate();
    this.estimates.set(service, fresh);
    return fresh;
  }
}
