/**
 * Main module of a process that runs many stand-in engines. The benchmarks start it and control it
 * by messages.
 */
import { StandInEngine } from '@shedline/stand-ins';
import type { EngineTimes } from '@shedline/stand-ins';
import { seededRandom } from '@shedline/test-utils';

/** A message from the parent process. */
export type HostRequest =
  | {
      readonly type: 'start';
      readonly count: number;
      readonly firstNumber: number;
      readonly zones: readonly string[];
      readonly entryUrls: readonly string[];
      readonly token: string;
      readonly times: EngineTimes;
      readonly capacity: number;
      readonly cacheBlocks: number;
      readonly announceIntervalMs: number;
    }
  | { readonly type: 'die'; readonly number: number }
  | { readonly type: 'leave'; readonly number: number }
  | { readonly type: 'slow'; readonly number: number }
  | { readonly type: 'stats' };

/** Totals over all engines of a host process. */
export interface HostStats {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  readonly generatedTokens: number;
  readonly running: number;
  readonly sends: number;
  readonly repeatedSends: number;
}

const engines = new Map<number, StandInEngine>();

async function startEngines(request: HostRequest & { type: 'start' }): Promise<string[]> {
  const urls: string[] = [];
  for (
    let number = request.firstNumber;
    number < request.firstNumber + request.count;
    number += 1
  ) {
    const engine = new StandInEngine({
      endpointId: `engine-${number}`,
      models: ['demo-model'],
      availabilityZone: request.zones[number % request.zones.length] ?? 'zone-1',
      entryUrls: request.entryUrls,
      token: request.token,
      times: request.times,
      capacity: request.capacity,
      cacheBlocks: request.cacheBlocks,
      announceIntervalMs: request.announceIntervalMs,
      random: seededRandom(number),
    });
    engines.set(number, engine);
    urls.push(await engine.start());
  }
  return urls;
}

function totalStats(): HostStats {
  const total = {
    promptTokens: 0,
    cachedTokens: 0,
    generatedTokens: 0,
    running: 0,
    sends: 0,
    repeatedSends: 0,
  };
  for (const engine of engines.values()) {
    const tokens = engine.engine.tokenTotals;
    total.promptTokens += tokens.promptTokens;
    total.cachedTokens += tokens.cachedTokens;
    total.generatedTokens += tokens.generatedTokens;
    total.running += engine.engine.running;
    total.sends += engine.attemptsById.size;
    for (const count of engine.attemptsById.values()) total.repeatedSends += count - 1;
  }
  return total;
}

async function handleRequest(request: HostRequest): Promise<unknown> {
  if (request.type === 'start') return startEngines(request);
  if (request.type === 'stats') return totalStats();
  const engine = engines.get(request.number);
  if (request.type === 'die') engine?.crash();
  if (request.type === 'leave') await engine?.announceLeaving();
  return undefined;
}

process.on('message', (request: HostRequest) => {
  void handleRequest(request).then((value) => process.send?.({ value }));
});
process.on('disconnect', () => process.exit(0));
