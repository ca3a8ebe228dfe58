/**
 * Hands out the items of a group while its member leads. Who holds what is kept in memory only:
 * an item may run more than once, so a new leader starts from what the holders tell it.
 */
import type { ItemProgress } from './commands.js';
import { ItemPace } from './item-pace.js';
import { compareTurns } from './item-turn.js';
import type { WaitingItem } from './item-turn.js';
import type { JobRecord } from './job-record.js';
import type { WholeJobs } from './whole-jobs.js';

/** Time after an election in which holders tell what they have before anything is handed out. */
const SETTLE_MS = 1200;

/** Endpoints in a row that ended under an item from which it has to wait before its next run. */
const CRASHES_TO_PAUSE = 2;
/**
 * Time for which it waits. If something else ended them, as one request that came again and again, that is over
 * by then, and the item is not blamed for a third; if not, endpoints end less often.
 */
const CRASH_PAUSE_MS = 4000;

/** Names an item. */
export interface ItemRef {
  readonly jobId: string;
  readonly index: number;
}

/** Asks for items. */
export interface ItemRequest {
  readonly holder: string;
  /** Route whose items are wanted. */
  readonly routeKey: string;
  readonly maxItems: number;
  /** Time that a whole item takes, as its holder sees it. */
  readonly runMs: number;
  /** Events of a whole item, as its holder sees it. */
  readonly runEvents: number;
}

/** An item that was handed out. */
export interface DispensedItem {
  readonly job: JobRecord;
  readonly index: number;
  readonly progress: ItemProgress | undefined;
}

/** Options of {@link ItemDispenser}. */
export interface ItemDispenserOptions {
  /** Time that an item stays with a silent holder. */
  readonly leaseMs: number;
}

interface Holding {
  readonly holder: string;
  untilMs: number;
}

/** Who holds the items of one job, and when each was first handed out, by index. */
interface JobHoldings {
  readonly held: Map<number, Holding>;
  readonly begunAtMs: Map<number, number>;
  /** When an item began to wait because endpoints ended under it. */
  readonly pausedAtMs: Map<number, number>;
}

/** Monotonic time for leases and wall time for due times. */
export interface DispenserTime {
  readonly nowMs: number;
  readonly wallMs: number;
}

/** An item that nobody holds. */
interface UnheldItem extends WaitingItem {
  readonly job: JobRecord;
  readonly index: number;
}

/** What was handed out, and how much still waits. */
export interface Dispensed {
  readonly items: readonly DispensedItem[];
  /** Items of the route that nobody holds after this. */
  readonly unheldCount: number;
}

/** Least share of a whole run that an item is taken to need still. */
const MIN_REMAINING_SHARE = 0.1;

/** Leases of items. */
export class ItemDispenser {
  private readonly leaseMs: number;
  private readonly holdings = new Map<string, JobHoldings>();
  private readonly pace = new ItemPace();
  private runMs = 0;
  private grantsFromMs = 0;

  constructor(options: ItemDispenserOptions) {
    this.leaseMs = options.leaseMs;
  }

  /** The member began to lead. */
  becameLeader(nowMs: number): void {
    this.holdings.clear();
    this.grantsFromMs = nowMs + SETTLE_MS;
  }

  /** Hands out items, those whose turn it is; see {@link compareTurns}. */
  grant(jobs: WholeJobs, request: ItemRequest, time: DispenserTime): Dispensed {
    const waiting = this.unheldItems(jobs, request, time);
    if (time.nowMs < this.grantsFromMs) return { items: [], unheldCount: waiting.length };
    this.runMs = request.runMs;
    const { stretch } = this.pace;
    const chosen = firstOf(waiting, request.maxItems, (a, b) => compareTurns(a, b, stretch));
    const items = chosen.map(({ job, index }) => {
      this.hold({ jobId: job.identity.jobId, index }, request.holder, time.nowMs);
      return { job, index, progress: job.progressOf(index) };
    });
    return { items, unheldCount: waiting.length - items.length };
  }

  /** Prolongs what a holder has; gives the items that it must not run any more. */
  renew(jobs: WholeJobs, holder: string, refs: readonly ItemRef[], nowMs: number): ItemRef[] {
    const lost: ItemRef[] = [];
    for (const ref of refs) {
      const isOpen = jobs.get(ref.jobId)?.mayRun(ref.index) === true;
      const other = this.holdings.get(ref.jobId)?.held.get(ref.index);
      const isOthers = other !== undefined && other.holder !== holder && other.untilMs > nowMs;
      if (isOpen && !isOthers) this.hold(ref, holder, nowMs);
      else lost.push(ref);
    }
    return lost;
  }

