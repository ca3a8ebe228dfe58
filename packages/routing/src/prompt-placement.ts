/**
 * Placement of shared prompt prefixes. Entries agree without communication on the preferred
 * endpoints of a prefix by rendezvous hashing: the first endpoint caches the prefix with the first
 * request, and the second takes the requests that the first has no free slots for. This
 * matters for prefixes whose prefill takes as long as callers wait: 13,300 tokens take 260 ms. With
 * routing by load alone, 1.67 of 2.90 million prefilled tokens belonged to prefixes that some
 * endpoint already held, and half of the requests with such prefixes missed their target
 * (29 instances, 16 endpoints).
 */
import { fastHash } from '@shedline/types';
import type { SharedPrompt } from '@shedline/types';

/** Tokens that an engine prefills in a millisecond; the engines in use reach 51 to 65. */
const TOKENS_PER_MS = 50;
/**
 * Prefill time below which the placement of a prefix is ignored. It is less than the variation
 * caused by the load of an endpoint, and small against the usual target of 300 ms.
 */
const MIN_PREFILL_MS = 20;
/**
 * Prefill time that costs as much as the difference between a full and an idle endpoint. It is
 * twice the usual time to the first event, so that prefixes of over 5,000 tokens outweigh any load.
 */
const FULL_LOAD_PREFILL_MS = 100;
/** Share of the cost at the second endpoint: a copy there serves later requests too. */
const SECOND_ENDPOINT_COST_SHARE = 0.5;
/** Maximum cost; less than the cost of queueing or of stopping a batch item. */
const MAX_PREFILL_COST = 5;

/** Prefill costs of one request, on the cost scale of {@link SlotRouting}. */
export interface PromptCosts {
  /** Returns the cost at an endpoint. */
  of(endpointId: string): number;
}

const NO_COSTS: PromptCosts = { of: () => 0 };

/** Returns the cost at each of these endpoints of prefilling a prefix that it may not hold. */
export function promptCosts(
  prompt: SharedPrompt | undefined,
  endpointIds: readonly string[],
): PromptCosts {
  const prefillMs = (prompt?.tokens ?? 0) / TOKENS_PER_MS;
  if (prompt === undefined || prefillMs < MIN_PREFILL_MS) return NO_COSTS;
  const keyHash = fastHash(prompt.key);
  let first: ScoredEndpoint | undefined;
  let second: ScoredEndpoint | undefined;
  for (const endpointId of endpointIds) {
    const scored = { endpointId, score: scoreOf(keyHash, endpointId) };
    if (first === undefined || scored.score > first.score) [first, second] = [scored, first];
    else if (second === undefined || scored.score > second.score) second = scored;
  }
  const missCost = Math.min(MAX_PREFILL_COST, prefillMs / FULL_LOAD_PREFILL_MS);
  return {
    of: (endpointId) => {
      if (endpointId === first?.endpointId) return 0;
      return endpointId === second?.endpointId ? missCost * SECOND_ENDPOINT_COST_SHARE : missCost;
    },
  };
}

interface ScoredEndpoint {
  readonly endpointId: string;
  readonly score: number;
}

/** Returns a rendezvous score; the final mixing steps spread similar hashes. */
function scoreOf(keyHash: number, endpointId: string): number {
  let score = fastHash(endpointId, keyHash);
  score = Math.imul(score ^ (score >>> 16), 0x85ebca6b);
  score = Math.imul(score ^ (score >>> 13), 0xc2b2ae35);
  return (score ^ (score >>> 16)) >>> 0;
}
