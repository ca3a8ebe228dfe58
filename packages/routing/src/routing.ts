/**
 * Choice of an endpoint for one request.
 */

/** An endpoint that may take the request. */
export interface Candidate {
  readonly endpointId: string;
  readonly availabilityZone: string;
  /** Requests under way there, as estimated now. */
  readonly load: number;
  readonly capacity: number;
  /** Share of its full load that it may take, below one for a newcomer. */
  readonly slowStartShare: number;
}

/** What the choice depends on. */
export interface RouteRequest {
  readonly candidates: readonly Candidate[];
  /** Blocks of the prompt that each endpoint probably holds. */
  readonly heldBlocks: ReadonlyMap<string, number>;
  readonly promptBlocks: number;
  /** Endpoint of the session's last turn. */
  readonly sessionEndpointId?: string;
  readonly availabilityZone: string;
}

/** A way to choose. */
export interface RoutingStrategy {
  choose(request: RouteRequest): Candidate | undefined;
}

/** Options of {@link CostRouting}. */
export interface CostRoutingOptions {
  /** Time to prefill one block that is not cached. */
  readonly prefillBlockMs?: number;
  /** Time that one running request adds to the first token of another. */
  readonly loadMs?: number;
  /** Time for a way to another availability zone and back. */
  readonly crossZoneMs?: number;
  /** Costs that differ by less are equal, and chance decides: entries do not herd. */
  readonly equalWithinMs?: number;
  readonly random: () => number;
}

/** Load above its capacity makes an endpoint this much dearer. */
const OVERLOAD_FACTOR = 4;
/** What a session's own endpoint saves beyond the blocks that are known to be cached. */
const SESSION_BONUS_BLOCKS = 0.5;

/**
 * Chooses the endpoint with the least expected time to the first token: the prefill of what
 * is not cached there, the work that is under way there, and the way to it.
 */
export class CostRouting implements RoutingStrategy {
  private readonly prefillBlockMs: number;
  private readonly loadMs: number;
  private readonly crossZoneMs: number;
  private readonly equalWithinMs: number;
  private readonly random: () => number;

  constructor(options: CostRoutingOptions) {
    this.prefillBlockMs = options.prefillBlockMs ?? 2;
    this.loadMs = options.loadMs ?? 1;
    this.crossZoneMs = options.crossZoneMs ?? 2;
    this.equalWithinMs = options.equalWithinMs ?? 0.5;
    this.random = options.random;
  }

  choose(request: RouteRequest): Candidate | undefined {
    let best: Candidate[] = [];
    let bestCostMs = Infinity;
    for (const candidate of request.candidates) {
      const costMs = this.costMs(request, candidate);
      if (costMs < bestCostMs - this.equalWithinMs) best = [];
      if (costMs < bestCostMs + this.equalWithinMs) best.push(candidate);
      bestCostMs = Math.min(bestCostMs, costMs);
    }
    return best[Math.floor(this.random() * best.length)];
  }

  private costMs(request: RouteRequest, candidate: Candidate): number {
    const { endpointId, load, capacity, slowStartShare } = candidate;
    const held = request.heldBlocks.get(endpointId) ?? 0;
    const bonus = endpointId === request.sessionEndpointId ? SESSION_BONUS_BLOCKS : 0;
    const missing = Math.max(0, request.promptBlocks - held) - bonus;
    const effectiveCapacity = Math.max(1, capacity * slowStartShare);
    const over = Math.max(0, load + 1 - effectiveCapacity);
    const zoneMs = candidate.availabilityZone === request.availabilityZone ? 0 : this.crossZoneMs;
    const loadMs = this.loadMs * (load / slowStartShare + OVERLOAD_FACTOR * over);
    return this.prefillBlockMs * missing + loadMs + zoneMs;
  }
}
