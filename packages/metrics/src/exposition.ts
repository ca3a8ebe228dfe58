/**
 * Metrics of an entry in the Prometheus text format.
 */
import { Counter, Gauge, Registry, collectDefaultMetrics } from 'prom-client';
import type { LatencyRecorder, WorkClass } from './latency.js';

/** Outcomes of requests. */
export type RequestOutcome = 'completed' | 'refused' | 'failed' | 'cancelled';

/** Counters and gauges of one entry. */
export class EntryMetrics {
  private readonly registry = new Registry();
  private readonly requests: Counter;
  private readonly tokens: Counter;
  private readonly latency: Gauge;
  private readonly openRequests: Gauge;
  private readonly latencies: LatencyRecorder;

  constructor(latencies: LatencyRecorder) {
    this.latencies = latencies;
    const registers = [this.registry];
    collectDefaultMetrics({ register: this.registry });
    this.requests = new Counter({
      name: 'shedline_requests_total',
      help: 'Requests by service, class and outcome',
      labelNames: ['service', 'class', 'outcome'],
      registers,
    });
    this.tokens = new Counter({
      name: 'shedline_tokens_total',
      help: 'Generated tokens by service and class',
      labelNames: ['service', 'class'],
      registers,
    });
    this.latency = new Gauge({
      name: 'shedline_latency_milliseconds',
      help: 'Latency percentiles since the start',
      labelNames: ['service', 'class', 'kind', 'quantile'],
      registers,
    });
    this.openRequests = new Gauge({
      name: 'shedline_open_requests',
      help: 'Requests under way by class',
      labelNames: ['class'],
      registers,
    });
  }

  /** Counts a request that has ended. */
  recordRequestEnd(service: string, workClass: WorkClass, outcome: RequestOutcome): void {
    this.requests.inc({ service, class: workClass, outcome });
  }

  /** Adds to the number of generated tokens. */
  recordTokens(service: string, workClass: WorkClass, tokens: number): void {
    this.tokens.inc({ service, class: workClass }, tokens);
  }

  /** Sets the number of requests in progress. */
  setOpenRequests(workClass: WorkClass, count: number): void {
    this.openRequests.set({ class: workClass }, count);
  }

  /** Returns all metrics in the text format. */
  async text(): Promise<string> {
    for (const summary of this.latencies.summaries()) {
      const labels = { service: summary.service, class: summary.workClass, kind: summary.kind };
      this.latency.set({ ...labels, quantile: '0.5' }, summary.p50Ms);
      this.latency.set({ ...labels, quantile: '0.95' }, summary.p95Ms);
      this.latency.set({ ...labels, quantile: '0.99' }, summary.p99Ms);
    }
    return this.registry.metrics();
  }
}
