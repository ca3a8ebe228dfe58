/**
 * Where the shared part of a prompt is kept. Entries agree on the endpoints of a part without a word, by a hash
 * of both: the first of the order has it after its first request, the second takes what the first has no room
 * for. It answers loads whose shared parts take as long to read as callers wait: 13,300 tokens take 260 ms. Sent to
 * endpoints by load alone, 1.67 of 2.90 million tokens read were parts that some endpoint kept already, and half of
 * the requests with such parts were late (29 instances, 16 endpoints, one run).
 */
import { fastHash } from '@shedline/types';
import type { SharedPrompt } from '@shedline/types';

/** Tokens that an engine reads in a millisecond; those in use read 51 to 65. */
const TOKENS_PER_MS = 50;
/**
 * Reading time below which it does not matter where a part is kept: less than what requests differ
 * by the load of their endpoint, and the usual target is 300 ms.
 */
const MATTERS_FROM_MS = 20;
/**
 * Reading time that is as bad as an endpoint with all slots taken in place of an idle one. Chosen, not measured:
 * twice the usual time to a first event, so that parts of over 5,000 tokens go before any load.
 */
const FULL_ENDPOINT_MS = 100;
/** Share of the reading time that the second home costs: a copy there serves later requests too. */
const SECOND_HOME_SHARE = 0.5;
/** No part is worth stopping an item or queueing for; less than the cost of either. */
const MAX_COST = 5;

/** Costs of endpoints for one request, as {@link SlotRouting} adds them up. */
export interface PromptCosts {
  of(endpointId: string): number;
}

const NO_COSTS: PromptCosts = { of: () => 0 };

/** What it costs at each of some endpoints that the part may not be kept there. */
export function promptCosts(
  prompt: SharedPrompt | undefined,
  endpointIds: readonly string[],
): PromptCosts {
  const readMs = (prompt?.tokens ?? 0) / TOKENS_PER_MS;
  if (prompt === undefined || readMs < MATTERS_FROM_MS) return NO_COSTS;
  const keyHash = fastHash(prompt.key);
  let first: ScoredEndpoint | undefined;
  let second: ScoredEndpoint | undefined;
  for (const endpointId of endpointIds) {
    const scored = { endpointId, score: scoreOf(keyHash, endpointId) };
    if (first === undefined || scored.score > first.score) [first, second] = [scored, first];
    else if (second === undefined || scored.score > second.score) second = scored;
  }
  const missCost = Math.min(MAX_COST, readMs / FULL_ENDPOINT_MS);
  return {
    of: (endpointId) => {
      if (endpointId === first?.endpointId) return 0;
      return endpointId === second?.endpointId ? missCost * SECOND_HOME_SHARE : missCost;
    },
  };
}

interface ScoredEndpoint {
  readonly endpointId: string;
  readonly score: number;
}

/** Rendezvous score; the last steps spread what the hash leaves close together. */
function scoreOf(keyHash: number, endpointId: string): number {
  let score = fastHash(endpointId, keyHash);
  score = Math.imul(score ^ (score >>> 16), 0x85ebca6b);
  score = Math.imul(score ^ (score >>> 13), 0xc2b2ae35);
  return (score ^ (score >>> 16)) >>> 0;
}
