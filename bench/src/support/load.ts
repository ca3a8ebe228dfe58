/**
 * Open-loop load generator: sends each request at its due time, whether or not earlier requests
 * have ended, and measures latencies from the due time.
 */
import { ShedlineClient } from '@shedline/client';
import { FLEET_TOKENS, seededRandom } from '@shedline/test-utils';
import { median, pause, percentile } from './report.js';
import type { ResultRow } from './report.js';
import { streamOnce } from './stream-client.js';
import type { StreamResult } from './stream-client.js';

/** Parameters of a load. */
export interface LoadShape {
  readonly durationMs: number;
  readonly requestsPerSecond: number;
  /** Interval in which the request rate is multiplied by `factor`. */
  readonly burst?: { readonly fromMs: number; readonly untilMs: number; readonly factor: number };
  readonly openSessions: number;
  readonly maxTokens?: number;
  readonly seed?: number;
}

/** Selects the URLs to which a load is sent. */
export interface LoadTarget {
  /** Returns the URL for the next attempt; `avoid` is the URL that just failed. */
  nextUrl(avoid: string | undefined): string;
  close(): Promise<void>;
}

/** Result of one request of a load. */
export interface LoadResult extends StreamResult {
  readonly dueMs: number;
  readonly isRetried: boolean;
}

/** Caches the response of `/v1/addresses`, and refreshes it when it expires or a URL fails. */
export class CachedAddresses implements LoadTarget {
  private urls: string[] = [];
  private cachedUntilMs = 0;
  private isRefreshing = false;
  private readonly client: ShedlineClient;

  constructor(
    private readonly seeds: readonly string[],
    private readonly random: () => number,
  ) {
    this.client = new ShedlineClient({ urls: seeds, token: FLEET_TOKENS.caller });
  }

  nextUrl(avoid: string | undefined): string {
    if (performance.now() >= this.cachedUntilMs || avoid !== undefined) void this.refresh();
    const known = this.urls.length > 0 ? this.urls : this.seeds;
    const usable = known.filter((url) => url !== avoid);
    return usable[Math.floor(this.random() * usable.length)] ?? known[0] ?? '';
  }

  close(): Promise<void> {
    return this.client.close();
  }

  private async refresh(): Promise<void> {
    if (this.isRefreshing) return;
    this.isRefreshing = true;
    try {
      const call = { method: 'GET', path: '/v1/addresses', repeatable: true } as const;
      const response = (await this.client.json(call)) as {
        addresses: { url: string }[];
        keepForMs: number;
      };
      this.urls = response.addresses.map(({ url }) => url);
      this.cachedUntilMs = performance.now() + response.keepForMs;
    } catch {
      // The cached addresses are used until the next refresh succeeds.
    }
    this.isRefreshing = false;
  }
}

/** Uses a fixed list of URLs in turn. */
export class FixedAddresses implements LoadTarget {
  private requestCount = 0;

  constructor(private readonly urls: readonly string[]) {}

  nextUrl(): string {
    this.requestCount += 1;
    return this.urls[this.requestCount % this.urls.length] ?? '';
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

/** Sends a load and waits until all requests have ended. */
export async function runLoad(target: LoadTarget, shape: LoadShape): Promise<LoadResult[]> {
  const random = seededRandom(shape.seed ?? 1);
  const prompts = Array.from({ length: shape.openSessions }, (_, n) => initialPrompt(n));
  const running: Promise<LoadResult>[] = [];
  const startedMs = performance.now();
  for (
    let dueMs = startedMs;
    dueMs < startedMs + shape.durationMs;
    dueMs += nextGapMs(shape, dueMs - startedMs, random)
  ) {
    const waitMs = dueMs - performance.now();
    if (waitMs > 0.5) await pause(waitMs);
    const session = Math.floor(random() * prompts.length);
    prompts[session] = `${prompts[session] ?? ''} find ${Math.floor(random() * 1e6)}`;
    running.push(sendWithRetries(target, prompts[session] ?? '', shape, dueMs));
  }
  return Promise.all(running);
}

/** Returns counts and latency percentiles of a load. */
export function summarize(results: readonly LoadResult[]): ResultRow {
  const completed = results.filter((result) => result.outcome === 'whole');
  const firstTokenTimesMs = completed.map((result) => result.firstTokenMs);
  const gaps = completed.flatMap((result) => result.gapsMs);
  return {
    requests: results.length,
    refused: results.filter((result) => result.outcome === 'refused').length,
    lost: results.filter((result) => result.outcome === 'failed').length,
    'first p50 ms': median(firstTokenTimesMs),
    'first p95 ms': percentile(firstTokenTimesMs, 95),
    'first p99 ms': percentile(firstTokenTimesMs, 99),
    'gap p95 ms': percentile(gaps, 95),
    'gap p99 ms': percentile(gaps, 99),
  };
}

/**
 * Sends one request; after a failure, retries it at another URL up to 3 times. The client library
 * also does this, because a refused connection has executed nothing.
 */
async function sendWithRetries(
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
  let url = target.nextUrl(undefined);
  let result = await streamOnce(url, body, dueMs);
  let isRetried = false;
  for (let retries = 0; retries < 3 && result.outcome === 'failed'; retries += 1) {
    isRetried = true;
    url = target.nextUrl(url);
    result = await streamOnce(url, body, dueMs);
  }
  return { ...result, dueMs, isRetried };
}

function nextGapMs(shape: LoadShape, sinceMs: number, random: () => number): number {
  const { burst } = shape;
  const inBurst = burst !== undefined && sinceMs >= burst.fromMs && sinceMs < burst.untilMs;
  const rate = shape.requestsPerSecond * (inBurst ? burst.factor : 1);
  return (-Math.log(1 - random()) * 1000) / rate;
}

function initialPrompt(session: number): string {
  return `You answer for trench ${session % 8}. `.repeat(24) + `Session ${session}.`;
}
