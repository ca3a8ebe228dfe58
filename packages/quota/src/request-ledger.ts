/**
 * Counts the requests of workspaces at the process that keeps their counts. Entries let requests pass and
 * tell of them afterwards; where a workspace is near its limit, the keeper says so and they ask first.
 *
 * It answers loads from a few requests a second that come through dozens of entries, none of which sees
 * enough of them to judge, up to a workspace that sends ten times its limit at all of them at once.
 */
import { WINDOW_SLICES } from './messages.js';
import type { QuotaAnswer, QuotaRequest, QuotaTerms, UsageReport } from './messages.js';
import { headroom } from './tolerance.js';
import type { QuotaTolerance } from './tolerance.js';

/**
 * Part of the largest burst below which entries have to ask first. What comes between a report and the
 * answer to it must fit in: 70 ms at ten times the limit are 0.7 seconds' worth of the rate, where a burst is
 * commonly one second's worth and the tolerance covers the difference.
 */
const NEAR_SHARE = 0.5;
/** Longest wait that is told; callers do not come back later than that. */
const MAX_WAIT_MS = 10_000;
/** Time without news of a workspace after which its count is dropped: its burst is withheld when it is heard of again. */
const FORGET_AFTER_MS = 600_000;
/**
 * Time for which the burst is withheld by a process that takes a count over: entries look every half a second
 * whether there is a new keeper, and tell it what they let in before.
 */
const TAKEOVER_MS = 600;
/** Pause between two calls of {@link RequestLedger.tick} beyond which this process has stood still. */
const STOOD_STILL_MS = 2000;

/** Options of {@link RequestLedger}. */
export interface RequestLedgerOptions {
  readonly tolerance: QuotaTolerance;
  readonly startedAtMs: number;
}

interface Account {
  terms: QuotaTerms;
  /** Requests that may pass now; negative where more has passed than was known. */
  level: number;
  /** Part of the burst that may have been given out by another process; it is added when that is known. */
  withheld: number;
  withheldUntilMs: number;
  filledAtMs: number;
  heardAtMs: number;
  /** What entries say to have let in before this process kept the count. */
  usedBefore: number[];
  /** When this process began to keep the count. */
  beganAtMs: number;
  /** Until when the room is spoken for by those that were told to come back. */
  promisedUntilMs: number;
}

/** The counts that one process keeps. */
export class RequestLedger {
  private readonly tolerance: QuotaTolerance;
  private readonly accounts = new Map<string, Account>();
  private startedAtMs: number;
  private tickedAtMs: number | undefined;

  constructor({ tolerance, startedAtMs }: RequestLedgerOptions) {
    this.tolerance = tolerance;
    this.startedAtMs = startedAtMs;
  }

  private get sliceMs(): number {
    return this.tolerance.windowMs / WINDOW_SLICES;
  }

  /** Workspaces whose count is kept here. */
  get size(): number {
    return this.accounts.size;
  }

  /** Counts requests that have passed; says whether the workspace is near its limit. */
  report({ workspace, terms, used, usedBefore = [] }: UsageReport, nowMs: number): boolean {
    const account = this.accountOf(workspace, terms, nowMs);
    this.countEarlier(account, usedBefore, nowMs);
    account.level = Math.min(this.capacity(account), account.level - used);
    return this.isNear(account);
  }

  /** Lets requests pass as far as there is room. */
  ask({ workspace, terms, wanted }: QuotaRequest, nowMs: number): QuotaAnswer {
    const account = this.accountOf(workspace, terms, nowMs);
    const granted = Math.max(0, Math.min(wanted, Math.floor(account.level)));
    account.level -= granted;
    const { ratePerS } = account.terms;
    const spacingMs = ratePerS > 0 ? Math.min(MAX_WAIT_MS, 1000 / ratePerS) : MAX_WAIT_MS;
    const refused = wanted - granted;
    if (refused === 0) return { granted, roomInMs: 0, spacingMs };
    const missing = Math.max(0, 1 - account.level);
    const roomAtMs = Math.max(nowMs + missing * spacingMs, account.promisedUntilMs);
    const latestMs = nowMs + MAX_WAIT_MS;
    account.promisedUntilMs = Math.min(latestMs, roomAtMs + refused * spacingMs);
    return { granted, roomInMs: Math.min(latestMs, roomAtMs) - nowMs, spacingMs };
  }

