/**
 * How many batch requests an endpoint may run beside its online work.
 */

/** Options of {@link BatchHeadroom}. */
export interface BatchHeadroomOptions {
  /** 0 guards online latency most, 1 favours batch throughput most. */
  readonly dial: number;
  /** Time without online work after which batch takes everything again. */
  readonly calmMs?: number;
  /** Time between two steps of growth beside online work. */
  readonly growthMs?: number;
}

/** What the allowance depends on. */
export interface HeadroomInput {
  /** Online requests under way at the endpoint. */
  readonly online: number;
  /** Requests that the endpoint runs well at once. */
  readonly capacity: number;
  /** Least and largest share of the capacity for batch, from the table. */
  readonly floorShare: number;
  readonly ceilingShare: number;
}

const DEFAULT_CALM_MS = 150;
const DEFAULT_GROWTH_MS = 50;

/** Batch requests allowed on one endpoint: down at once, up in steps. */
export class BatchHeadroom {
  private readonly dial: number;
  private readonly calmMs: number;
  private readonly growthMs: number;
  private allowed = 0;
  private lastOnlineMs = -Infinity;
  private lastGrowthMs = -Infinity;

  constructor(options: BatchHeadroomOptions) {
    this.dial = options.dial;
    this.calmMs = options.calmMs ?? DEFAULT_CALM_MS;
    this.growthMs = options.growthMs ?? DEFAULT_GROWTH_MS;
  }

  /** Batch requests allowed now. */
  allowance(input: HeadroomInput, nowMs: number): number {
    const target = this.target(input, nowMs);
    if (target <= this.allowed) {
      this.allowed = target;
      return this.allowed;
    }
    if (nowMs - this.lastGrowthMs < this.growthMs) return this.allowed;
    this.lastGrowthMs = nowMs;
    // Doubling fills an idle endpoint within a few steps, well inside a second.
    this.allowed = Math.min(target, Math.max(4, this.allowed * 2));
    return this.allowed;
  }

  private target(input: HeadroomInput, nowMs: number): number {
    const { online, capacity, floorShare, ceilingShare } = input;
    if (online > 0) this.lastOnlineMs = nowMs;
    const floor = Math.floor(floorShare * capacity);
    const ceiling = Math.floor(ceilingShare * capacity);
    const calm = nowMs - this.lastOnlineMs >= this.calmMs;
    if (calm) return ceiling;
    const spare = Math.max(0, capacity - online);
    const beside = Math.floor(this.dial * ceilingShare * spare * (spare / Math.max(1, capacity)));
    return Math.max(floor, Math.min(ceiling, beside));
  }
}
