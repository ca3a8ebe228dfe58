/**
 * Choice of an endpoint that runs a fixed number of requests at once without priorities: a free
 * slot first, then a slot that batch work yields, then the shortest queue. Among endpoints with
 * free slots, the cost combines the load, the availability zone and the placement of a long shared
 * prefix.
 */

import type { ChoiceOptions } from '@shedline/types';
import { promptCosts } from './prompt-placement.js';

/** An endpoint that may take the request. */
export interface SlotCandidate {
  readonly endpointId: string;
  readonly availabilityZone: string;
  /** Estimated number of online requests in progress there. */
  readonly online: number;
  /** Batch requests in progress there; they yield to online requests. */
  readonly batch: number;
  /** Number of requests that run at once. */
  readonly slots: number;
}

/** Options of {@link SlotRouting}. */
export interface SlotRoutingOptions {
  readonly random: () => number;
  /** Maximum number of online requests queued at an endpoint beyond its slots. */
  readonly maxQueued?: number;
  /** Cost of another availability zone, as a share of the slots of an endpoint. */
  readonly crossZoneShare?: number;
}

/** Two queued requests start within a fraction of the usual target for the first event. */
const DEFAULT_MAX_QUEUED = 2;
/**
 * An endpoint is as fast with most of its slots occupied as with few, and traffic between zones is
 * charged: requests leave their zone only if its endpoints have at least three of eight slots more
 * occupied.
 */
const DEFAULT_CROSS_ZONE_SHARE = 0.4;
/** Cost added if batch work has to yield first; more than any share of occupied slots. */
const YIELD_COST = 10;
/** Cost added if the request has to queue. */
const QUEUE_COST = 20;

/** Chooses endpoints by their occupied slots. */
export class SlotRouting {
  private readonly random: () => number;
  private readonly maxQueued: number;
  private readonly crossZoneShare: number;

  constructor(options: SlotRoutingOptions) {
    this.random = options.random;
    this.maxQueued = options.maxQueued ?? DEFAULT_MAX_QUEUED;
    this.crossZoneShare = options.crossZoneShare ?? DEFAULT_CROSS_ZONE_SHARE;
  }

  /** Returns the best endpoint; undefined if all are full, with their queues if `mayQueue`. */
  choose(
    candidates: readonly SlotCandidate[],
    availabilityZone: string,
    { mayQueue = true, prompt }: ChoiceOptions = {},
  ): SlotCandidate | undefined {
    const maxQueued = mayQueue ? this.maxQueued : 0;
    const endpointIds = candidates.map(({ endpointId }) => endpointId);
    const prefillCosts = promptCosts(prompt, endpointIds);
    let best: SlotCandidate[] = [];
    let bestCost = Infinity;
    for (const candidate of candidates) {
      if (candidate.online >= candidate.slots + maxQueued) continue;
      const zoneCost = candidate.availabilityZone === availabilityZone ? 0 : this.crossZoneShare;
      const cost = costOf(candidate) + zoneCost + prefillCosts.of(candidate.endpointId);
      if (cost < bestCost) best = [];
      if (cost <= bestCost) best.push(candidate);
      bestCost = Math.min(bestCost, cost);
    }
    return best[Math.floor(this.random() * best.length)];
  }
}

/** Returns the cost by occupied slots and queue length. */
function costOf({ online, batch, slots }: SlotCandidate): number {
  const size = Math.max(1, slots);
  if (online + batch < size) return (online + batch) / size;
  if (online < size) return YIELD_COST + online / size;
  return QUEUE_COST + (online - size);
}
