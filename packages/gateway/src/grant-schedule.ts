/**
 * Decides when an entry requests items of a route from the stores, and what it states about them.
 */

/**
 * Time between requests for items in a small fleet: while items are waiting, and while none are.
 */
const GRANT_INTERVAL_MS = 60;
const IDLE_GRANT_INTERVAL_MS = 200;
/**
 * Number of entries with batch work up to which each sends requests at the full rate; with more,
 * the total rate stays constant. Only entries that can own an endpoint are counted: when all
 * 165 entries of a fleet with 52 endpoints were, a free slot waited 0.6 s for its next item.
 */
const ENTRIES_AT_FULL_GRANT_RATE = 16;
/** Assumed duration of a complete item before one was observed. */
const INITIAL_RUN_MS = 5000;
/** Assumed number of events of a complete item before one was observed. */
const INITIAL_RUN_EVENTS = 200;
/** Weight of the newest run in the moving averages of duration and number of events. */
const RUN_SMOOTHING = 0.2;

/** The requests for items of one route. */
export class GrantSchedule {
  private lastEndedAtMs = -Infinity;
  private isInProgress = false;
  private waitingCount = 0;
  private averageRunMs = INITIAL_RUN_MS;
  private averageRunEvents = INITIAL_RUN_EVENTS;

  /** Number of items that waited at the stores after the last request. */
  get waitingItems(): number {
    return this.waitingCount;
  }

  /** Moving average of the duration of a complete item. */
  get runMs(): number {
    return this.averageRunMs;
  }

  /** Moving average of the number of events of an item. */
  get runEvents(): number {
    return this.averageRunEvents;
  }

  /** Returns the time until a request may be sent; Infinity while one is in progress. */
  dueInMs(nowMs: number, entryCount: number): number {
    if (this.isInProgress) return Infinity;
    return Math.max(0, this.lastEndedAtMs + this.intervalMs(entryCount) - nowMs);
  }

  /** Records that a request was sent. */
  began(): void {
    this.isInProgress = true;
  }

  /** Records the number of items that still wait, as stated by the stores. */
  noteWaiting(waitingItems: number): void {
    this.waitingCount = waitingItems;
  }

  /** Records that the request has ended, with an answer or without. */
  ended(nowMs: number): void {
    this.isInProgress = false;
    this.lastEndedAtMs = nowMs;
  }

  /** Records a complete item; `runMs` is undefined if the run did not start from the beginning. */
  noteRun(events: number, runMs: number | undefined): void {
    this.averageRunEvents += RUN_SMOOTHING * (events - this.averageRunEvents);
    if (runMs !== undefined) this.averageRunMs += RUN_SMOOTHING * (runMs - this.averageRunMs);
  }

  private intervalMs(entryCount: number): number {
    const intervalMs = this.waitingCount > 0 ? GRANT_INTERVAL_MS : IDLE_GRANT_INTERVAL_MS;
    return intervalMs * Math.max(1, entryCount / ENTRIES_AT_FULL_GRANT_RATE);
  }
}
