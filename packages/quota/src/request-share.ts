/**
 * An entry's part in enforcing the limits of workspaces: decides whether a request is admitted at
 * once, needs a grant of the workspace's counter, or is limited by this entry's own count, and
 * collects the reports to the counters.
 */
import { unitHash } from '@shedline/types';
import { WINDOW_SLICES } from './messages.js';
import type { QuotaTerms, UsageReport } from './messages.js';
import { allowedInWindow } from './tolerance.js';
import type { QuotaTolerance } from './tolerance.js';

/**
 * How a request is admitted: `open`, at once; `ask`, if the counter grants it; `alone`, by this
 * entry's own count, while no counter can be reached.
 */
export type PassMode = 'open' | 'ask' | 'alone';

/** Interval of a counter's notifications about workspaces near their limits. */
export const NEAR_LIMIT_INTERVAL_MS = 500;
/** Lifetime of a notification; long enough to tolerate the loss of one. */
const NEAR_LIMIT_LEASE_MS = 3 * NEAR_LIMIT_INTERVAL_MS;
/** Windows without requests after which the count of a workspace is removed. */
const IDLE_EXPIRY_WINDOWS = 4;

/** Options of {@link RequestShare}. */
export interface RequestShareOptions {
  /** Name of this entry. */
  readonly self: string;
  readonly tolerance: QuotaTolerance;
}

/** This entry's count of one workspace. */
interface LocalCount {
  terms: QuotaTerms;
  /** Admitted requests that no counter knows of yet. */
  unreported: number;
  /** Counter that received the last report; undefined before the first report. */
  lastCounter: string | undefined;
  /** Admitted requests, by the number of the time slice. */
  readonly bySlice: Map<number, number>;
  /** Requests admitted over the window before the counter became unreachable. */
  usedBeforeAlone: number | undefined;
  usedAtMs: number;
}

/** One entry's share of the requests of each workspace. */
export class RequestShare {
  private readonly self: string;
  private readonly tolerance: QuotaTolerance;
  private readonly counts = new Map<string, LocalCount>();
  private readonly nearUntilMs = new Map<string, number>();
  private maxEntryCount = 1;

  constructor({ self, tolerance }: RequestShareOptions) {
    this.self = self;
    this.tolerance = tolerance;
  }

  /** Returns how a request of a workspace is admitted. */
  modeOf(workspace: string, isCounterReachable: boolean, nowMs: number): PassMode {
    if (!isCounterReachable) return 'alone';
    return (this.nearUntilMs.get(workspace) ?? -Infinity) > nowMs ? 'ask' : 'open';
  }

  /** Applies a counter's notification about workspaces near their limits. */
  updateNearLimit(workspaces: readonly string[], nowMs: number): void {
    for (const workspace of workspaces)
      this.nearUntilMs.set(workspace, nowMs + NEAR_LIMIT_LEASE_MS);
  }

  /**
   * Records the number of entries. The largest number so far is used, because entries that are
   * partitioned continue to admit requests.
   */
  recordEntryCount(count: number): void {
    this.maxEntryCount = Math.max(this.maxEntryCount, count);
  }

  /** Records an admitted request. `isCounted`: the counter granted it, so it needs no report. */
  recordAdmitted(
    workspace: string,
    terms: QuotaTerms,
    { isCounted, nowMs }: { readonly isCounted: boolean; readonly nowMs: number },
  ): void {
    const count = this.countOf(workspace, terms, nowMs);
    const slice = this.sliceAt(nowMs);
    count.bySlice.set(slice, (count.bySlice.get(slice) ?? 0) + 1);
    if (!isCounted) count.unreported += 1;
  }

  /** Records that an admitted request did not run, so that only the caller's retry counts. */
  recordReturned(workspace: string, terms: QuotaTerms, nowMs: number): void {
    const count = this.countOf(workspace, terms, nowMs);
    const slice = this.sliceAt(nowMs);
    count.bySlice.set(slice, (count.bySlice.get(slice) ?? 0) - 1);
    count.unreported -= 1;
  }

