import test from 'ava';
import { describe, seededRandom, title } from '@shedline/test-utils';
import { promptCosts } from './prompt-placement.js';
import { SlotRouting } from './slot-routing.js';

const ENDPOINTS = Array.from({ length: 8 }, (_, number) => `endpoint-${number}`);
const SLOTS = 8;
const PREFIXES = 60;
const REQUESTS = 600;

/**
 * Routes requests with a known load of all endpoints; returns how often a prefix that some endpoint
 * holds is prefilled again at another one.
 */
function repeatedPrefills(tokens: number, usesPlacement: boolean): number {
  const random = seededRandom(3);
  const routing = new SlotRouting({ random });
  const cached = new Set<string>();
  let repeated = 0;
  let running: { readonly endpointId: string; readonly untilStep: number }[] = [];
  for (let step = 0; step < REQUESTS; step += 1) {
    running = running.filter(({ untilStep }) => untilStep > step);
    const key = `part-${Math.floor(random() ** 2 * PREFIXES)}`;
    const candidates = ENDPOINTS.map((endpointId, index) => ({
      endpointId,
      availabilityZone: `z${index % 2}`,
      online: running.filter((request) => request.endpointId === endpointId).length,
      batch: 0,
      slots: SLOTS,
    }));
    const prompt = usesPlacement ? { key, tokens } : undefined;
    const chosen = routing.choose(candidates, `z${step % 2}`, { prompt })?.endpointId ?? '';
    if (
      !cached.has(`${key}@${chosen}`) &&
      [...cached].some((entry) => entry.startsWith(`${key}@`))
    ) {
      repeated += 1;
    }
    cached.add(`${key}@${chosen}`);
    running.push({ endpointId: chosen, untilStep: step + 20 });
  }
  return repeated;
}

describe('placement of shared prompt prefixes', () => {
  test(title('placement reduces repeated prefills to at most a fifth'), (t) => {
    const byLoad = repeatedPrefills(13_000, false);
    const byPlacement = repeatedPrefills(13_000, true);
    t.log(`${byLoad} and ${byPlacement} of ${REQUESTS} requests`);
    t.true(byPlacement <= byLoad / 5);
  });

  test(title('short prefixes have no cost'), (t) => {
    const costs = promptCosts({ key: 'k', tokens: 200 }, ENDPOINTS);
    t.true(ENDPOINTS.every((endpointId) => costs.of(endpointId) === 0));
    t.is(promptCosts(undefined, ENDPOINTS).of('any'), 0);
  });

  test(
    title('entries with different subsets of the endpoints agree on the first endpoint'),
    (t) => {
      for (let number = 0; number < 50; number += 1) {
        const prompt = { key: `part-${number}`, tokens: 13_000 };
        const first = ENDPOINTS.find((id) => promptCosts(prompt, ENDPOINTS).of(id) === 0) ?? '';
        const subset = ENDPOINTS.filter(
          (id) => id === first || id.endsWith('1') || id.endsWith('5'),
        );
        t.is(promptCosts(prompt, subset).of(first), 0);
      }
    },
  );

  test(title('first endpoints are spread evenly'), (t) => {
    const prefixCounts = new Map<string, number>();
    for (let number = 0; number < 800; number += 1) {
      const costs = promptCosts({ key: `part-${number}`, tokens: 13_000 }, ENDPOINTS);
      const first = ENDPOINTS.find((id) => costs.of(id) === 0) ?? '';
      prefixCounts.set(first, (prefixCounts.get(first) ?? 0) + 1);
    }
    t.true(
      [...prefixCounts.values()].every((count) => count > 60 && count < 140),
      [...prefixCounts].join(' '),
    );
  });

  test(title('a prefix never outweighs queueing or stopping a batch item'), (t) => {
    const routing = new SlotRouting({ random: () => 0 });
    const prompt = { key: 'k', tokens: 1_000_000 };
    const costs = promptCosts(prompt, ENDPOINTS);
    const candidates = ENDPOINTS.map((endpointId) => {
      const isFirst = costs.of(endpointId) === 0;
      return {
        endpointId,
        availabilityZone: 'z',
        online: isFirst ? SLOTS : 1,
        batch: 0,
        slots: SLOTS,
      };
    });
    t.is(candidates.find(({ online }) => online === 1) === undefined, false);
    const chosen = routing.choose(candidates, 'z', { prompt })?.endpointId ?? '';
    t.not(costs.of(chosen), 0);
  });
});