  /** The workspaces that are near their limits; entries must ask before a request of these passes. */
  near(nowMs: number): string[] {
    const names: string[] = [];
    for (const [name, account] of this.accounts) {
      this.fill(account, nowMs);
      if (this.isNear(account)) names.push(name);
    }
    return names;
  }

  /**
   * Called several times a second. Whoever stood still counts anew: others have kept the counts meanwhile, and a
   * bucket that filled up here would be given out a second time.
   */
  tick(nowMs: number): void {
    if (nowMs - (this.tickedAtMs ?? nowMs) > STOOD_STILL_MS) {
      this.accounts.clear();
      this.startedAtMs = nowMs;
    }
    this.tickedAtMs = nowMs;
    for (const [name, { heardAtMs }] of this.accounts) {
      if (nowMs - heardAtMs > FORGET_AFTER_MS) this.accounts.delete(name);
    }
  }

  private accountOf(workspace: string, terms: QuotaTerms, nowMs: number): Account {
    const known = this.accounts.get(workspace);
    if (known !== undefined) {
      this.fill(known, nowMs);
      if (terms.version > known.terms.version) known.terms = terms;
      known.level = Math.min(known.level, this.capacity(known));
      known.heardAtMs = nowMs;
      return known;
    }
    const ageMs = nowMs - this.startedAtMs;
    const isYoung = ageMs < this.tolerance.windowMs;
    const gained = isYoung ? Math.min(terms.burst, (ageMs * terms.ratePerS) / 1000) : 0;
    const fresh: Account = {
      terms,
      level: Math.max(1, headroom(terms, this.tolerance) + gained),
      // Entries that started with this process cannot tell what they let in before: its burst is gained from nothing.
      withheld: isYoung ? 0 : terms.burst,
      withheldUntilMs: nowMs + TAKEOVER_MS,
      filledAtMs: nowMs,
      heardAtMs: nowMs,
      usedBefore: [],
      beganAtMs: nowMs,
      promisedUntilMs: nowMs,
    };
    this.accounts.set(workspace, fresh);
    return fresh;
  }

  /** Adds what an entry let in before; slices are aligned to the moment at which the count began here. */
  private countEarlier(account: Account, usedBefore: readonly number[], nowMs: number): void {
    const passed = Math.round((nowMs - account.beganAtMs) / this.sliceMs);
    for (const [age, used] of usedBefore.entries()) {
      const slice = Math.max(0, age - passed);
      account.usedBefore[slice] = (account.usedBefore[slice] ?? 0) + used;
    }
  }

  /**
   * What of the burst was left when the count began here. A window before nothing is taken to have been left: a
   * workspace that has sent at its limit for long looks like one that has just begun to.
   */
  private leftOfBurst({ terms, usedBefore }: Account): number {
    const gained = (terms.ratePerS * this.sliceMs) / 1000;
    let left = 0;
    for (let slice = WINDOW_SLICES - 1; slice > 0; slice -= 1) {
      left = Math.min(terms.burst, left + gained) - (usedBefore[slice] ?? 0);
    }
    // The newest slice had just begun, so it gained less than it is known to have used.
    return Math.max(0, left - (usedBefore[0] ?? 0));
  }

  private fill(account: Account, nowMs: number): void {
    const gained = (Math.max(0, nowMs - account.filledAtMs) / 1000) * account.terms.ratePerS;
    account.filledAtMs = nowMs;
    const isSettled = account.withheld > 0 && nowMs >= account.withheldUntilMs;
    const released = isSettled ? this.leftOfBurst(account) : 0;
    if (isSettled) account.withheld = 0;
    account.level = Math.min(this.capacity(account), account.level + gained + released);
  }

  private isNear(account: Account): boolean {
    return account.level < NEAR_SHARE * this.capacity(account);
  }

  /** The most that may pass at once. */
  private capacity({ terms, withheld }: Account): number {
    return Math.max(1, terms.burst + headroom(terms, this.tolerance) - withheld);
  }
}
