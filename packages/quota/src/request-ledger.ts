/**
 * Counts the requests of workspaces, at the process that is their counter. Entries admit requests
 * and report them afterwards; while a workspace is near its limit, the counter notifies the entries
 * and they request a grant first.
 *
 * This covers loads from a few requests a second over dozens of entries, none of which receives
 * enough of them to enforce the limit, up to a workspace that sends ten times its limit to all
 * entries at once.
 */
import { WINDOW_SLICES } from './messages.js';
import type { QuotaAnswer, QuotaRequest, QuotaTerms, UsageReport } from './messages.js';
import { extraBurst } from './tolerance.js';
import type { QuotaTolerance } from './tolerance.js';

/**
 * Share of the capacity below which a workspace is near its limit, so that entries request grants.
 * It must cover the requests between a report and its reply: 70 ms at ten times the limit are 0.7 s
 * of the rate, while a burst is commonly 1 s of the rate and the tolerance covers the difference.
 */
const NEAR_LIMIT_SHARE = 0.5;
/** Longest wait that is reported; callers do not retry later than that. */
const MAX_WAIT_MS = 10_000;
/**
 * Time without reports or requests after which the count of a workspace is removed. If it is
 * reported again, its burst is withheld as after a takeover.
 */
const IDLE_EXPIRY_MS = 600_000;
/**
 * Time for which a new counter withholds the burst. Entries check every half a second for a new
 * counter, and report to it what they admitted before.
 */
const TAKEOVER_WAIT_MS = 600;
/** Gap between two calls of {@link RequestLedger.tick} that shows a suspension of this process. */
const SUSPENSION_GAP_MS = 2000;

/** Options of {@link RequestLedger}. */
export interface RequestLedgerOptions {
  readonly tolerance: QuotaTolerance;
  /** Start of this process. */
  readonly startedAtMs: number;
}

/** Token bucket of one workspace. */
interface Account {
  terms: QuotaTerms;
  /** Requests that may be admitted now; negative if more were admitted than allowed. */
  level: number;
  /** Part of the burst that another process may have granted; released when usage is known. */
  withheld: number;
  withheldUntilMs: number;
  refilledAtMs: number;
  updatedAtMs: number;
  /** Requests admitted before this process became the counter, by slices of the window. */
  earlierUsage: number[];
  /** Time at which this process became the counter. */
  countingSinceMs: number;
  /** Time until which the rate is reserved for refused requests that are expected to retry. */
  reservedUntilMs: number;
}

/** Request counts of the workspaces whose counter is this process. */
export class RequestLedger {
  private readonly tolerance: QuotaTolerance;
  private readonly accounts = new Map<string, Account>();
  private startedAtMs: number;
  private lastTickAtMs: number | undefined;

  constructor({ tolerance, startedAtMs }: RequestLedgerOptions) {
    this.tolerance = tolerance;
    this.startedAtMs = startedAtMs;
  }

  private get sliceMs(): number {
    return this.tolerance.windowMs / WINDOW_SLICES;
  }

  /** Number of workspaces that are counted here. */
  get size(): number {
    return this.accounts.size;
  }

  /** Counts admitted requests; returns whether the workspace is near its limit. */
  report({ workspace, terms, used, usedBefore = [] }: UsageReport, nowMs: number): boolean {
    const account = this.accountOf(workspace, terms, nowMs);
    this.addEarlierUsage(account, usedBefore, nowMs);
    account.level = Math.min(this.capacity(account), account.level - used);
    return this.isNearLimit(account);
  }

  /** Grants as many of the requests as the limit allows now. */
  grant({ workspace, terms, wanted }: QuotaRequest, nowMs: number): QuotaAnswer {
    const account = this.accountOf(workspace, terms, nowMs);
    const granted = Math.max(0, Math.min(wanted, Math.floor(account.level)));
    account.level -= granted;
    const { ratePerS } = account.terms;
    const spacingMs = ratePerS > 0 ? Math.min(MAX_WAIT_MS, 1000 / ratePerS) : MAX_WAIT_MS;
    const refused = wanted - granted;
    if (refused === 0) return { granted, roomInMs: 0, spacingMs };
    const missing = Math.max(0, 1 - account.level);
    const freeAtMs = Math.max(nowMs + missing * spacingMs, account.reservedUntilMs);
    const latestMs = nowMs + MAX_WAIT_MS;
    account.reservedUntilMs = Math.min(latestMs, freeAtMs + refused * spacingMs);
    return { granted, roomInMs: Math.min(latestMs, freeAtMs) - nowMs, spacingMs };
  }

