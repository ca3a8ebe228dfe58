/**
 * Latency histograms by service and class of work.
 */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

/** What is measured. */
export type LatencyKind = 'firstToken' | 'betweenTokens' | 'wholeAnswer';
/** Class of the work. */
export type WorkClass = 'online' | 'batch';

/** Percentiles of one histogram. Milliseconds. */
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
const HIGHEST_MS = 600_000;

/** A histogram that keeps microseconds and answers milliseconds. */
export class LatencyHistogram {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MS * MICROSECONDS_PER_MS,
    numberOfSignificantValueDigits: 2,
  });

  /** Notes one value. */
  record(valueMs: number): void {
    const clipped = Math.min(Math.max(valueMs, 0), HIGHEST_MS);
    this.histogram.recordValue(Math.round(clipped * MICROSECONDS_PER_MS));
  }

  /** Values noted. */
  get count(): number {
    return this.histogram.totalCount;
  }

  /** A percentile, such as 99. */
  percentileMs(percentile: number): number {
    return this.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  }

  /** Largest value noted. */
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

  /** Notes one latency. */
  record(service: string, workClass: WorkClass, kind: LatencyKind, valueMs: number): void {
    this.histogram(service, workClass, kind).record(valueMs);
  }

  /** The histogram of a service, to be kept by whoever records often. */
  histogram(service: string, workClass: WorkClass, kind: LatencyKind): LatencyHistogram {
    let ofService = this.services.get(service);
    if (ofService === undefined) {
      ofService = new Map();
      this.services.set(service, ofService);
    }
    const label = `${workClass} ${kind}`;
    const known = ofService.get(label);
    if (known !== undefined) return known.histogram;
    const histogram = new LatencyHistogram();
    ofService.set(label, { service, workClass, kind, histogram });
    return histogram;
  }

  /** All histograms in short. */
  summaries(): LatencySummary[] {
    const all = [...this.services.values()].flatMap((ofService) => [...ofService.values()]);
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
