/**
 * Latency histograms by service and work class.
 */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

/** Kind of latency: to the first token, between two tokens, or to the end of the response. */
export type LatencyKind = 'firstToken' | 'betweenTokens' | 'wholeAnswer';
/** Class of a request. */
export type WorkClass = 'online' | 'batch';

/** Percentiles of one histogram. */
export interface LatencySummary {
  readonly service: string;
  readonly workClass: WorkClass;
  readonly kind: LatencyKind;
  readonly count: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

const MICROSECONDS_PER_MS = 1000;
const MAX_TRACKED_MS = 600_000;

/** A histogram with a resolution of microseconds; its interface uses milliseconds. */
export class LatencyHistogram {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_TRACKED_MS * MICROSECONDS_PER_MS,
    numberOfSignificantValueDigits: 2,
  });

  /** Records a value, limited to the range of the histogram. */
  record(valueMs: number): void {
    const clipped = Math.min(Math.max(valueMs, 0), MAX_TRACKED_MS);
    this.histogram.recordValue(Math.round(clipped * MICROSECONDS_PER_MS));
  }

  /** Number of recorded values. */
  get count(): number {
    return this.histogram.totalCount;
  }

  /** Returns a percentile, such as 99, in milliseconds. */
  percentileMs(percentile: number): number {
    return this.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  }

  /** Largest recorded value. */
  get maxMs(): number {
    return this.histogram.maxValue / MICROSECONDS_PER_MS;
  }
}

interface LabelledHistogram {
  readonly service: string;
  readonly workClass: WorkClass;
  readonly kind: LatencyKind;
  readonly histogram: LatencyHistogram;
}

/** Histograms by service, class and kind. */
export class LatencyRecorder {
  private readonly services = new Map<string, Map<string, LabelledHistogram>>();

  record(service: string, workClass: WorkClass, kind: LatencyKind, valueMs: number): void {
    this.histogram(service, workClass, kind).record(valueMs);
  }

  /** Returns a histogram; frequent callers keep it to avoid the lookup. */
  histogram(service: string, workClass: WorkClass, kind: LatencyKind): LatencyHistogram {
    let byLabel = this.services.get(service);
    if (byLabel === undefined) {
      byLabel = new Map();
      this.services.set(service, byLabel);
    }
    const label = `${workClass} ${kind}`;
    const known = byLabel.get(label);
    if (known !== undefined) return known.histogram;
    const histogram = new LatencyHistogram();
    byLabel.set(label, { service, workClass, kind, histogram });
    return histogram;
  }

  /** Returns the summaries of all histograms. */
  summaries(): LatencySummary[] {
    const all = [...this.services.values()].flatMap((byLabel) => [...byLabel.values()]);
    return all.map(({ service, workClass, kind, histogram }) => ({
      service,
      workClass,
      kind,
      count: histogram.count,
      p50Ms: histogram.percentileMs(50),
      p95Ms: histogram.percentileMs(95),
      p99Ms: histogram.percentileMs(99),
      maxMs: histogram.maxMs,
    }));
  }
}
