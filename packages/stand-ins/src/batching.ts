/**
 * Simulates continuous batching: each step generates one token for every running sequence. The
 * duration of a step grows with the number of running sequences and of prompt tokens prefilled in
 * it. There is no admission limit and there are no priorities.
 */
import { prefixHashes, PREFIX_BLOCK_CHARS } from '@shedline/types';
import { countTokens } from './generation.js';
import type { Generation } from './generation.js';

/** Timing model of the stand-in engine. */
export interface EngineTimes {
  /** Duration of a step without load. */
  readonly stepMs: number;
  /** Time that each running sequence adds to a step. */
  readonly perSequenceMs: number;
  /** Time that each prefilled token adds to a step. */
  readonly perPrefillTokenMs: number;
  /** Maximum number of prompt tokens that one step prefills. */
  readonly prefillTokensPerStep: number;
}

/** Timing of a small, fast engine. */
export const DEFAULT_ENGINE_TIMES: EngineTimes = {
  stepMs: 8,
  perSequenceMs: 0.4,
  perPrefillTokenMs: 0.02,
  prefillTokensPerStep: 2048,
};

/** A running sequence. */
export interface Sequence {
  readonly requestId: string;
  readonly generation: Generation;
  /** Position of the next token to generate. */
  position: number;
  /** Tokens that still have to be prefilled. */
  prefillLeft: number;
  /** Called with each token; if it returns false, the sequence ends without `onEnd`. */
  readonly onToken: (token: string, position: number) => boolean;
  /** Called after the last token. */
  readonly onEnd: () => void;
}

/** Options of {@link BatchingEngine}. */
export interface BatchingEngineOptions {
  readonly times?: EngineTimes;
  /** Capacity of the prefix cache in blocks. */
  readonly cacheBlocks?: number;
}

/** Runs steps for as long as there are running sequences. */
export class BatchingEngine {
  private readonly times: EngineTimes;
  private readonly cacheBlocks: number;
  private readonly sequences = new Map<string, Sequence>();
  private readonly cache = new Map<string, true>();
  private newlyCached: string[] = [];
  private timer: NodeJS.Timeout | undefined;
  private stepCount = 0;
  private readonly totals = { promptTokens: 0, cachedTokens: 0, generatedTokens: 0 };

  constructor(options: BatchingEngineOptions = {}) {
    this.times = options.times ?? DEFAULT_ENGINE_TIMES;
    this.cacheBlocks = options.cacheBlocks ?? 4096;
  }

  /** Number of running sequences. */
  get running(): number {
    return this.sequences.size;
  }

  /** Numbers of prompt, cached and generated tokens since the start. */
  get tokenTotals(): { promptTokens: number; cachedTokens: number; generatedTokens: number } {
    return { ...this.totals };
  }

  /** Returns the hashes of the prefixes cached since the last call. */
  takeNewlyCached(): string[] {
    const prefixes = this.newlyCached;
    this.newlyCached = [];
    return prefixes;
  }

  /** Starts a sequence. */
  start(prompt: string, sequence: Omit<Sequence, 'prefillLeft'>): void {
    const promptTokens = countTokens(prompt);
    const cachedTokens = this.cachePrompt(prompt);
    this.totals.promptTokens += promptTokens;
    this.totals.cachedTokens += cachedTokens;
    const prefillLeft = Math.max(1, promptTokens - cachedTokens) + sequence.position;
    this.sequences.set(sequence.requestId, { ...sequence, prefillLeft });
    this.schedule();
  }

  /** Cancels a sequence; returns whether it was running. */
  cancel(requestId: string): boolean {
    return this.sequences.delete(requestId);
  }

  /** Adds prefixes to the cache, as an import of a KV cache does. */
  importPrefixes(hashes: readonly string[]): void {
    for (const hash of hashes) this.addToCache(hash);
  }

  /** Stops all sequences without calling `onEnd`. */
  stop(): void {
    clearTimeout(this.timer);
    this.sequences.clear();
  }

  /** Adds a prompt to the prefix cache; returns how many of its tokens were cached before. */
  private cachePrompt(prompt: string): number {
    const hashes = prefixHashes(prompt);
    let hits = 0;
    while (hits < hashes.length && this.cache.has(hashes[hits] ?? '')) hits += 1;
    for (const hash of hashes) this.addToCache(hash);
    return countTokens('x'.repeat(hits * PREFIX_BLOCK_CHARS));
  }

  /** Adds a prefix as the most recently used one; evicts the least recently used one if full. */
  private addToCache(hash: string): void {
    if (!this.cache.has(hash)) this.newlyCached.push(hash);
    this.cache.delete(hash);
    this.cache.set(hash, true);
    if (this.cache.size <= this.cacheBlocks) return;
    const oldest = this.cache.keys().next().value;
    if (oldest !== undefined) this.cache.delete(oldest);
  }

  private schedule(): void {
    if (this.timer !== undefined || this.sequences.size === 0) return;
    const { stepMs, perSequenceMs, perPrefillTokenMs } = this.times;
    const prefilled = this.prefill();
    const durationMs = stepMs + perSequenceMs * this.sequences.size + perPrefillTokenMs * prefilled;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.step();
      this.schedule();
    }, durationMs);
  }

  /** Prefills prompt tokens up to the limit of a step; returns their number. */
  private prefill(): number {
    let remainingTokens = this.times.prefillTokensPerStep;
    for (const sequence of this.sequences.values()) {
      const prefilled = Math.min(remainingTokens, sequence.prefillLeft);
      sequence.prefillLeft -= prefilled;
      remainingTokens -= prefilled;
    }
    return this.times.prefillTokensPerStep - remainingTokens;
  }

  private step(): void {
    this.stepCount += 1;
    for (const sequence of [...this.sequences.values()]) {
      if (sequence.prefillLeft > 0) continue;
      this.advance(sequence);
    }
  }

  private advance(sequence: Sequence): void {
    const { generation, requestId } = sequence;
    if (sequence.position < generation.tokenCount) {
      const shouldContinue = sequence.onToken(
        generation.token(sequence.position),
        sequence.position,
      );
      sequence.position += 1;
      this.totals.generatedTokens += 1;
      if (!shouldContinue) {
        this.sequences.delete(requestId);
        return;
      }
    }
    if (sequence.position < generation.tokenCount) return;
    this.sequences.delete(requestId);
    sequence.onEnd();
  }
}
