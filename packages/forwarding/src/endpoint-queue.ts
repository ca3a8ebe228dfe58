/**
 * Queue of the requests that wait at this entry for an endpoint of their service. The first request
 * in the queue order gets the next free slot; a request that cannot be served in time is rejected
 * at once.
 */
import { FairQueueOrder, WaitEstimate, timelinessOf } from '@shedline/admission';
import type { WaitingCapacity, QueuedRequest } from '@shedline/admission';
import type { ChoiceOptions, SharedPrompt } from '@shedline/types';

/**
 * Interval at which free slots are polled: this entry is not notified of slots that others free.
 */
const POLL_INTERVAL_MS = 15;
const NONE: ReadonlySet<string> = new Set();
/**
 * Maximum share of the time left to a request's target that is reserved for the time to its first
 * event. Without a limit, endpoints that respond slowly for a moment would make all new requests
 * count as late, and free slots would stay unused.
 */
const MAX_FIRST_EVENT_SHARE = 0.5;
/**
 * Minimum time after which a rejected caller is asked to retry. Its next attempt would otherwise
 * connect to another entry within a few ms and find the same load.
 */
const MIN_RETRY_AFTER_MS = 50;

/** The endpoint chosen for one send. */
export interface ChosenEndpoint {
  readonly endpointId: string;
  /** `host:port`. */
  readonly address: string;
  /** Version of its software; empty if it states none. */
  readonly softwareVersion: string;
  /** Estimated number of requests in progress at the endpoint, for the log. */
  readonly load: number;
  /**
   * Whether the request had passed its target when the endpoint was chosen; see {@link SendEnd}.
   */
  readonly isPastTarget?: boolean;
}

/** How a send ended, as far as it matters for the waiting requests. */
export interface SendEnd {
  /** Execution time of the request; undefined unless the endpoint completed it. */
  readonly runMs?: number | undefined;
  /** Time to the first event of the response; undefined if there was none. */
  readonly timeToFirstEventMs?: number | undefined;
  /** Value of the same field of {@link ChosenEndpoint}. */
  readonly isPastTarget?: boolean | undefined;
}

/** Finds endpoints with free slots. */
export interface EndpointFinder {
  /**
   * Returns an endpoint outside `tried` that may take a request now, preferably one that has the
   * shared part of its prompt cached; undefined if there is none.
   */
  choose(
    service: string,
    tried: ReadonlySet<string>,
    options?: ChoiceOptions,
  ): ChosenEndpoint | undefined;
  /** Notes that a request is about to be sent to the endpoint. */
  noteSendStarted(endpointId: string): void;
  /**
   * Returns the capacity of a service without the `excluded` endpoints; 0 slots if none is known to
   * be up.
   */
  capacity(
    service: string,
    excluded: ReadonlySet<string>,
    softwareVersion?: string,
  ): WaitingCapacity;
  /**
   * Whether an endpoint of this software version outside `excluded` is up, though it may have no free
   * slot or be ejected for a time.
   */
  isServed(service: string, softwareVersion: string, excluded: ReadonlySet<string>): boolean;
  /** Time within which every endpoint that is up has announced itself. */
  readonly announcedWithinMs: number;
}

/** A request for an endpoint. */
export interface EndpointQueueRequest extends QueuedRequest {
  readonly service: string;
  /** Ids of the endpoints that the request was already sent to. */
  readonly tried: ReadonlySet<string>;
  /** Whether an endpoint of `tried` may be chosen again if no other has a free slot. */
  readonly mayRetryTried: boolean;
  /** Software version that must serve the request; any if omitted. */
  readonly softwareVersion?: string;
  readonly prompt?: SharedPrompt;
  /** See {@link ForwardTask.mayBegin}. */
  readonly mayBegin?: () => boolean;
}

/** A request's position in the queue. */
export interface QueueTicket {
  /**
   * Resolves to undefined if the request cannot be served; otherwise its send is already counted.
   */
  readonly endpoint: Promise<ChosenEndpoint | undefined>;
  /** Removes the request from the queue. */
  leave(): void;
}

/** Options of {@link EndpointQueue}. */
export interface EndpointQueueOptions {
  readonly finder: EndpointFinder;
  readonly nowMs: () => number;
  /** Calls `callback` after a delay on the clock of `nowMs`; `setTimeout` if omitted. */
  readonly after?: (delayMs: number, callback: () => void) => void;
}

interface Waiter {
  readonly request: EndpointQueueRequest;
  readonly enqueuedAtMs: number;
  readonly settle: (endpoint: ChosenEndpoint | undefined) => void;
}

/** State of one scan of the queue for one service. */
interface ServiceScan {
  readonly capacity: WaitingCapacity;
  /** Requests that waited for the service when the scan began. */
  waitingCount: number;
  /** Scanned requests that continue to wait. */
  remainingCount: number;
  /** Scanned requests that continue to wait, have passed their target and are not urgent. */
  remainingLateCount: number;
  /** Whether no endpoint of the service has a free slot. */
  isExhausted: boolean;
}

