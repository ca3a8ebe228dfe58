/**
 * Decides how soon an entry reports a changed load of an endpoint to the entries that share it. An
 * endpoint with most of its slots free can't be overfilled before a later report arrives, so the
 * report may wait; often the load has returned to the last value reported by then, and nothing has
 * to be sent. The fuller an endpoint is, or the faster it fills, the sooner the report is due.
 */

/** Requests and batch items of one entry at an endpoint. */
export interface EntryLoad {
  readonly online: number;
  readonly batch: number;
}

/** What an entry knows about the load of an endpoint. */
export interface ReportableLoad {
  /** Load from this entry. */
  readonly own: EntryLoad;
  /** Requests and items of all entries, including this one, as far as known here. */
  readonly known: number;
  /** Number of requests that run at once; 0 if unknown. */
  readonly slots: number;
  /** Estimated number of requests and items that all entries start at the endpoint per second. */
  readonly startsPerS: number;
}

/** Options of {@link LoadReportUrgency}; the defaults are those of the entry. */
export interface LoadReportUrgencyOptions {
  /** Delay of an urgent report, in which changes are collected. */
  readonly urgentMs?: number;
  /** Longest delay of a report. */
  readonly maxDelayMs?: number;
  /** Share of the slots that must be free beyond those that a delayed report relies on. */
  readonly reservedShare?: number;
  /** Share of the free slots that the unreported changes of one entry may amount to. */
  readonly maxHiddenShare?: number;
}

/** Shorter than the time to the first event of a stream. */
const DEFAULT_URGENT_MS = 25;
/** Interval at which loads that do not change are repeated. */
const DEFAULT_MAX_DELAY_MS = 1000;
/**
 * Slots that cover what starts before a peak has raised the rate and other reports have arrived. In
 * a simulation of 64 entries and 42 endpoints with five-fold peaks, a share of 0.25 let 14 % more
 * requests wait at full endpoints than reports of every change within 25 ms, this one 2 %.
 */
const DEFAULT_RESERVED_SHARE = 0.375;
/** In the same simulation, a share of 1 let 9 % more requests wait. */
const DEFAULT_MAX_HIDDEN_SHARE = 0.5;

/** Decides when load reports are due. */
export class LoadReportUrgency {
  private readonly urgentMs: number;
  private readonly maxDelayMs: number;
  private readonly reservedShare: number;
  private readonly maxHiddenShare: number;

  constructor(options: LoadReportUrgencyOptions = {}) {
    this.urgentMs = options.urgentMs ?? DEFAULT_URGENT_MS;
    this.maxDelayMs = options.maxDelayMs ?? DEFAULT_MAX_DELAY_MS;
    this.reservedShare = options.reservedShare ?? DEFAULT_RESERVED_SHARE;
    this.maxHiddenShare = options.maxHiddenShare ?? DEFAULT_MAX_HIDDEN_SHARE;
  }

  /**
   * Returns the time in ms, from the first unreported change on, within which the load has to be
   * reported; `reported` is the load that the other entries were sent last.
   */
  delayMs(load: ReportableLoad, reported: EntryLoad): number {
    const { own, known, slots, startsPerS } = load;
    // The other entries still count what was reported: an endpoint that has emptied looks full to
    // them, and its slots stay unused.
    const seenByOthers = known - totalOf(own) + totalOf(reported);
    const free = slots * (1 - this.reservedShare) - Math.max(known, seenByOthers);
    if (hiddenLoad(own, reported) > this.maxHiddenShare * free) return this.urgentMs;
    const untilFullMs = (free * 1000) / startsPerS;
    return Math.max(this.urgentMs, Math.min(this.maxDelayMs, untilFullMs));
  }
}

function totalOf({ online, batch }: EntryLoad): number {
  return online + batch;
}

function hiddenLoad(own: EntryLoad, reported: EntryLoad): number {
  return Math.abs(own.online - reported.online) + Math.abs(own.batch - reported.batch);
}
