/**
 * Continuous batching: one step after another, each giving one token to every running
 * sequence. The time of a step grows with the running sequences and with the prompt tokens
 * that are prefilled in it. Everything is let in; there are no priorities.
 */
import { prefixHashes, PREFIX_BLOCK_CHARS } from '@shedline/types';
import { countTokens } from './generation.js';
import type { Generation } from './generation.js';

/** Times of the stand-in engine. */
export interface EngineTimes {
  /** Time of a step without load. */
  readonly stepMs: number;
  /** Time that each running sequence adds to a step. */
  readonly perSequenceMs: number;
  /** Time that each prefilled token adds to a step. */
  readonly perPrefillTokenMs: number;
  /** Prompt tokens that one step prefills at most. */
  readonly prefillTokensPerStep: number;
}

/** Times of a small fast engine. */
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
  position: number;
  prefillLeft: number;
  /** Called with each token; false ends the sequence. */
  readonly onToken: (token: string, position: number) => boolean;
  readonly onEnd: () => void;
}

/** Options of {@link BatchingEngine}. */
export interface BatchingEngineOptions {
  readonly times?: EngineTimes;
  /** Prefix blocks that the cache holds. */
  readonly cacheBlocks?: number;
}

/** Steps through its running sequences for as long as there are any. */
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

  /** Sequences that run now. */
  get running(): number {
    return this.sequences.size;
  }

  /** Tokens seen so far. */
  get tokenTotals(): { promptTokens: number; cachedTokens: number; generatedTokens: number } {
    return { ...this.totals };
  }

  /** Prefixes cached since the last call. */
  takeNewlyCached(): string[] {
    const taken = this.newlyCached;
    this.newlyCached = [];
    return taken;
  }

  /** Lets a request in. */
  start(prompt: string, sequence: Omit<Sequence, 'prefillLeft'>): void {
    const promptTokens = countTokens(prompt);
    const cachedTokens = this.useCache(prompt);
    this.totals.promptTokens += promptTokens;
    this.totals.cachedTokens += cachedTokens;
    const prefillLeft = Math.max(1, promptTokens - cachedTokens) + sequence.position;
    this.sequences.set(sequence.requestId, { ...sequence, prefillLeft });
    this.schedule();
  }

  /** Ends a request; true where it ran. */
  cancel(requestId: string): boolean {
    return this.sequences.delete(requestId);
  }

  /** Puts prefixes into the cache, as an import of a KV cache does. */
  importPrefixes(hashes: readonly string[]): void {
    for (const hash of hashes) this.remember(hash);
  }

  /** Ends everything. */
  stop(): void {
    clearTimeout(this.timer);
    this.sequences.clear();
  }

  private useCache(prompt: string): number {
    const hashes = prefixHashes(prompt);
    let hits = 0;
    while (hits < hashes.length && this.cache.has(hashes[hits] ?? '')) hits += 1;
    for (const hash of hashes) this.remember(hash);
    return countTokens('x'.repeat(hits * PREFIX_BLOCK_CHARS));
  }

  private remember(hash: string): void {
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
    const lengthMs = stepMs + perSequenceMs * this.sequences.size + perPrefillTokenMs * prefilled;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.step();
      this.schedule();
    }, lengthMs);
  }

  private prefill(): number {
    let room = this.times.prefillTokensPerStep;
    for (const sequence of this.sequences.values()) {
      const taken = Math.min(room, sequence.prefillLeft);
      sequence.prefillLeft -= taken;
      room -= taken;
    }
    return this.times.prefillTokensPerStep - room;
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
      const goOn = sequence.onToken(generation.token(sequence.position), sequence.position);
      sequence.position += 1;
      this.totals.generatedTokens += 1;
      if (!goOn) {
        this.sequences.delete(requestId);
        return;
      }
    }
    if (sequence.position < generation.tokenCount) return;
    this.sequences.delete(requestId);
    sequence.onEnd();
  }
}
