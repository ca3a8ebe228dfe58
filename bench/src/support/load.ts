/**
 * Open-loop load: arrivals come when they are due whether or not earlier ones have ended, and
 * every wait counts from the moment at which the request was due.
 */
import { ShedlineClient } from '@shedline/client';
import { FLEET_TOKENS, seededRandom } from '@shedline/test-utils';
import { median, pause, percentile } from './report.js';
import type { ResultRow } from './report.js';
import { streamOnce } from './stream-client.js';
import type { StreamResult } from './stream-client.js';

/** Shape of a load. */
export interface LoadShape {
  readonly durationMs: number;
  readonly requestsPerSecond: number;
  /** A burst: from, until and its factor. */
  readonly burst?: { readonly fromMs: number; readonly untilMs: number; readonly factor: number };
  readonly openSessions: number;
  readonly maxTokens?: number;
  readonly seed?: number;
}

/** What a load is sent through. */
export interface LoadTarget {
  /** An address for the next request; `avoid` failed just now. */
  pick(avoid: string | undefined): string;
  close(): Promise<void>;
}

/** One request of a load. */
export interface LoadResult extends StreamResult {
  readonly dueMs: number;
  readonly moved: boolean;
}

/** Callers that keep their answer to `addresses` and ask again when it is due. */
export class KeptAddresses implements LoadTarget {
  private urls: string[] = [];
  private keptUntilMs = 0;
  private asking = false;
  private readonly client: ShedlineClient;

  constructor(
    private readonly seeds: readonly string[],
    private readonly random: () => number,
  ) {
    this.client = new ShedlineClient({ urls: seeds, token: FLEET_TOKENS.caller });
  }

  pick(avoid: string | undefined): string {
    if (performance.now() >= this.keptUntilMs || avoid !== undefined) void this.ask();
    const known = this.urls.length > 0 ? this.urls : this.seeds;
    const usable = known.filter((url) => url !== avoid);
    return usable[Math.floor(this.random() * usable.length)] ?? known[0] ?? '';
  }

  close(): Promise<void> {
    return this.client.close();
  }

  private async ask(): Promise<void> {
    if (this.asking) return;
    this.asking = true;
    try {
      const call = { method: 'GET', path: '/v1/addresses', repeatable: true } as const;
      const answer = (await this.client.json(call)) as {
        addresses: { url: string }[];
        keepForMs: number;
      };
      this.urls = answer.addresses.map(({ url }) => url);
      this.keptUntilMs = performance.now() + answer.keepForMs;
    } catch {
      // The old answer serves until the next try.
    }
    this.asking = false;
  }
}

/** Addresses that never change. */
export class FixedAddresses implements LoadTarget {
  private next = 0;

  constructor(private readonly urls: readonly string[]) {}

  pick(): string {
    this.next += 1;
    return this.urls[this.next % this.urls.length] ?? '';
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

/** Sends a load and waits until all of it has ended. */
export async function runLoad(target: LoadTarget, shape: LoadShape): Promise<LoadResult[]> {
  const random = seededRandom(shape.seed ?? 1);
  const prompts = Array.from({ length: shape.openSessions }, (_, n) => promptOf(n));
  const running: Promise<LoadResult>[] = [];
  const startedMs = performance.now();
  for (
    let dueMs = startedMs;
    dueMs < startedMs + shape.durationMs;
    dueMs += gapMs(shape, dueMs - startedMs, random)
  ) {
    const waitMs = dueMs - performance.now();
    if (waitMs > 0.5) await pause(waitMs);
    const session = Math.floor(random() * prompts.length);
    prompts[session] = `${prompts[session] ?? ''} find ${Math.floor(random() * 1e6)}`;
    running.push(oneRequest(target, prompts[session] ?? '', shape, dueMs));
  }
  return Promise.all(running);
}

/** Figures of a load. */
export function summarize(results: readonly LoadResult[]): ResultRow {
  const whole = results.filter((result) => result.outcome === 'whole');
  const firsts = whole.map((result) => result.firstTokenMs);
  const gaps = whole.flatMap((result) => result.gapsMs);
  return {
    requests: results.length,
    refused: results.filter((result) => result.outcome === 'refused').length,
    lost: results.filter((result) => result.outcome === 'failed').length,
    'first p50 ms': median(firsts),
    'first p95 ms': percentile(firsts, 95),
    'first p99 ms': percentile(firsts, 99),
    'gap p95 ms': percentile(gaps, 95),
    'gap p99 ms': percentile(gaps, 99),
  };
}

/** A refused connection has run nothing: the caller goes to its next address, as the client does. */
async function oneRequest(
  target: LoadTarget,
  prompt: string,
  shape: LoadShape,
  dueMs: number,
): Promise<LoadResult> {
  const body = {
    model: 'demo/chat',
    messages: [{ role: 'user', content: prompt }],
    ...(shape.maxTokens === undefined ? {} : { max_tokens: shape.maxTokens }),
  };
  let url = target.pick(undefined);
  let result = await streamOnce(url, body, dueMs);
  let moved = false;
  for (let tries = 0; tries < 3 && result.outcome === 'failed'; tries += 1) {
    moved = true;
    url = target.pick(url);
    result = await streamOnce(url, body, dueMs);
  }
  return { ...result, dueMs, moved };
}

function gapMs(shape: LoadShape, sinceMs: number, random: () => number): number {
  const { burst } = shape;
  const inBurst = burst !== undefined && sinceMs >= burst.fromMs && sinceMs < burst.untilMs;
  const rate = shape.requestsPerSecond * (inBurst ? burst.factor : 1);
  return (-Math.log(1 - random()) * 1000) / rate;
}

function promptOf(session: number): string {
  return `You answer for trench ${session % 8}. `.repeat(24) + `Session ${session}.`;
}
