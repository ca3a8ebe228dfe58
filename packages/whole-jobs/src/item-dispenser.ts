/**
 * Hands out the items of a group while its member leads. Who holds what is kept in memory only:
 * an item may run more than once, so a new leader starts from what the holders tell it.
 */
import type { JobRecord } from './job-record.js';
import type { WholeJobs } from './whole-jobs.js';

/** Time after an election in which holders tell what they have before anything is handed out. */
const SETTLE_MS = 1200;

/** Names an item. */
export interface ItemRef {
  readonly jobId: string;
  readonly index: number;
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

  /** Hands out up to `maxItems` items whose jobs have one of the quota keys, oldest jobs first. */
  grant(
    jobs: WholeJobs,
    request: { readonly holder: string; readonly quotaKey: string; readonly maxItems: number },
    nowMs: number,
  ): { readonly job: JobRecord; readonly index: number }[] {
    if (nowMs < this.grantsFromMs) return [];
    const granted: { job: JobRecord; index: number }[] = [];
    for (const job of jobs.all) {
      if (granted.length >= request.maxItems) break;
      if (!job.isOpen || job.identity.quotaKey !== request.quotaKey) continue;
      for (const index of job.openIndexes()) {
        if (granted.length >= request.maxItems) break;
        const ref = { jobId: job.identity.jobId, index };
        if (this.isHeld(ref, nowMs)) continue;
        this.hold(ref, request.holder, nowMs);
        granted.push({ job, index });
      }
    }
    return granted;
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
  release(holder: string, refs: readonly ItemRef[]): void {
    for (const ref of refs) {
      if (this.holdings.get(keyOf(ref))?.holder === holder) this.holdings.delete(keyOf(ref));
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
      const [jobId = '', index = ''] = key.split('|');
      const isOpen = jobs.get(jobId)?.mayRun(Number(index)) === true;
      if (!isOpen || holding.untilMs <= nowMs) this.holdings.delete(key);
    }
  }

  private isHeld(ref: ItemRef, nowMs: number): boolean {
    return (this.holdings.get(keyOf(ref))?.untilMs ?? 0) > nowMs;
  }

  private hold(ref: ItemRef, holder: string, nowMs: number): void {
    this.holdings.set(keyOf(ref), { holder, untilMs: nowMs + this.leaseMs });
  }
}

function keyOf(ref: ItemRef): string {
  return `${ref.jobId}|${ref.index}`;
}
