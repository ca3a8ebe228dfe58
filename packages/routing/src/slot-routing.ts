/**
 * Choice of an endpoint that runs a fixed number of requests at once and knows no ranks: a free
 * slot first, then one that batch work will give up, then the shortest queue. Among free slots the
 * load, the availability zone and where a long shared prompt part is kept are weighed.
 */

import type { ChoiceTerms } from '@shedline/types';
import { promptCosts } from './prompt-homes.js';

/** An endpoint that may take the request. */
export interface SlotCandidate {
  readonly endpointId: string;
  readonly availabilityZone: string;
  /** Online requests under way there, as estimated now. */
  readonly online: number;
  /** Batch requests under way there; they yield. */
  readonly batch: number;
  /** Requests that run at once. */
  readonly slots: number;
}

/** Options of {@link SlotRouting}. */
export interface SlotRoutingOptions {
  readonly random: () => number;
  /** Online requests beyond its slots that an endpoint may be given. */
  readonly maxQueued?: number;
  /** What another availability zone costs, as a share of the slots of an endpoint. */
  readonly crossZoneShare?: number;
}

/** A queue of two drains in a fraction of the usual target for the first event. */
const DEFAULT_MAX_QUEUED = 2;
/**
 * An endpoint is as fast with most of its slots taken as with few, and bytes between zones are
 * paid for: requests leave their zone only where its endpoints are fuller by three slots of eight.
 */
const DEFAULT_CROSS_ZONE_SHARE = 0.4;
/** Added where batch work has to yield first; more than any share of used slots. */
const YIELD_COST = 10;
/** Added where the request has to queue. */
const QUEUE_COST = 20;

/** Chooses by slots. */
export class SlotRouting {
  private readonly random: () => number;
  private readonly maxQueued: number;
  private readonly crossZoneShare: number;

  constructor(options: SlotRoutingOptions) {
    this.random = options.random;
    this.maxQueued = options.maxQueued ?? DEFAULT_MAX_QUEUED;
    this.crossZoneShare = options.crossZoneShare ?? DEFAULT_CROSS_ZONE_SHARE;
  }

  /** The best endpoint; undefined where every queue is full, or no slot is free and it may not queue. */
  choose(
    candidates: readonly SlotCandidate[],
    availabilityZone: string,
    { mayQueue = true, prompt }: ChoiceTerms = {},
  ): SlotCandidate | undefined {
    const maxQueued = mayQueue ? this.maxQueued : 0;
    const endpointIds = candidates.map(({ endpointId }) => endpointId);
    const reading = promptCosts(prompt, endpointIds);
    let best: SlotCandidate[] = [];
    let bestCost = Infinity;
    for (const candidate of candidates) {
      if (candidate.online >= candidate.slots + maxQueued) continue;
      const zone = candidate.availabilityZone === availabilityZone ? 0 : this.crossZoneShare;
      const cost = costOf(candidate) + zone + reading.of(candidate.endpointId);
      if (cost < bestCost) best = [];
      if (cost <= bestCost) best.push(candidate);
      bestCost = Math.min(bestCost, cost);
    }
    return best[Math.floor(this.random() * best.length)];
  }
}

function costOf({ online, batch, slots }: SlotCandidate): number {
  const size = Math.max(1, slots);
  if (online + batch < size) return (online + batch) / size;
  if (online < size) return YIELD_COST + online / size;
  return QUEUE_COST + (online - size);
}
