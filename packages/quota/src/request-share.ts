/**
 * An entry's side of the limits: whether a request of a workspace passes at once, has to be asked for, or must be
 * judged without anybody else; and what the keepers of the counts are told.
 */
import { unitHash } from '@shedline/types';
import { WINDOW_SLICES } from './messages.js';
import type { QuotaTerms, UsageReport } from './messages.js';
import { allowedInWindow } from './tolerance.js';
import type { QuotaTolerance } from './tolerance.js';

/** How a request is let in: `open`, at once; `ask`, if the keeper allows it; `alone`, by this entry's own count. */
export type PassWay = 'open' | 'ask' | 'alone';

/** Time between the words of a keeper on the workspaces that are near their limits. */
export const NEAR_INTERVAL_MS = 500;
/** Time for which such a word holds: a lost one is made up for by the next. */
const NEAR_LEASE_MS = 3 * NEAR_INTERVAL_MS;
/** Time without requests after which the count of a workspace is dropped, as a multiple of the window. */
const FORGET_WINDOWS = 4;

/** Options of {@link RequestShare}. */
export interface RequestShareOptions {
  /** Name of this entry. */
  readonly self: string;
  readonly tolerance: QuotaTolerance;
}

interface OwnCount {
  terms: QuotaTerms;
  /** Not told yet. */
  unreported: number;
  /** The process that was told last; undefined before the first. */
  counter: string | undefined;
  /** Requests let in, by the number of the slice of time. */
  readonly bySlice: Map<number, number>;
  /** Requests let in over the window before the keepers were out of reach. */
  beforeAlone: number | undefined;
  usedAtMs: number;
}

/** What one entry lets in. */
export class RequestShare {
  private readonly self: string;
  private readonly tolerance: QuotaTolerance;
  private readonly counts = new Map<string, OwnCount>();
  private readonly nearUntilMs = new Map<string, number>();
  private mostEntries = 1;

  constructor({ self, tolerance }: RequestShareOptions) {
    this.self = self;
    this.tolerance = tolerance;
  }

  /** How a request of a workspace is to be let in; `isReached`: the keeper of its count can be asked. */
  wayOf(workspace: string, isReached: boolean, nowMs: number): PassWay {
    if (!isReached) return 'alone';
    return (this.nearUntilMs.get(workspace) ?? -Infinity) > nowMs ? 'ask' : 'open';
  }

  /** A keeper says which workspaces are near their limits. */
  hearNear(workspaces: readonly string[], nowMs: number): void {
    for (const workspace of workspaces) this.nearUntilMs.set(workspace, nowMs + NEAR_LEASE_MS);
  }

  /** Notes how many entries there are; the most ever known counts, since those that are cut off go on. */
  noteEntries(count: number): void {
    this.mostEntries = Math.max(this.mostEntries, count);
  }

  /** Notes a request that passed. `isCounted`: the keeper knows of it, as it was asked. */
  passed(
    workspace: string,
    terms: QuotaTerms,
    { isCounted, nowMs }: { readonly isCounted: boolean; readonly nowMs: number },
  ): void {
    const count = this.countOf(workspace, terms, nowMs);
    const slice = this.sliceAt(nowMs);
    count.bySlice.set(slice, (count.bySlice.get(slice) ?? 0) + 1);
    if (!isCounted) count.unreported += 1;
  }

  /** Notes that a request which had passed was not run: its caller's next attempt counts, not this one. */
  givenBack(workspace: string, terms: QuotaTerms, nowMs: number): void {
    const count = this.countOf(workspace, terms, nowMs);
    const slice = this.sliceAt(nowMs);
    count.bySlice.set(slice, (count.bySlice.get(slice) ?? 0) - 1);
    count.unreported -= 1;
  }

  /**
   * Whether a request may pass though no keeper can be asked. Each entry has its part of the limit, or what it
   * let in over a window before, whichever is more: what all let in together was within the limit then. Parts
   * below one request fall to as many entries as there are whole ones.
   */
  mayPassAlone(workspace: string, terms: QuotaTerms, nowMs: number): boolean {
    const count = this.countOf(workspace, terms, nowMs);
    count.beforeAlone ??= this.usedInWindow(count, nowMs);
    const part = allowedInWindow(terms, this.tolerance) / this.mostEntries;
    const whole = Math.floor(part);
    const luck = unitHash(`${workspace}|${this.self}`) < part - whole ? 1 : 0;
    return this.usedInWindow(count, nowMs) < Math.max(whole + luck, count.beforeAlone);
  }

  /** What the keepers are to be told; `keeperOf` is undefined where none is reached. */
  takeReports(
    counterOf: (workspace: string) => string | undefined,
    nowMs: number,
  ): Map<string, UsageReport[]> {
    const reports = new Map<string, UsageReport[]>();
    for (const [workspace, count] of this.counts) {
      const counter = counterOf(workspace);
      if (counter === undefined) continue;
      count.beforeAlone = undefined;
      const report = this.reportTo(counter, workspace, count, nowMs);
      if (report === undefined) continue;
      const own = reports.get(counter) ?? [];
      own.push(report);
      reports.set(counter, own);
    }
    return reports;
  }

  /** Drops the counts of workspaces that send nothing. */
  forgetIdle(nowMs: number): void {
    const idleMs = FORGET_WINDOWS * this.tolerance.windowMs;
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
    count: OwnCount,
    nowMs: number,
  ): UsageReport | undefined {
    const { terms, unreported: used } = count;
    const isNewCounter = count.counter !== undefined && count.counter !== counter;
    const usedBefore = isNewCounter ? this.usedBySlice(count, nowMs) : [];
    // What is reported now is counted as such.
    if (usedBefore[0] !== undefined) usedBefore[0] = Math.max(0, usedBefore[0] - used);
    const hasHistory = usedBefore.some((slice) => slice > 0);
    count.counter = counter;
    count.unreported = 0;
    if (used === 0 && !hasHistory) return undefined;
    return { workspace, terms, used, ...(hasHistory ? { usedBefore } : {}) };
  }

  private countOf(workspace: string, terms: QuotaTerms, nowMs: number): OwnCount {
    const known = this.counts.get(workspace);
    if (known !== undefined) {
      known.terms = terms;
      known.usedAtMs = nowMs;
      return known;
    }
    const fresh: OwnCount = {
      terms,
      unreported: 0,
      counter: undefined,
      bySlice: new Map(),
      beforeAlone: undefined,
      usedAtMs: nowMs,
    };
    this.counts.set(workspace, fresh);
    return fresh;
  }

  private usedInWindow({ bySlice }: OwnCount, nowMs: number): number {
    const oldest = this.sliceAt(nowMs) - WINDOW_SLICES;
    let sum = 0;
    for (const [slice, used] of bySlice) {
      if (slice < oldest) bySlice.delete(slice);
      else sum += used;
    }
    return Math.max(0, sum);
  }

  /** Requests let in by the slices of the last window, the newest first. */
  private usedBySlice({ bySlice }: OwnCount, nowMs: number): number[] {
    const newest = this.sliceAt(nowMs);
    return Array.from({ length: WINDOW_SLICES }, (_, age) => bySlice.get(newest - age) ?? 0);
  }

  private sliceAt(nowMs: number): number {
    return Math.floor((nowMs * WINDOW_SLICES) / this.tolerance.windowMs);
  }
}