/** The queue of one entry for endpoints. */
export class EndpointQueue {
  private readonly finder: EndpointFinder;
  private readonly nowMs: () => number;
  private readonly estimates = new Map<string, WaitEstimate>();
  private readonly queueOrder = new FairQueueOrder();
  private waiters: Waiter[] = [];
  private readonly after: (delayMs: number, callback: () => void) => void;
  private isPollScheduled = false;
  /** Sends in progress of requests that had passed their target when their endpoint was chosen. */
  private lateInFlight = 0;

  constructor(options: EndpointQueueOptions) {
    this.finder = options.finder;
    this.nowMs = options.nowMs;
    this.after = options.after ?? ((delayMs, callback) => setTimeout(callback, delayMs));
  }

  /** Number of waiting requests. */
  get length(): number {
    return this.waiters.length;
  }

  /**
   * Queues a request, or gives it an endpoint at once if no other request waits and a slot is free.
   */
  enter(request: EndpointQueueRequest): QueueTicket {
    this.queueOrder.recordArrival(request.rank, this.nowMs());
    this.estimateOf(request.service).recordArrival(this.nowMs());
    const isFirst = !this.waiters.some((other) => other.request.service === request.service);
    const adjusted = this.withSendTargets(request);
    const mayTakeSlot =
      isFirst && this.mayTakeSlot(adjusted, this.finder.capacity(request.service, NONE));
    const found = mayTakeSlot ? this.assignEndpoint(adjusted, true) : undefined;
    if (found !== undefined) return { endpoint: Promise.resolve(found), leave: () => undefined };
    return this.enqueue(adjusted);
  }

  /**
   * Returns the estimated time until a slot is free for a retried request, after the requests that
   * wait here now. If no endpoint is known, returns the time within which an endpoint that is up
   * announces itself.
   */
  nextSlotInMs(service: string): number {
    const capacity = this.finder.capacity(service, NONE);
    if (capacity.slots === 0) return this.finder.announcedWithinMs;
    const position = this.waiters.filter(({ request }) => request.service === service).length;
    return Math.max(MIN_RETRY_AFTER_MS, this.estimateOf(service).waitMs(position, capacity));
  }

  /** Notes that a send ended and its slot is free. */
  ended(service: string, { runMs, timeToFirstEventMs, isPastTarget = false }: SendEnd = {}): void {
    if (runMs !== undefined) this.estimateOf(service).recordRun(runMs);
    if (timeToFirstEventMs !== undefined)
      this.estimateOf(service).recordFirstEvent(timeToFirstEventMs);
    if (isPastTarget) this.lateInFlight -= 1;
    this.assignSlots();
  }

  private enqueue(request: EndpointQueueRequest): QueueTicket {
    let settle: Waiter['settle'] = () => undefined;
    const endpoint = new Promise<ChosenEndpoint | undefined>((resolve) => {
      settle = resolve;
    });
    const waiter: Waiter = { request, enqueuedAtMs: this.nowMs(), settle };
    this.waiters.push(waiter);
    this.assignSlots();
    return {
      endpoint,
      leave: () => {
        this.remove(waiter, undefined);
      },
    };
  }

  /**
   * Moves a request's target earlier by the expected time to the first event, as it has to be sent
   * by then. Without that, during an overload all slots went to requests that passed their target
   * after they were sent.
   */
  private withSendTargets(request: EndpointQueueRequest): EndpointQueueRequest {
    const estimate = this.estimateOf(request.service);
    const leftMs = Math.max(0, request.targetDeadlineMs - this.nowMs());
    const targetDeadlineMs =
      request.targetDeadlineMs - Math.min(estimate.firstEventMs, MAX_FIRST_EVENT_SHARE * leftMs);
    // Among late requests, those already sent to an endpoint go first: they can't be refused as not
    // executed.
    const urgentFromMs = request.tried.size > 0 ? this.nowMs() : estimate.urgentFromMs(request);
    return { ...request, targetDeadlineMs, urgentFromMs };
  }

  /**
   * Whether a request may take a slot. A request past its target leaves slots of this entry's share
   * to the requests that are expected to arrive while it executes and can still meet their targets,
   * unless it is urgent: it could not be served later. Without this rule, after a power loss in a
   * peak every slot went to requests that had waited, and new requests missed their targets too.
   */
  private mayTakeSlot(
    request: EndpointQueueRequest,
    { slots, entryCount }: WaitingCapacity,
  ): boolean {
    if (request.mayBegin?.() === false) return false;
    const nowMs = this.nowMs();
    if (timelinessOf(request, nowMs) !== 'late') return true;
    const reserved = this.estimateOf(request.service).slotsForNewRequests(nowMs);
    return this.lateInFlight + reserved < slots / Math.max(1, entryCount);
  }