  /** Takes back items that their holder will not finish. */
  release(holder: string, items: readonly ItemRef[]): void {
    for (const { jobId, index } of items) {
      const held = this.holdings.get(jobId)?.held;
      if (held?.get(index)?.holder === holder) held.delete(index);
    }
  }

  /** Notes items that are finished. */
  finished(items: readonly ItemRef[], nowMs: number): void {
    for (const { jobId, index } of items) {
      const begunAtMs = this.holdings.get(jobId)?.begunAtMs.get(index);
      if (begunAtMs !== undefined) this.pace.finished(nowMs - begunAtMs, this.runMs);
    }
  }

  /** Forgets leases that ran out and items that are over. */
  sweep(jobs: WholeJobs, nowMs: number): void {
    for (const [jobId, { held, begunAtMs, pausedAtMs }] of this.holdings) {
      const job = jobs.get(jobId);
      if (job?.isOpen !== true) {
        this.holdings.delete(jobId);
        continue;
      }
      for (const [index, { untilMs }] of held) {
        if (untilMs <= nowMs || !job.mayRun(index)) held.delete(index);
      }
      for (const index of begunAtMs.keys()) if (!job.mayRun(index)) begunAtMs.delete(index);
      for (const index of pausedAtMs.keys()) if (!job.mayRun(index)) pausedAtMs.delete(index);
    }
  }

  private unheldItems(jobs: WholeJobs, request: ItemRequest, time: DispenserTime): UnheldItem[] {
    const unheld: UnheldItem[] = [];
    for (const job of jobs.all) {
      if (!job.isOpen || job.routeKey !== request.routeKey) continue;
      const held = this.holdings.get(job.identity.jobId)?.held;
      const leftMs = job.dueAtMs - time.wallMs;
      const allowedMs = job.identity.resultsDueMs;
      for (const index of job.openIndexes()) {
        if ((held?.get(index)?.untilMs ?? 0) > time.nowMs) continue;
        if (this.isPaused(job, index, time.nowMs)) continue;
        const eventCount = job.eventCount(index);
        const doneShare = eventCount / Math.max(1, request.runEvents);
        const remainingMs = request.runMs * Math.max(MIN_REMAINING_SHARE, 1 - doneShare);
        unheld.push({ job, index, leftMs, allowedMs, remainingMs, isBegun: eventCount > 0 });
      }
    }
    return unheld;
  }

  /** Whether an item still has to wait because endpoints ended under it. */
  private isPaused(job: JobRecord, index: number, nowMs: number): boolean {
    if (job.crashCount(index) < CRASHES_TO_PAUSE) return false;
    const { pausedAtMs } = this.holdingsOf(job.identity.jobId);
    const sinceMs = pausedAtMs.get(index) ?? nowMs;
    pausedAtMs.set(index, sinceMs);
    return nowMs - sinceMs < CRASH_PAUSE_MS;
  }

  private holdingsOf(jobId: string): JobHoldings {
    const known = this.holdings.get(jobId);
    if (known !== undefined) return known;
    const fresh = { held: new Map(), begunAtMs: new Map(), pausedAtMs: new Map() };
    this.holdings.set(jobId, fresh);
    return fresh;
  }

  private hold({ jobId, index }: ItemRef, holder: string, nowMs: number): void {
    const { held, begunAtMs } = this.holdingsOf(jobId);
    held.set(index, { holder, untilMs: nowMs + this.leaseMs });
    if (!begunAtMs.has(index)) begunAtMs.set(index, nowMs);
  }
}

/** The first `count` in order; cheaper than a sort of all, of which hundreds may wait for one slot. */
function firstOf<T>(all: readonly T[], count: number, compare: (a: T, b: T) => number): T[] {
  const first: T[] = [];
  for (const one of all) {
    const last = first.at(-1);
    if (first.length >= count && (last === undefined || compare(one, last) >= 0)) continue;
    const place = first.findIndex((other) => compare(one, other) < 0);
    first.splice(place === -1 ? first.length : place, 0, one);
    if (first.length > count) first.pop();
  }
  return first;
}