  /**
   * Whether a request may be admitted while no counter can be reached. Each entry has an equal part
   * of the limit, or what it admitted in the window before if that is more, since the sum over all
   * entries was within the limit then. The fraction of a request in each part is rounded up at a
   * matching share of the entries, chosen by hash.
   */
  mayAdmitAlone(workspace: string, terms: QuotaTerms, nowMs: number): boolean {
    const count = this.countOf(workspace, terms, nowMs);
    count.usedBeforeAlone ??= this.usedInWindow(count, nowMs);
    const share = allowedInWindow(terms, this.tolerance) / this.maxEntryCount;
    const wholeRequests = Math.floor(share);
    const extra = unitHash(`${workspace}|${this.self}`) < share - wholeRequests ? 1 : 0;
    return this.usedInWindow(count, nowMs) < Math.max(wholeRequests + extra, count.usedBeforeAlone);
  }

  /** Returns the pending reports by counter; `counterOf` is undefined if none is reachable. */
  takeReports(
    counterOf: (workspace: string) => string | undefined,
    nowMs: number,
  ): Map<string, UsageReport[]> {
    const reports = new Map<string, UsageReport[]>();
    for (const [workspace, count] of this.counts) {
      const counter = counterOf(workspace);
      if (counter === undefined) continue;
      count.usedBeforeAlone = undefined;
      const report = this.reportTo(counter, workspace, count, nowMs);
      if (report === undefined) continue;
      const own = reports.get(counter) ?? [];
      own.push(report);
      reports.set(counter, own);
    }
    return reports;
  }

  /** Removes the counts of idle workspaces, and expired notifications. */
  removeIdle(nowMs: number): void {
    const idleMs = IDLE_EXPIRY_WINDOWS * this.tolerance.windowMs;
    for (const [workspace, count] of this.counts) {
      if (nowMs - count.usedAtMs > idleMs && count.unreported === 0) this.counts.delete(workspace);
    }
    for (const [workspace, untilMs] of this.nearUntilMs) {
      if (untilMs <= nowMs) this.nearUntilMs.delete(workspace);
    }
  }

  private reportTo(
    counter: string,
    workspace: string,
    count: LocalCount,
    nowMs: number,
  ): UsageReport | undefined {
    const { terms, unreported: used } = count;
    const isNewCounter = count.lastCounter !== undefined && count.lastCounter !== counter;
    const usedBefore = isNewCounter ? this.usedBySlice(count, nowMs) : [];
    // Requests of this report are contained in `used` and must not be counted twice.
    if (usedBefore[0] !== undefined) usedBefore[0] = Math.max(0, usedBefore[0] - used);
    const hasHistory = usedBefore.some((slice) => slice > 0);
    count.lastCounter = counter;
    count.unreported = 0;
    if (used === 0 && !hasHistory) return undefined;
    return { workspace, terms, used, ...(hasHistory ? { usedBefore } : {}) };
  }

  private countOf(workspace: string, terms: QuotaTerms, nowMs: number): LocalCount {
    const known = this.counts.get(workspace);
    if (known !== undefined) {
      known.terms = terms;
      known.usedAtMs = nowMs;
      return known;
    }
    const created: LocalCount = {
      terms,
      unreported: 0,
      lastCounter: undefined,
      bySlice: new Map(),
      usedBeforeAlone: undefined,
      usedAtMs: nowMs,
    };
    this.counts.set(workspace, created);
    return created;
  }

  private usedInWindow({ bySlice }: LocalCount, nowMs: number): number {
    const oldest = this.sliceAt(nowMs) - WINDOW_SLICES;
    let sum = 0;
    for (const [slice, used] of bySlice) {
      if (slice < oldest) bySlice.delete(slice);
      else sum += used;
    }
    return Math.max(0, sum);
  }

  /** Returns the requests admitted in the last window by slices, the newest first. */
  private usedBySlice({ bySlice }: LocalCount, nowMs: number): number[] {
    const newest = this.sliceAt(nowMs);
    return Array.from({ length: WINDOW_SLICES }, (_, age) => bySlice.get(newest - age) ?? 0);
  }

  private sliceAt(nowMs: number): number {
    return Math.floor((nowMs * WINDOW_SLICES) / this.tolerance.windowMs);
  }
}
