/**
 * Adaptive limit on the requests that an endpoint runs at once, so that the latency of first
 * tokens stays below its target.
 */

/** Options of {@link ConcurrencyLimit}. */
export interface ConcurrencyLimitOptions {
  /** Target for the first-token latency. */
  readonly targetMs: number;
  readonly initial: number;
  readonly max: number;
  readonly min?: number;
}

/** First-token latency, as a share of the target, up to which the limit may grow. */
const GROW_BELOW_SHARE = 0.6;
/** First-token latency, as a share of the target, above which the limit shrinks. */
const SHRINK_ABOVE_SHARE = 0.9;
const DECREASE_FACTOR = 0.85;
const WINDOW_SAMPLES = 12;

/** Concurrency limit with additive increase and multiplicative decrease, once per sample window. */
export class ConcurrencyLimit {
  private readonly targetMs: number;
  private readonly min: number;
  private readonly max: number;
  private limit: number;
  private samples: number[] = [];
  private peakLoad = 0;

  constructor(options: ConcurrencyLimitOptions) {
    this.targetMs = options.targetMs;
    this.min = options.min ?? 1;
    this.max = options.max;
    this.limit = Math.min(options.max, options.initial);
  }

  /** Number of requests that the endpoint may run at once. */
  get value(): number {
    return this.limit;
  }

  /** Adds the first-token latency of a request, and the load of the endpoint when it was sent. */
  addSample(latencyMs: number, load: number): void {
    this.samples.push(latencyMs);
    this.peakLoad = Math.max(this.peakLoad, load);
    if (this.samples.length < WINDOW_SAMPLES) return;
    const sorted = this.samples.sort((a, b) => a - b);
    // The second largest of twelve samples approximates the 90th percentile.
    const highLatencyMs = sorted[sorted.length - 2] ?? 0;
    this.adjust(highLatencyMs);
    this.samples = [];
    this.peakLoad = 0;
  }

  private adjust(highLatencyMs: number): void {
    if (highLatencyMs > this.targetMs * SHRINK_ABOVE_SHARE) {
      this.limit = Math.max(this.min, this.limit * DECREASE_FACTOR);
      return;
    }
    // A low latency justifies a higher limit only if the load came near the present limit.
    const isLimitTested = this.peakLoad >= this.limit * GROW_BELOW_SHARE;
    if (isLimitTested && highLatencyMs < this.targetMs * GROW_BELOW_SHARE) {
      this.limit = Math.min(this.max, this.limit + 1);
    }
  }
}
