/**
 * Enforces the caller limits of table rows at one entry.
 */
import type { CallerLimits } from '@shedline/types';
import type { QuotaHolder } from './quota.js';
import { RateBucket } from './rate.js';

/** Limits of a row, each leased separately. */
export const LIMIT_KINDS = ['requestsPerSecond', 'concurrentRequests', 'tokensPerSecond'] as const;
/** One of the limits of a row. */
export type LimitKind = (typeof LIMIT_KINDS)[number];

/** Result of {@link RowLimits.admit}. */
export type LimitAnswer =
  | { readonly admitted: true }
  | { readonly admitted: false; readonly limit: LimitKind; readonly retryAfterMs: number };

/** Demand for one limit of a row, as sent to the owner of the row. */
export interface LimitDemand {
  readonly row: string;
  readonly kind: LimitKind;
  readonly demand: number;
}

interface RowUsage {
  readonly requests: RateBucket;
  readonly tokens: RateBucket;
  concurrent: number;
  /** Smoothed number of arrivals per second, refused requests included. */
  requestRate: number;
  /** Smoothed number of tokens used per second. */
  tokenRate: number;
  /** Highest concurrency since the last demand. */
  peakConcurrent: number;
  /** Requests that arrived since the last demand; the next two counters likewise. */
  recentArrivals: number;
  recentTokens: number;
  recentRefusals: number;
  usedAtMs: number;
}

const RATE_SMOOTHING = 0.5;
const IDLE_AFTER_MS = 5000;
const CONCURRENCY_RETRY_MS = 500;
/** Factor of the demand over the present usage, so that growth is not refused at once. */
const DEMAND_FACTOR = 1.5;

/** Returns the key under which one limit of a row is leased. */
export function limitKey(row: string, kind: LimitKind): string {
  return `${row}|${kind}`;
}

/** Admits requests within the leased limits of their rows. */
export class RowLimits {
  private readonly holder: QuotaHolder;
  private readonly rows = new Map<string, RowUsage>();
  private lastDemandMs = 0;

  constructor(holder: QuotaHolder) {
    this.holder = holder;
  }

  /** Admits a request of a row, or returns the limit that it exceeds. */
  admit(row: string, limits: CallerLimits, nowMs: number): LimitAnswer {
    const usage = this.usageOf(row, nowMs);
    usage.recentArrivals += 1;
    const allowed = (kind: LimitKind): number =>
      this.holder.allowance(limitKey(row, kind), limits[kind], nowMs);
    const refusal = this.firstLimitReached(usage, allowed, nowMs);
    if (refusal !== undefined) {
      usage.recentRefusals += 1;
      return refusal;
    }
    usage.concurrent += 1;
    usage.peakConcurrent = Math.max(usage.peakConcurrent, usage.concurrent);
    return { admitted: true };
  }

  /** Records that an admitted request ended. */
  release(row: string): void {
    const usage = this.rows.get(row);
    if (usage !== undefined) usage.concurrent = Math.max(0, usage.concurrent - 1);
  }

  /** Charges tokens that a request used. */
  chargeTokens(row: string, tokens: number): void {
    const usage = this.rows.get(row);
    if (usage === undefined) return;
    usage.tokens.charge(tokens);
    usage.recentTokens += tokens;
  }

  /** Returns the demand of all active rows since the last call, and removes idle rows. */
  demands(nowMs: number): LimitDemand[] {
    const seconds = Math.max(0.05, (nowMs - this.lastDemandMs) / 1000);
    this.lastDemandMs = nowMs;
    const demands: LimitDemand[] = [];
    for (const [row, usage] of this.rows) {
      if (usage.concurrent === 0 && nowMs - usage.usedAtMs > IDLE_AFTER_MS) {
        this.rows.delete(row);
        continue;
      }
      demands.push(...demandsOf(row, usage, seconds));
    }
    return demands;
  }

  private firstLimitReached(
    usage: RowUsage,
    allowed: (kind: LimitKind) => number,
    nowMs: number,
  ): LimitAnswer | undefined {
    // One request at a time is admitted even if the share is below one.
    if (usage.concurrent >= Math.max(1, Math.floor(allowed('concurrentRequests')))) {
      return refusedBy('concurrentRequests', CONCURRENCY_RETRY_MS);
    }
    const tokenRate = allowed('tokensPerSecond');
    if (!usage.tokens.isPositive(tokenRate, nowMs)) {
      return refusedBy('tokensPerSecond', usage.tokens.waitMs(1, tokenRate));
    }
    const requestRate = allowed('requestsPerSecond');
    if (!usage.requests.take(1, requestRate, nowMs)) {
      return refusedBy('requestsPerSecond', usage.requests.waitMs(1, requestRate));
    }
    return undefined;
  }

  private usageOf(row: string, nowMs: number): RowUsage {
    const known = this.rows.get(row);
    if (known !== undefined) {
      known.usedAtMs = nowMs;
      return known;
    }
    const created: RowUsage = {
      requests: new RateBucket(),
      tokens: new RateBucket(),
      concurrent: 0,
      requestRate: 0,
      tokenRate: 0,
      peakConcurrent: 0,
      recentArrivals: 0,
      recentTokens: 0,
      recentRefusals: 0,
      usedAtMs: nowMs,
    };
    this.rows.set(row, created);
    return created;
  }
}

function refusedBy(limit: LimitKind, retryAfterMs: number): LimitAnswer {
  return { admitted: false, limit, retryAfterMs: Math.max(50, Math.ceil(retryAfterMs)) };
}

function demandsOf(row: string, usage: RowUsage, seconds: number): LimitDemand[] {
  usage.requestRate += RATE_SMOOTHING * (usage.recentArrivals / seconds - usage.requestRate);
  usage.tokenRate += RATE_SMOOTHING * (usage.recentTokens / seconds - usage.tokenRate);
  const wantedConcurrent = usage.peakConcurrent + usage.recentRefusals + 1;
  usage.recentArrivals = 0;
  usage.recentTokens = 0;
  usage.recentRefusals = 0;
  usage.peakConcurrent = usage.concurrent;
  return [
    { row, kind: 'requestsPerSecond', demand: 1 + DEMAND_FACTOR * usage.requestRate },
    { row, kind: 'concurrentRequests', demand: DEMAND_FACTOR * wantedConcurrent },
    { row, kind: 'tokensPerSecond', demand: 100 + DEMAND_FACTOR * usage.tokenRate },
  ];
}
