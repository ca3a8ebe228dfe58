/**
 * Counters and latency histograms of one entry, in the usual text exposition.
 */
import { LatencyHistogram } from '@shedline/metrics';
import type { ForwardEnd } from '@shedline/forwarding';

const QUANTILES = [50, 95, 99] as const;

/** What an entry counts. */
export class GatewayMetrics {
  private readonly ends = new Map<string, number>();
  private readonly latencies = new Map<string, LatencyHistogram>();
  private readonly gauges = new Map<string, () => number>();

  /** Adds a value that is read when the metrics are. */
  gauge(name: string, read: () => number): void {
    this.gauges.set(name, read);
  }

  /** Notes the end of a request. */
  ended(route: string, end: ForwardEnd, tookMs: number): void {
    const key = `route="${route}",outcome="${end}"`;
    this.ends.set(key, (this.ends.get(key) ?? 0) + 1);
    const histogram = this.latencies.get(route) ?? new LatencyHistogram();
    this.latencies.set(route, histogram);
    histogram.record(tookMs);
  }

  /** The text exposition. */
  text(): string {
    const lines = ['# TYPE shedline_requests_total counter'];
    for (const [labels, count] of this.ends) {
      lines.push(`shedline_requests_total{${labels}} ${count}`);
    }
    lines.push('# TYPE shedline_request_milliseconds summary');
    for (const [route, histogram] of this.latencies) {
      for (const quantile of QUANTILES) {
        const labels = `route="${route}",quantile="${quantile / 100}"`;
        const value = histogram.percentileMs(quantile);
        lines.push(`shedline_request_milliseconds{${labels}} ${value}`);
      }
      lines.push(`shedline_request_milliseconds_count{route="${route}"} ${histogram.count}`);
    }
    for (const [name, read] of this.gauges) {
      lines.push(`# TYPE ${name} gauge`, `${name} ${read()}`);
    }
    return `${lines.join('\n')}\n`;
  }
}
