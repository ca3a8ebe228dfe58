/**
 * Hands out the items of a group while its member leads. Who holds what is kept in memory only:
 * an item may run more than once, so a new leader starts from what the holders tell it.
 */
import type { ItemProgress } from './commands.js';
import type { JobRecord } from './job-record.js';
import type { WholeJobs } from './whole-jobs.js';

/** Time after an election in which holders tell what they have before anything is handed out. */
const SETTLE_MS = 1200;

/** Names an item. */
export interface ItemRef {
  readonly jobId: string;
  readonly index: number;
}

/** Asks for items. */
export interface ItemRequest {
  readonly holder: string;
  readonly quotaKey: string;
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

/** Monotonic time for leases and wall time for due times. */
export interface DispenserTime {
  readonly nowMs: number;
  readonly wallMs: number;
}

/** An item that waits, with what decides its turn. */
interface WaitingItem {
  readonly job: JobRecord;
  readonly index: number;
  /** Time that it probably still takes. */
  readonly remainingMs: number;
  /** Whether it will be late even if it starts now. */
  readonly isLate: boolean;
}

/** Least share of a whole run that an item is taken to need still. */
const MIN_REMAINING_SHARE = 0.1;

/** Leases of items. */
export class ItemDispenser {
  private readonly leaseMs: number;
  private readonly holdings = new Map<string, Holding>();
  private grantsFromMs = 0;

  constructor(options: ItemDispenserOptions) {
    this.leaseMs = options.leaseMs;
  }

  /** The member began to lead. */
  becameLeader(nowMs: number): void {
    this.holdings.clear();
    this.grantsFromMs = nowMs + SETTLE_MS;
  }

  /**
   * Hands out items. Those that can still be on time come first, the earliest due before the
   * others; what will be late in any case gets what is left, the nearest to its end first. So a
   * backlog makes only some items late and not all of them.
   */
  grant(jobs: WholeJobs, request: ItemRequest, time: DispenserTime): DispensedItem[] {
    if (time.nowMs < this.grantsFromMs) return [];
    const waiting = this.waitingItems(jobs, request, time).sort(byTurn);
    return waiting.slice(0, request.maxItems).map(({ job, index }) => {
      this.hold({ jobId: job.identity.jobId, index }, request.holder, time.nowMs);
      return { job, index, progress: job.progressOf(index) };
    });
  }

  /** Prolongs what a holder has; gives the items that it must not run any more. */
  renew(jobs: WholeJobs, holder: string, refs: readonly ItemRef[], nowMs: number): ItemRef[] {
    const lost: ItemRef[] = [];
    for (const ref of refs) {
      const isOpen = jobs.get(ref.jobId)?.mayRun(ref.index) === true;
      const other = this.holdings.get(keyOf(ref));
      const isOthers = other !== undefined && other.holder !== holder && other.untilMs > nowMs;
      if (isOpen && !isOthers) this.hold(ref, holder, nowMs);
      else lost.push(ref);
    }
    return lost;
  }

  /** Takes back items that their holder will not finish. */
  release(holder: string, items: readonly ItemRef[]): void {
    for (const item of items) {
      const key = keyOf(item);
      if (this.holdings.get(key)?.holder === holder) this.holdings.delete(key);
    }
  }

  /** Items under a quota key that nobody holds. */
  unheldCount(jobs: WholeJobs, quotaKey: string, nowMs: number): number {
    let count = 0;
    for (const job of jobs.all) {
      if (!job.isOpen || job.identity.quotaKey !== quotaKey) continue;
      for (const index of job.openIndexes()) {
        if (!this.isHeld({ jobId: job.identity.jobId, index }, nowMs)) count += 1;
      }
    }
    return count;
  }

  /** Forgets leases that ran out and items that are over. */
  sweep(jobs: WholeJobs, nowMs: number): void {
    for (const [key, holding] of this.holdings) {
      if (!isOpenItem(jobs, key) || holding.untilMs <= nowMs) this.holdings.delete(key);
    }
  }

  private waitingItems(jobs: WholeJobs, request: ItemRequest, time: DispenserTime): WaitingItem[] {
    const waiting: WaitingItem[] = [];
    for (const job of jobs.all) {
      if (!job.isOpen || job.identity.quotaKey !== request.quotaKey) continue;
      for (const index of job.openIndexes()) {
        const ref = { jobId: job.identity.jobId, index };
        if (this.isHeld(ref, time.nowMs)) continue;
        const doneShare = job.eventCount(index) / Math.max(1, request.runEvents);
        const remainingMs = request.runMs * Math.max(MIN_REMAINING_SHARE, 1 - doneShare);
        const isLate = job.dueAtMs - time.wallMs < remainingMs;
        waiting.push({ job, index, remainingMs, isLate });
      }
    }
    return waiting;
  }

  private isHeld(ref: ItemRef, nowMs: number): boolean {
    return (this.holdings.get(keyOf(ref))?.untilMs ?? 0) > nowMs;
  }

  private hold(ref: ItemRef, holder: string, nowMs: number): void {
    this.holdings.set(keyOf(ref), { holder, untilMs: nowMs + this.leaseMs });
  }
}

function byTurn(a: WaitingItem, b: WaitingItem): number {
  if (a.isLate !== b.isLate) return a.isLate ? 1 : -1;
  const byDue = a.job.dueAtMs - b.job.dueAtMs;
  const byRemaining = a.remainingMs - b.remainingMs;
  return a.isLate ? byRemaining || byDue : byDue || byRemaining;
}

function keyOf(ref: ItemRef): string {
  return `${ref.jobId}|${ref.index}`;
}

function isOpenItem(jobs: WholeJobs, key: string): boolean {
  const [jobId = '', index = ''] = key.split('|');
  return jobs.get(jobId)?.mayRun(Number(index)) === true;
}
