/**
 * Burn rates: how fast each service spends its error budget. The budget allows 5 in 100 events to
 * miss their target. A burn rate of 1 spends exactly the budget, a rate of 2 twice the budget.
 */

/** Service-level targets. */
export type BurnTarget = 'firstToken' | 'betweenTokens' | 'batchDue';

/** Time windows of the report. */
export const BURN_WINDOWS = [
  { name: '5m', lengthMs: 300_000 },
  { name: '1h', lengthMs: 3_600_000 },
  { name: '6h', lengthMs: 21_600_000 },
] as const;

/** Share of events that may miss their target. */
export const ERROR_BUDGET_SHARE = 0.05;
const BUCKET_MS = 10_000;
const MAX_BUCKETS = 21_600_000 / BUCKET_MS;

/** Events in one time bucket; `ageMs` is the time since the start of the bucket. */
export interface BurnBucket {
  readonly ageMs: number;
  readonly good: number;
  readonly bad: number;
}

/** Event counts of one target of one service. */
export interface BurnSeries {
  readonly service: string;
  readonly target: BurnTarget;
  readonly buckets: readonly BurnBucket[];
}

/** Burn rate of one target of one service over one window. */
export interface BurnRow {
  readonly service: string;
  readonly target: BurnTarget;
  readonly window: string;
  readonly events: number;
  readonly missed: number;
  /** Zero if there were no events. */
  readonly burn: number;
}

interface Bucket {
  readonly startMs: number;
  good: number;
  bad: number;
}

/** Counts events that met or missed their targets. */
export class BurnRecorder {
  private readonly series = new Map<string, Map<BurnTarget, Bucket[]>>();

  /** Adds `count` events to the bucket of `nowMs`. */
  record(service: string, target: BurnTarget, met: boolean, nowMs: number, count = 1): void {
    const buckets = this.bucketsOf(service, target);
    const startMs = Math.floor(nowMs / BUCKET_MS) * BUCKET_MS;
    let bucket = buckets.at(-1);
    if (bucket?.startMs !== startMs) {
      bucket = { startMs, good: 0, bad: 0 };
      buckets.push(bucket);
      if (buckets.length > MAX_BUCKETS) buckets.shift();
    }
    if (met) bucket.good += count;
    else bucket.bad += count;
  }

  /**
   * Returns the counts. Buckets have ages instead of times, so that they can be added to those of
   * entries with other clocks.
   */
  export(nowMs: number): BurnSeries[] {
    return [...this.series].flatMap(([service, targets]) =>
      [...targets].map(([target, buckets]) => ({
        service,
        target,
        buckets: buckets.map(({ startMs, good, bad }) => ({ ageMs: nowMs - startMs, good, bad })),
      })),
    );
  }

  private bucketsOf(service: string, target: BurnTarget): Bucket[] {
    let targets = this.series.get(service);
    if (targets === undefined) {
      targets = new Map();
      this.series.set(service, targets);
    }
    let buckets = targets.get(target);
    if (buckets === undefined) {
      buckets = [];
      targets.set(target, buckets);
    }
    return buckets;
  }
}

/** Adds up the counts of several entries and computes the burn rates. */
export function burnReport(allSeries: readonly BurnSeries[]): BurnRow[] {
  const rows = new Map<string, { events: number; missed: number }>();
  for (const { service, target, buckets } of allSeries) {
    for (const { name, lengthMs } of BURN_WINDOWS) {
      const key = JSON.stringify([service, target, name]);
      const row = rows.get(key) ?? { events: 0, missed: 0 };
      rows.set(key, row);
      for (const bucket of buckets) {
        if (bucket.ageMs >= lengthMs) continue;
        row.events += bucket.good + bucket.bad;
        row.missed += bucket.bad;
      }
    }
  }
  return [...rows].map(([key, { events, missed }]) => {
    const [service, target, window] = JSON.parse(key) as [string, BurnTarget, string];
    const burn = events === 0 ? 0 : missed / events / ERROR_BUDGET_SHARE;
    return { service, target, window, events, missed, burn };
  });
}
