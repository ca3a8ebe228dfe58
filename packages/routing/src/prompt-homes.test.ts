import test from 'ava';
import { describe, seededRandom, title } from '@shedline/test-utils';
import { promptCosts } from './prompt-homes.js';
import { SlotRouting } from './slot-routing.js';

const ENDPOINTS = Array.from({ length: 8 }, (_, number) => `endpoint-${number}`);
const SLOTS = 8;
const KEYS = 60;
const REQUESTS = 600;

/** Plays requests over a few entries that see the same loads; gives the parts read again. */
function readAgain(tokens: number, isTold: boolean): number {
  const random = seededRandom(3);
  const routing = new SlotRouting({ random });
  const kept = new Set<string>();
  let again = 0;
  let running: { readonly endpointId: string; readonly untilStep: number }[] = [];
  for (let step = 0; step < REQUESTS; step += 1) {
    running = running.filter(({ untilStep }) => untilStep > step);
    const key = `part-${Math.floor(random() ** 2 * KEYS)}`;
    const candidates = ENDPOINTS.map((endpointId, index) => ({
      endpointId,
      availabilityZone: `z${index % 2}`,
      online: running.filter((one) => one.endpointId === endpointId).length,
      batch: 0,
      slots: SLOTS,
    }));
    const prompt = isTold ? { key, tokens } : undefined;
    const chosen = routing.choose(candidates, `z${step % 2}`, { prompt })?.endpointId ?? '';
    if (!kept.has(`${key}@${chosen}`) && [...kept].some((one) => one.startsWith(`${key}@`))) {
      again += 1;
    }
    kept.add(`${key}@${chosen}`);
    running.push({ endpointId: chosen, untilStep: step + 20 });
  }
  return again;
}

describe('homes of shared prompt parts', () => {
  test(title('a part is read again a fifth as often where its requests share a home'), (t) => {
    const before = readAgain(13_000, false);
    const after = readAgain(13_000, true);
    t.log(`${before} and ${after} of ${REQUESTS} requests`);
    t.true(after <= before / 5);
  });

  test(title('short parts do not matter'), (t) => {
    const costs = promptCosts({ key: 'k', tokens: 200 }, ENDPOINTS);
    t.true(ENDPOINTS.every((endpointId) => costs.of(endpointId) === 0));
    t.is(promptCosts(undefined, ENDPOINTS).of('any'), 0);
  });

  test(title('entries that see some of the same endpoints agree on their order'), (t) => {
    for (let number = 0; number < 50; number += 1) {
      const prompt = { key: `part-${number}`, tokens: 13_000 };
      const home = ENDPOINTS.find((id) => promptCosts(prompt, ENDPOINTS).of(id) === 0) ?? '';
      const seen = ENDPOINTS.filter((id) => id === home || id.endsWith('1') || id.endsWith('5'));
      t.is(promptCosts(prompt, seen).of(home), 0);
    }
  });

  test(title('homes are spread over the endpoints'), (t) => {
    const homes = new Map<string, number>();
    for (let number = 0; number < 800; number += 1) {
      const costs = promptCosts({ key: `part-${number}`, tokens: 13_000 }, ENDPOINTS);
      const home = ENDPOINTS.find((id) => costs.of(id) === 0) ?? '';
      homes.set(home, (homes.get(home) ?? 0) + 1);
    }
    t.true(
      [...homes.values()].every((count) => count > 60 && count < 140),
      [...homes].join(' '),
    );
  });

  test(title('no part is worth a queue or stopping an item'), (t) => {
    const routing = new SlotRouting({ random: () => 0 });
    const prompt = { key: 'k', tokens: 1_000_000 };
    const costs = promptCosts(prompt, ENDPOINTS);
    const candidates = ENDPOINTS.map((endpointId) => {
      const isHome = costs.of(endpointId) === 0;
      return {
        endpointId,
        availabilityZone: 'z',
        online: isHome ? SLOTS : 1,
        batch: 0,
        slots: SLOTS,
      };
    });
    t.is(candidates.find(({ online }) => online === 1) === undefined, false);
    const chosen = routing.choose(candidates, 'z', { prompt })?.endpointId ?? '';
    t.not(costs.of(chosen), 0);
  });
});
