/**
 * Choice of an endpoint for a request by the expected time to its first token.
 */

/** An endpoint that may take the request. */
export interface Candidate {
  readonly endpointId: string;
  readonly availabilityZone: string;
  /** Estimated number of requests in progress there. */
  readonly load: number;
  readonly capacity: number;
  /** Share of its full load that it may take; below one during the slow start of a new endpoint. */
  readonly slowStartShare: number;
}

/** Input of {@link RoutingStrategy.choose}. */
export interface RouteRequest {
  readonly candidates: readonly Candidate[];
  /** Number of prompt blocks that each endpoint probably holds in its prefix cache. */
  readonly heldBlocks: ReadonlyMap<string, number>;
  readonly promptBlocks: number;
  /** Endpoint of the session's last request. */
  readonly sessionEndpointId?: string;
  readonly availabilityZone: string;
}

/** Strategy that chooses an endpoint. */
export interface RoutingStrategy {
  /** Returns the chosen candidate; undefined without candidates. */
  choose(request: RouteRequest): Candidate | undefined;
}

/** Options of {@link CostRouting}. */
export interface CostRoutingOptions {
  /** Time to prefill one block that is not cached. */
  readonly prefillBlockMs?: number;
  /** Time that a running request adds to the first token of another. */
  readonly loadMs?: number;
  /** Round-trip time to another availability zone. */
  readonly crossZoneMs?: number;
  /** Costs that differ by less count as equal; a random choice then prevents herding of entries. */
  readonly equalWithinMs?: number;
  readonly random: () => number;
}

/** Cost factor of the load above the capacity of an endpoint. */
const OVERLOAD_FACTOR = 4;
/** Blocks that the session's last endpoint is assumed to hold beyond those known to be cached. */
const SESSION_BONUS_BLOCKS = 0.5;

/**
 * Chooses the endpoint with the least expected time to the first token: the prefill of uncached
 * blocks, the delay by requests in progress, and the network round trip.
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
    const missingBlocks = Math.max(0, request.promptBlocks - held) - bonus;
    const effectiveCapacity = Math.max(1, capacity * slowStartShare);
    const excessLoad = Math.max(0, load + 1 - effectiveCapacity);
    const zoneMs = candidate.availabilityZone === request.availabilityZone ? 0 : this.crossZoneMs;
    const loadMs = this.loadMs * (load / slowStartShare + OVERLOAD_FACTOR * excessLoad);
    return this.prefillBlockMs * missingBlocks + loadMs + zoneMs;
  }
}
