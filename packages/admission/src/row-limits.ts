/**
 * The caller limits of the rows at one entry.
 */
import type { CallerLimits } from '@shedline/types';
import type { QuotaHolder } from './quota.js';
import { RateBucket } from './rate.js';

/** Limits that are leased separately. */
export const LIMIT_KINDS = ['requestsPerSecond', 'concurrentRequests', 'tokensPerSecond'] as const;
/** One of the limits of a row. */
export type LimitKind = (typeof LIMIT_KINDS)[number];

/** Answer of {@link RowLimits.admit}. */
export type LimitAnswer =
  | { readonly admitted: true }
  | { readonly admitted: false; readonly limit: LimitKind; readonly retryAfterMs: number };

/** Demand for the limits of a row, for the owner. */
export interface LimitDemand {
  readonly row: string;
  readonly kind: LimitKind;
  readonly demand: number;
}

interface RowUse {
  readonly requests: RateBucket;
  readonly tokens: RateBucket;
  concurrent: number;
  /** Requests that came, admitted or not, smoothed. */
  requestRate: number;
  tokenRate: number;
  peakConcurrent: number;
  arrivedSince: number;
  tokensSince: number;
  refusedSince: number;
  usedAtMs: number;
}

const RATE_SMOOTHING = 0.5;
const IDLE_AFTER_MS = 5000;
const CONCURRENCY_RETRY_MS = 500;
/** Room that is asked for above what is used, so that growth is not refused at once. */
const DEMAND_HEADROOM = 1.5;

/** The key of one limit of a row, for leases. */
export function limitKey(row: string, kind: LimitKind): string {
  return `${row}|${kind}`;
}

/** Admission by the limits of rows. */
export class RowLimits {
  private readonly holder: QuotaHolder;
  private readonly rows = new Map<string, RowUse>();
  private lastDemandMs = 0;

  constructor(holder: QuotaHolder) {
    this.holder = holder;
  }

  /** Admits a request of a row or says which limit stands against it. */
  admit(row: string, limits: CallerLimits, nowMs: number): LimitAnswer {
    const use = this.useOf(row, nowMs);
    use.arrivedSince += 1;
    const allowed = (kind: LimitKind): number =>
      this.holder.allowance(limitKey(row, kind), limits[kind], nowMs);
    const refusal = this.firstLimitReached(use, allowed, nowMs);
    if (refusal !== undefined) {
      use.refusedSince += 1;
      return refusal;
    }
    use.concurrent += 1;
    use.peakConcurrent = Math.max(use.peakConcurrent, use.concurrent);
    return { admitted: true };
  }

  /** Notes that an admitted request ended. */
  finished(row: string): void {
    const use = this.rows.get(row);
    if (use !== undefined) use.concurrent = Math.max(0, use.concurrent - 1);
  }

  /** Charges tokens that a request used. */
  chargeTokens(row: string, tokens: number): void {
    const use = this.rows.get(row);
    if (use === undefined) return;
    use.tokens.charge(tokens);
    use.tokensSince += tokens;
  }

  /** What to ask the owners for now. */
  demands(nowMs: number): LimitDemand[] {
    const seconds = Math.max(0.05, (nowMs - this.lastDemandMs) / 1000);
    this.lastDemandMs = nowMs;
    const demands: LimitDemand[] = [];
    for (const [row, use] of this.rows) {
      if (use.concurrent === 0 && nowMs - use.usedAtMs > IDLE_AFTER_MS) {
        this.rows.delete(row);
        continue;
      }
      demands.push(...demandsOf(row, use, seconds));
    }
    return demands;
  }

  private firstLimitReached(
    use: RowUse,
    allowed: (kind: LimitKind) => number,
    nowMs: number,
  ): LimitAnswer | undefined {
    // One request at a time passes even where the share is a fraction of one.
    if (use.concurrent >= Math.max(1, Math.floor(allowed('concurrentRequests')))) {
      return refusedBy('concurrentRequests', CONCURRENCY_RETRY_MS);
    }
    const tokenRate = allowed('tokensPerSecond');
    if (!use.tokens.isPositive(tokenRate, nowMs)) {
      return refusedBy('tokensPerSecond', use.tokens.waitMs(1, tokenRate));
    }
    const requestRate = allowed('requestsPerSecond');
    if (!use.requests.take(1, requestRate, nowMs)) {
      return refusedBy('requestsPerSecond', use.requests.waitMs(1, requestRate));
    }
    return undefined;
  }

  private useOf(row: string, nowMs: number): RowUse {
    const known = this.rows.get(row);
    if (known !== undefined) {
      known.usedAtMs = nowMs;
      return known;
    }
    const fresh: RowUse = {
      requests: new RateBucket(),
      tokens: new RateBucket(),
      concurrent: 0,
      requestRate: 0,
      tokenRate: 0,
      peakConcurrent: 0,
      arrivedSince: 0,
      tokensSince: 0,
      refusedSince: 0,
      usedAtMs: nowMs,
    };
    this.rows.set(row, fresh);
    return fresh;
  }
}

function refusedBy(limit: LimitKind, retryAfterMs: number): LimitAnswer {
  return { admitted: false, limit, retryAfterMs: Math.max(50, Math.ceil(retryAfterMs)) };
}

function demandsOf(row: string, use: RowUse, seconds: number): LimitDemand[] {
  use.requestRate += RATE_SMOOTHING * (use.arrivedSince / seconds - use.requestRate);
  use.tokenRate += RATE_SMOOTHING * (use.tokensSince / seconds - use.tokenRate);
  const wantedConcurrent = use.peakConcurrent + use.refusedSince + 1;
  use.arrivedSince = 0;
  use.tokensSince = 0;
  use.refusedSince = 0;
  use.peakConcurrent = use.concurrent;
  return [
    { row, kind: 'requestsPerSecond', demand: 1 + DEMAND_HEADROOM * use.requestRate },
    { row, kind: 'concurrentRequests', demand: DEMAND_HEADROOM * wantedConcurrent },
    { row, kind: 'tokensPerSecond', demand: 100 + DEMAND_HEADROOM * use.tokenRate },
  ];
}
