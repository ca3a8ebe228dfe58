/**
 * Number of batch requests that an endpoint may run beside its online requests.
 */

/** Options of {@link BatchHeadroom}. */
export interface BatchHeadroomOptions {
  /** From 0, which protects online latency most, to 1, which favours batch throughput most. */
  readonly dial: number;
  /** Time without online requests after which batch work may use the whole ceiling. */
  readonly onlineIdleMs?: number;
  /** Minimum time between two increases of the allowance. */
  readonly growthIntervalMs?: number;
}

/** Input of {@link BatchHeadroom.allowance}. */
export interface HeadroomInput {
  /** Online requests in progress at the endpoint. */
  readonly online: number;
  /** Requests that the endpoint can run at once within its latency targets. */
  readonly capacity: number;
  /** Minimum share of the capacity for batch work, from the table. */
  readonly floorShare: number;
  /** Maximum share of the capacity for batch work, from the table. */
  readonly ceilingShare: number;
}

const DEFAULT_ONLINE_IDLE_MS = 150;
const DEFAULT_GROWTH_INTERVAL_MS = 50;

/** Batch allowance of one endpoint: it decreases at once and increases in steps. */
export class BatchHeadroom {
  private readonly dial: number;
  private readonly onlineIdleMs: number;
  private readonly growthIntervalMs: number;
  private allowed = 0;
  private lastOnlineMs = -Infinity;
  private lastGrowthMs = -Infinity;

  constructor(options: BatchHeadroomOptions) {
    this.dial = options.dial;
    this.onlineIdleMs = options.onlineIdleMs ?? DEFAULT_ONLINE_IDLE_MS;
    this.growthIntervalMs = options.growthIntervalMs ?? DEFAULT_GROWTH_INTERVAL_MS;
  }

  /** Returns the number of batch requests allowed now. */
  allowance(input: HeadroomInput, nowMs: number): number {
    const target = this.target(input, nowMs);
    if (target <= this.allowed) {
      this.allowed = target;
      return this.allowed;
    }
    if (nowMs - this.lastGrowthMs < this.growthIntervalMs) return this.allowed;
    this.lastGrowthMs = nowMs;
    // Doubling fills an idle endpoint within a few steps, well below one second.
    this.allowed = Math.min(target, Math.max(4, this.allowed * 2));
    return this.allowed;
  }

  private target(input: HeadroomInput, nowMs: number): number {
    const { online, capacity, floorShare, ceilingShare } = input;
    if (online > 0) this.lastOnlineMs = nowMs;
    const floor = Math.floor(floorShare * capacity);
    const ceiling = Math.floor(ceilingShare * capacity);
    const isOnlineIdle = nowMs - this.lastOnlineMs >= this.onlineIdleMs;
    if (isOnlineIdle) return ceiling;
    const spare = Math.max(0, capacity - online);
    const besideOnline = Math.floor(
      this.dial * ceilingShare * spare * (spare / Math.max(1, capacity)),
    );
    return Math.max(floor, Math.min(ceiling, besideOnline));
  }
}