  /** Returns the workspaces near their limits, for whose requests entries need a grant. */
  workspacesNearLimit(nowMs: number): string[] {
    const names: string[] = [];
    for (const [name, account] of this.accounts) {
      this.refill(account, nowMs);
      if (this.isNearLimit(account)) names.push(name);
    }
    return names;
  }

  /**
   * Removes idle counts; called several times a second. After a suspension of this process all
   * counts are discarded: other processes were the counters during that time, and what the buckets
   * here refill for it would be granted twice.
   */
  tick(nowMs: number): void {
    if (nowMs - (this.lastTickAtMs ?? nowMs) > SUSPENSION_GAP_MS) {
      this.accounts.clear();
      this.startedAtMs = nowMs;
    }
    this.lastTickAtMs = nowMs;
    for (const [name, { updatedAtMs }] of this.accounts) {
      if (nowMs - updatedAtMs > IDLE_EXPIRY_MS) this.accounts.delete(name);
    }
  }

  private accountOf(workspace: string, terms: QuotaTerms, nowMs: number): Account {
    const known = this.accounts.get(workspace);
    if (known !== undefined) {
      this.refill(known, nowMs);
      if (terms.version > known.terms.version) known.terms = terms;
      known.level = Math.min(known.level, this.capacity(known));
      known.updatedAtMs = nowMs;
      return known;
    }
    const ageMs = nowMs - this.startedAtMs;
    const isNewProcess = ageMs < this.tolerance.windowMs;
    const gained = isNewProcess ? Math.min(terms.burst, (ageMs * terms.ratePerS) / 1000) : 0;
    const created: Account = {
      terms,
      level: Math.max(1, extraBurst(terms, this.tolerance) + gained),
      // Entries that started together with this process cannot report earlier requests, so the
      // burst accrues from zero instead of being withheld.
      withheld: isNewProcess ? 0 : terms.burst,
      withheldUntilMs: nowMs + TAKEOVER_WAIT_MS,
      refilledAtMs: nowMs,
      updatedAtMs: nowMs,
      earlierUsage: [],
      countingSinceMs: nowMs,
      reservedUntilMs: nowMs,
    };
    this.accounts.set(workspace, created);
    return created;
  }

  /** Adds earlier requests of an entry; slices are aligned to the time when counting began here. */
  private addEarlierUsage(account: Account, usedBefore: readonly number[], nowMs: number): void {
    const elapsedSlices = Math.round((nowMs - account.countingSinceMs) / this.sliceMs);
    for (const [age, used] of usedBefore.entries()) {
      const slice = Math.max(0, age - elapsedSlices);
      account.earlierUsage[slice] = (account.earlierUsage[slice] ?? 0) + used;
    }
  }

  /**
   * Returns the part of the burst that was left when counting began here. It assumes that nothing
   * was left one window earlier, since a workspace that has long sent at its limit cannot be
   * distinguished from one that has just begun to.
   */
  private remainingBurst({ terms, earlierUsage }: Account): number {
    const gained = (terms.ratePerS * this.sliceMs) / 1000;
    let left = 0;
    for (let slice = WINDOW_SLICES - 1; slice > 0; slice -= 1) {
      left = Math.min(terms.burst, left + gained) - (earlierUsage[slice] ?? 0);
    }
    // The newest slice had just begun, so nothing is added for it before its usage is subtracted.
    return Math.max(0, left - (earlierUsage[0] ?? 0));
  }

  private refill(account: Account, nowMs: number): void {
    const gained = (Math.max(0, nowMs - account.refilledAtMs) / 1000) * account.terms.ratePerS;
    account.refilledAtMs = nowMs;
    const isReleased = account.withheld > 0 && nowMs >= account.withheldUntilMs;
    const released = isReleased ? this.remainingBurst(account) : 0;
    if (isReleased) account.withheld = 0;
    account.level = Math.min(this.capacity(account), account.level + gained + released);
  }

  private isNearLimit(account: Account): boolean {
    return account.level < NEAR_LIMIT_SHARE * this.capacity(account);
  }

  /** Returns the largest number of requests that may be admitted at once. */
  private capacity({ terms, withheld }: Account): number {
    return Math.max(1, terms.burst + extraBurst(terms, this.tolerance) - withheld);
  }
}
