/**
 * Counters, latency summaries and gauges of one process, in the Prometheus text format.
 */
import { LatencyHistogram } from './latency.js';

const QUANTILES = [50, 95, 99] as const;

/** Label values by label name. */
export type MetricLabels = Readonly<Record<string, string | number>>;

/** Metrics of one process. */
export class ProcessMetrics {
  private readonly counters = new Map<string, Map<string, number>>();
  private readonly latencies = new Map<string, Map<string, LatencyHistogram>>();
  private readonly gauges = new Map<string, () => number>();

  /** Adds a gauge whose value is read when the metrics are exported. */
  gauge(name: string, read: () => number): void {
    this.gauges.set(name, read);
  }

  /** Counts one event. */
  count(name: string, labels: MetricLabels): void {
    const series = seriesOf(this.counters, name);
    const key = labelText(labels);
    series.set(key, (series.get(key) ?? 0) + 1);
  }

  /** Records a duration. */
  recordDuration(name: string, labels: MetricLabels, durationMs: number): void {
    const series = seriesOf(this.latencies, name);
    const key = labelText(labels);
    const histogram = series.get(key) ?? new LatencyHistogram();
    series.set(key, histogram);
    histogram.record(durationMs);
  }

  /** Returns all metrics in the text format. */
  text(): string {
    const lines: string[] = [];
    for (const [name, series] of this.counters) {
      lines.push(`# TYPE ${name} counter`);
      for (const [labels, count] of series) lines.push(`${name}{${labels}} ${count}`);
    }
    for (const [name, series] of this.latencies) {
      lines.push(`# TYPE ${name} summary`);
      for (const [labels, histogram] of series)
        lines.push(...summaryLines(name, labels, histogram));
    }
    for (const [name, read] of this.gauges) lines.push(`# TYPE ${name} gauge`, `${name} ${read()}`);
    return `${lines.join('\n')}\n`;
  }
}

function seriesOf<T>(all: Map<string, Map<string, T>>, name: string): Map<string, T> {
  const known = all.get(name);
  if (known !== undefined) return known;
  const created = new Map<string, T>();
  all.set(name, created);
  return created;
}

function labelText(labels: MetricLabels): string {
  return Object.entries(labels)
    .map(([name, value]) => `${name}="${value}"`)
    .join(',');
}

function summaryLines(name: string, labels: string, histogram: LatencyHistogram): string[] {
  const lines = QUANTILES.map((quantile) => {
    const value = histogram.percentileMs(quantile);
    return `${name}{${labels},quantile="${quantile / 100}"} ${value}`;
  });
  return [...lines, `${name}_count{${labels}} ${histogram.count}`];
}
