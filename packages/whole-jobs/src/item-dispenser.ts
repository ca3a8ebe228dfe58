/**
 * Leases items of a group to entries while the local member is its leader. Leases are kept in
 * memory only: an item may run more than once, so a new leader rebuilds them from the renewals of
 * the holders.
 */
import { CautiousRuns } from './cautious-runs.js';
import type { ItemProgress } from './commands.js';
import { SlowdownEstimate } from './slowdown-estimate.js';
import { compareWaitingItems } from './item-order.js';
import type { WaitingItem } from './item-order.js';
import type { JobRecord } from './job-record.js';
import type { WholeJobs } from './whole-jobs.js';

/** Time after an election in which holders renew their leases and no items are granted. */
const ELECTION_GRACE_MS = 1200;

/**
 * Number of consecutive endpoint crashes during runs of an item after which its next run is
 * delayed.
 */
const CRASHES_BEFORE_PAUSE = 2;
/**
 * Delay before the next run of such an item, after each crash. If something else crashed the
 * endpoints, such as a request that was retried repeatedly, that cause has passed after the delay,
 * and no further crash is attributed to the item. If the item is the cause, the delay makes the
 * crashes less frequent.
 */
const CRASH_PAUSE_MS = 4000;
/** Number of consecutive endpoint crashes after which few such items run at once. */
const CRASHES_BEFORE_CAUTION = 3;

/** Identifies an item. */
export interface ItemRef {
  readonly jobId: string;
  readonly index: number;
}

/** Request of an entry for items. */
export interface ItemRequest {
  readonly holder: string;
  /** Route whose items are requested. */
  readonly routeKey: string;
  readonly maxItems: number;
  /** Duration of a complete run, as measured by the holder. */
  readonly runMs: number;
  /** Number of events of a complete run, as measured by the holder. */
  readonly runEvents: number;
  /**
   * Maximum number of items that must run alone; omitted by earlier versions, which run them beside
   * others.
   */
  readonly maxAloneItems?: number;
}

/** A granted item. */
export interface DispensedItem {
  readonly job: JobRecord;
  readonly index: number;
  /** Whether no other item may run at its endpoint until it has progressed. */
  readonly mustRunAlone: boolean;
  readonly progress: ItemProgress | undefined;
}

/** Options of {@link ItemDispenser}. */
export interface ItemDispenserOptions {
  /** Time after which the lease of an unresponsive holder expires. */
  readonly leaseMs: number;
}

interface Lease {
  readonly holder: string;
  expiresAtMs: number;
}

/** Leases and times of the items of one job, by item index. */
interface JobLeases {
  readonly leases: Map<number, Lease>;
  /** Time at which an item was first granted. */
  readonly grantedAtMs: Map<number, number>;
  /** Delay of an item after endpoint crashes. */
  readonly pauses: Map<number, Pause>;
  /** Items that were granted under the limit of {@link CautiousRuns}. */
  readonly cautious: Set<number>;
}

/** Delay of an item. */
interface Pause {
  /** See {@link JobRecord.crashMarker}. */
  readonly crashMarker: string;
  readonly sinceMs: number;
}

/** Current time of both clocks. */
export interface DispenserTime {
  /** Monotonic time, for leases. */
  readonly nowMs: number;
  /** Wall clock, for due times. */
  readonly wallMs: number;
}

/** An unleased item. */
interface UnleasedItem extends WaitingItem {
  readonly job: JobRecord;
  readonly index: number;
  readonly mustRunAlone: boolean;
  /** Whether it lost so many endpoints that few items like it may run at once. */
  readonly needsCaution: boolean;
}

/** Granted items and the number still waiting. */
export interface GrantResult {
  readonly items: readonly DispensedItem[];
  /** Number of unleased items of the route after the grant; excludes delayed items. */
  readonly unleasedCount: number;
}

/** Minimum share of a complete run that an item is assumed to still need. */
const MIN_REMAINING_SHARE = 0.1;

/** Grants, renews and releases leases of items. */
export class ItemDispenser {
  private readonly leaseMs: number;
  private readonly leasesByJob = new Map<string, JobLeases>();
  private readonly slowdownEstimate = new SlowdownEstimate();
  private readonly cautiousRuns = new CautiousRuns();
  private runMs = 0;
  private grantsFromMs = 0;

  constructor(options: ItemDispenserOptions) {
    this.leaseMs = options.leaseMs;
  }

  /** Discards all leases; called when the member becomes leader. */
  becameLeader(nowMs: number): void {
    this.leasesByJob.clear();
    this.grantsFromMs = nowMs + ELECTION_GRACE_MS;
  }