  /** Assigns free slots in the queue order, and removes the requests that cannot be served. */
  private assignSlots(): void {
    const nowMs = this.nowMs();
    const ordered = this.queueOrder.order(this.waiters, nowMs);
    const scans = new Map<string, ServiceScan>();
    for (const { request } of ordered) this.scanOf(scans, request.service).waitingCount += 1;
    for (const waiter of ordered) {
      const scan = this.scanOf(scans, waiter.request.service);
      const endpoint = this.assignInScan(waiter.request, scan);
      if (endpoint !== undefined || this.cannotBeServed(waiter, scan, nowMs)) {
        this.remove(waiter, endpoint);
        continue;
      }
      scan.remainingCount += 1;
      if (timelinessOf(waiter.request, nowMs) === 'late') scan.remainingLateCount += 1;
    }
    this.schedulePoll();
  }

  private scanOf(scans: Map<string, ServiceScan>, service: string): ServiceScan {
    const existing = scans.get(service);
    if (existing !== undefined) return existing;
    const capacity = this.finder.capacity(service, NONE);
    const created = {
      capacity,
      waitingCount: 0,
      remainingCount: 0,
      remainingLateCount: 0,
      isExhausted: false,
    };
    scans.set(service, created);
    return created;
  }

  private assignInScan(
    request: EndpointQueueRequest,
    scan: ServiceScan,
  ): ChosenEndpoint | undefined {
    if (scan.isExhausted || !this.mayTakeSlot(request, scan.capacity)) return undefined;
    // Queueing at an endpoint avoids idle time between executions, but requests there are no longer
    // reordered.
    const endpoint = this.assignEndpoint(request, scan.waitingCount <= 1);
    // A request that any endpoint may serve found no slot, so no other request will.
    const isUnrestricted = request.tried.size === 0 && request.softwareVersion === undefined;
    if (endpoint === undefined && isUnrestricted) scan.isExhausted = true;
    return endpoint;
  }

  private assignEndpoint(
    request: EndpointQueueRequest,
    mayQueue: boolean,
  ): ChosenEndpoint | undefined {
    const { service, tried, mayRetryTried, prompt, softwareVersion } = request;
    const isRetryPossible = mayRetryTried && tried.size > 0;
    const options = { mayQueue, prompt, softwareVersion };
    const found =
      this.finder.choose(service, tried, options) ??
      (isRetryPossible ? this.finder.choose(service, NONE, options) : undefined);
    if (found === undefined) return undefined;
    this.finder.noteSendStarted(found.endpointId);
    this.queueOrder.recordServed(request, this.nowMs());
    const isPastTarget = timelinessOf(request, this.nowMs()) !== 'on time';
    if (isPastTarget) this.lateInFlight += 1;
    return { ...found, isPastTarget };
  }

  private cannotBeServed(
    { request, enqueuedAtMs }: Waiter,
    scan: ServiceScan,
    nowMs: number,
  ): boolean {
    if (request.deadlineMs <= nowMs || request.mayBegin?.() === false) return true;
    const { service, tried, mayRetryTried, softwareVersion } = request;
    const excluded = mayRetryTried ? NONE : tried;
    const isUnrestricted = excluded.size === 0 && softwareVersion === undefined;
    const capacity = isUnrestricted
      ? scan.capacity
      : this.finder.capacity(service, excluded, softwareVersion);
    if (softwareVersion !== undefined && !this.finder.isServed(service, softwareVersion, excluded))
      return true;
    if (capacity.slots === 0) return nowMs - enqueuedAtMs >= this.finder.announcedWithinMs;
    const estimate = this.estimateOf(service);
    // Those ahead take slots of all versions, in proportion.
    const share = softwareVersion === undefined ? 1 : capacity.slots / scan.capacity.slots;
    const lateAhead = Math.ceil(scan.remainingLateCount * share);
    const isLate = timelinessOf(request, nowMs) === 'late';
    if (isLate && estimate.hasTooManyLateAhead(request, lateAhead, capacity, nowMs)) return true;
    const ahead = Math.ceil(scan.remainingCount * share);
    return estimate.willMissDeadline(request, ahead, capacity, nowMs);
  }

  private remove(waiter: Waiter, endpoint: ChosenEndpoint | undefined): void {
    const index = this.waiters.indexOf(waiter);
    if (index === -1) return;
    this.waiters.splice(index, 1);
    waiter.settle(endpoint);
  }

  private schedulePoll(): void {
    if (this.waiters.length === 0 || this.isPollScheduled) return;
    this.isPollScheduled = true;
    this.after(POLL_INTERVAL_MS, () => {
      this.isPollScheduled = false;
      this.assignSlots();
    });
  }

  private estimateOf(service: string): WaitEstimate {
    const existing = this.estimates.get(service);
    if (existing !== undefined) return existing;
    const created = new WaitEstimate();
    this.estimates.set(service, created);
    return created;
  }
}
