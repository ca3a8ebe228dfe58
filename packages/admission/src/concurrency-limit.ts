/**
 * Learns how many requests an endpoint can run while its first tokens stay in time.
 */

/** Options of {@link ConcurrencyLimit}. */
export interface ConcurrencyLimitOptions {
  readonly targetMs: number;
  readonly initial: number;
  readonly max: number;
  readonly min?: number;
}

/** First-token latency, as a share of the target, up to which the limit may grow. */
const COMFORT_SHARE = 0.6;
/** Share above which the limit shrinks. */
const STRAIN_SHARE = 0.9;
const DECREASE = 0.85;
const WINDOW_SAMPLES = 12;

/** Additive growth, multiplicative decrease, once for each window of samples. */
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

  /** Requests that the endpoint may run at once. */
  get value(): number {
    return this.limit;
  }

  /** Takes the first-token latency of a request and the load that it met. */
  sample(latencyMs: number, load: number): void {
    this.samples.push(latencyMs);
    this.peakLoad = Math.max(this.peakLoad, load);
    if (this.samples.length < WINDOW_SAMPLES) return;
    const sorted = this.samples.sort((a, b) => a - b);
    // The second largest of twelve stands for the 90th percentile.
    const high = sorted[sorted.length - 2] ?? 0;
    this.adjust(high);
    this.samples = [];
    this.peakLoad = 0;
  }

  private adjust(highMs: number): void {
    if (highMs > this.targetMs * STRAIN_SHARE) {
      this.limit = Math.max(this.min, this.limit * DECREASE);
      return;
    }
    // Without load near the limit a good latency says nothing about a higher one.
    const tested = this.peakLoad >= this.limit * COMFORT_SHARE;
    if (tested && highMs < this.targetMs * COMFORT_SHARE) {
      this.limit = Math.min(this.max, this.limit + 1);
    }
  }
}