  /**
   * Leases the first waiting items in the order of {@link compareWaitingItems}. `routeKeyOf` returns
   * the key of the route that serves a job, by default the one that accepted it.
   */
  grant(
    jobs: WholeJobs,
    request: ItemRequest,
    time: DispenserTime,
    routeKeyOf: (job: JobRecord) => string | undefined = ({ routeKey }) => routeKey,
  ): GrantResult {
    const served = [...jobs.all].filter(
      (job) => job.isOpen && routeKeyOf(job) === request.routeKey,
    );
    const waiting = this.unleasedItems(served, request, time);
    if (time.nowMs < this.grantsFromMs) return { items: [], unleasedCount: waiting.length };
    this.runMs = request.runMs;
    const { slowdown } = this.slowdownEstimate;
    const limits = { ...request, maxCautiousItems: this.freeCautiousRuns(jobs, time.nowMs) };
    const selected = selectItems(waiting, limits, (a, b) => compareWaitingItems(a, b, slowdown));
    const items = selected.map(({ job, index, mustRunAlone, needsCaution }) => {
      const { jobId } = job.identity;
      this.leaseItem({ jobId, index }, request.holder, time.nowMs);
      if (needsCaution) this.leasesOf(jobId).cautious.add(index);
      return { job, index, mustRunAlone, progress: job.progressOf(index) };
    });
    return { items, unleasedCount: waiting.length - items.length };
  }

  /** Renews the leases of a holder; returns the items that it must no longer run. */
  renew(jobs: WholeJobs, holder: string, refs: readonly ItemRef[], nowMs: number): ItemRef[] {
    const lost: ItemRef[] = [];
    for (const ref of refs) {
      const isOpen = jobs.get(ref.jobId)?.mayRun(ref.index) === true;
      const lease = this.leasesByJob.get(ref.jobId)?.leases.get(ref.index);
      const isHeldByOther =
        lease !== undefined && lease.holder !== holder && lease.expiresAtMs > nowMs;
      if (isOpen && !isHeldByOther) this.leaseItem(ref, holder, nowMs);
      else lost.push(ref);
    }
    return lost;
  }

  /** Ends the leases of items that their holder failed to run or returned unfinished. */
  release(holder: string, items: readonly ItemRef[]): void {
    for (const { jobId, index } of items) {
      const leases = this.leasesByJob.get(jobId)?.leases;
      if (leases?.get(index)?.holder === holder) leases.delete(index);
    }
  }

  /** Updates the slowdown estimate with finished items. */
  recordFinished(items: readonly ItemRef[], nowMs: number): void {
    for (const { jobId, index } of items) {
      const known = this.leasesByJob.get(jobId);
      const grantedAtMs = known?.grantedAtMs.get(index);
      if (grantedAtMs !== undefined)
        this.slowdownEstimate.addSample(nowMs - grantedAtMs, this.runMs);
      if (known?.cautious.delete(index) === true) this.cautiousRuns.completed();
    }
  }

  /** Removes expired leases and the records of finished items and jobs. */
  sweep(jobs: WholeJobs, nowMs: number): void {
    for (const [jobId, { leases, grantedAtMs, pauses, cautious }] of this.leasesByJob) {
      const job = jobs.get(jobId);
      if (job?.isOpen !== true) {
        this.leasesByJob.delete(jobId);
        continue;
      }
      for (const [index, { expiresAtMs }] of leases) {
        if (expiresAtMs <= nowMs || !job.mayRun(index)) leases.delete(index);
      }
      for (const index of grantedAtMs.keys()) if (!job.mayRun(index)) grantedAtMs.delete(index);
      for (const index of pauses.keys()) if (!job.mayRun(index)) pauses.delete(index);
      for (const index of cautious) if (!job.mayRun(index)) cautious.delete(index);
    }
  }

  /**
   * Returns the items of a job that no entry holds; none until the holders have renewed their leases
   * after an election.
   */
  unheldItems(job: JobRecord, nowMs: number): ItemRef[] {
    if (nowMs < this.grantsFromMs) return [];
    const { jobId } = job.identity;
    const leases = this.leasesByJob.get(jobId)?.leases;
    const indexes = [...job.openIndexes()];
    const unheld = indexes.filter((index) => (leases?.get(index)?.expiresAtMs ?? 0) <= nowMs);
    return unheld.map((index) => ({ jobId, index }));
  }

  /** Number of items that are leased now. */
  leasedCount(nowMs: number): number {
    let count = 0;
    for (const { leases } of this.leasesByJob.values()) {
      for (const { expiresAtMs } of leases.values()) if (expiresAtMs > nowMs) count += 1;
    }
    return count;
  }

  private unleasedItems(
    jobs: readonly JobRecord[],
    request: ItemRequest,
    time: DispenserTime,
  ): UnleasedItem[] {
    const unleased: UnleasedItem[] = [];
    for (const job of jobs) {
      const leases = this.leasesByJob.get(job.identity.jobId)?.leases;
      const untilDueMs = job.dueAtMs - time.wallMs;
      const allowedMs = job.identity.resultsDueMs;
      for (const index of job.openIndexes()) {
        if ((leases?.get(index)?.expiresAtMs ?? 0) > time.nowMs) continue;
        if (this.isPaused(job, index, time.nowMs)) continue;
        const eventCount = job.eventCount(index);
        const completedShare = eventCount / Math.max(1, request.runEvents);
        const remainingMs = request.runMs * Math.max(MIN_REMAINING_SHARE, 1 - completedShare);
        unleased.push({
          job,
          index,
          mustRunAlone: job.mustRunAlone(index),
          needsCaution: job.crashCount(index) >= CRASHES_BEFORE_CAUTION,
          untilDueMs,
          allowedMs,
          remainingMs,
          isStarted: eventCount > 0,
        });
      }
    }
    return unleased;
  }

  /** Whether the next run of an item is still delayed after endpoint crashes. */
  private isPaused(job: JobRecord, index: number, nowMs: number): boolean {
    const crashCount = job.crashCount(index);
    if (crashCount < CRASHES_BEFORE_PAUSE) return false;
    const { pauses, cautious } = this.leasesOf(job.identity.jobId);
    const crashMarker = job.crashMarker(index);
    let pause = pauses.get(index);
    if (pause?.crashMarker !== crashMarker) {
      pause = { crashMarker, sinceMs: nowMs };
      pauses.set(index, pause);
      if (cautious.delete(index)) this.cautiousRuns.crashed();
    }
    return nowMs - pause.sinceMs < CRASH_PAUSE_MS;
  }

  /** Number of items that need caution and may be granted now. */
  private freeCautiousRuns(jobs: WholeJobs, nowMs: number): number {
    let running = 0;
    for (const [jobId, { leases, cautious }] of this.leasesByJob) {
      for (const index of cautious) {
        const isLeased = (leases.get(index)?.expiresAtMs ?? 0) > nowMs;
        if (isLeased && jobs.get(jobId)?.mayRun(index) === true) running += 1;
      }
    }
    return Math.max(0, this.cautiousRuns.limit - running);
  }

  private leasesOf(jobId: string): JobLeases {
    const existing = this.leasesByJob.get(jobId);
    if (existing !== undefined) return existing;
    const created = {
      leases: new Map(),
      grantedAtMs: new Map(),
      pauses: new Map(),
      cautious: new Set<number>(),
    };
    this.leasesByJob.set(jobId, created);
    return created;
  }

  private leaseItem({ jobId, index }: ItemRef, holder: string, nowMs: number): void {
    const { leases, grantedAtMs } = this.leasesOf(jobId);
    leases.set(index, { holder, expiresAtMs: nowMs + this.leaseMs });
    if (!grantedAtMs.has(index)) grantedAtMs.set(index, nowMs);
  }
}

/** Selects the items of a request; limits those that must run alone and those that need caution. */
function selectItems(
  waiting: readonly UnleasedItem[],
  {
    maxItems,
    maxAloneItems = Infinity,
    maxCautiousItems,
  }: ItemRequest & { readonly maxCautiousItems: number },
  compare: (a: UnleasedItem, b: UnleasedItem) => number,
): UnleasedItem[] {
  const cautious = limitItems(waiting, maxCautiousItems, compare, (item) => item.needsCaution);
  const alone = limitItems(cautious, maxAloneItems, compare, (item) => item.mustRunAlone);
  return selectFirst(alone, maxItems, compare);
}

/** Returns the items without all but the first `count` of those that are limited. */
function limitItems(
  items: readonly UnleasedItem[],
  count: number,
  compare: (a: UnleasedItem, b: UnleasedItem) => number,
  isLimited: (item: UnleasedItem) => boolean,
): readonly UnleasedItem[] {
  const limited = items.filter(isLimited);
  if (limited.length <= count) return items;
  const kept = new Set(selectFirst(limited, count, compare));
  return items.filter((item) => !isLimited(item) || kept.has(item));
}

/**
 * Returns the first `count` elements in order. This is cheaper than a full sort, because hundreds
 * of items may wait for one slot.
 */
function selectFirst<T>(all: readonly T[], count: number, compare: (a: T, b: T) => number): T[] {
  const selected: T[] = [];
  for (const element of all) {
    const last = selected.at(-1);
    if (selected.length >= count && (last === undefined || compare(element, last) >= 0)) continue;
    const position = selected.findIndex((other) => compare(element, other) < 0);
    selected.splice(position === -1 ? selected.length : position, 0, element);
    if (selected.length > count) selected.pop();
  }
  return selected;
}
