/**
 * Index of the prompt prefixes that endpoints probably hold in their prefix caches. It is built
 * from the requests that were sent and from cache events, which are delayed and may be lost. Its
 * size is limited.
 */

const DEFAULT_MAX_PREFIXES = 50_000;
/** Endpoints recorded for each prefix. */
const MAX_HOLDERS = 6;

/** Options of {@link PrefixIndex}. */
export interface PrefixIndexOptions {
  readonly maxPrefixes?: number;
}

/** Likely holders of prefixes; the least recently recorded prefixes are evicted first. */
export class PrefixIndex {
  private readonly maxPrefixes: number;
  private readonly holders = new Map<string, string[]>();

  constructor(options: PrefixIndexOptions = {}) {
    this.maxPrefixes = options.maxPrefixes ?? DEFAULT_MAX_PREFIXES;
  }

  /** Number of recorded prefixes. */
  get size(): number {
    return this.holders.size;
  }

  /** Records that an endpoint holds prefixes. */
  record(endpointId: string, hashes: readonly string[]): void {
    for (const hash of hashes) this.recordHolder(endpointId, hash);
  }

  /** Returns the number of leading blocks of the prompt that each endpoint probably holds. */
  matchingBlocks(hashes: readonly string[]): Map<string, number> {
    const blocks = new Map<string, number>();
    for (const [position, hash] of hashes.entries()) {
      for (const holder of this.holders.get(hash) ?? []) {
        // An earlier block may be missing after a lost event; holding a later one implies it.
        blocks.set(holder, position + 1);
      }
    }
    return blocks;
  }

  /** Removes an endpoint that is no longer available. */
  removeEndpoint(endpointId: string): void {
    for (const [hash, holders] of this.holders) {
      const kept = holders.filter((holder) => holder !== endpointId);
      if (kept.length === 0) this.holders.delete(hash);
      else if (kept.length !== holders.length) this.holders.set(hash, kept);
    }
  }

  private recordHolder(endpointId: string, hash: string): void {
    const known = this.holders.get(hash) ?? [];
    this.holders.delete(hash);
    const others = known.filter((holder) => holder !== endpointId);
    this.holders.set(hash, [endpointId, ...others].slice(0, MAX_HOLDERS));
    if (this.holders.size <= this.maxPrefixes) return;
    const oldest = this.holders.keys().next().value;
    if (oldest !== undefined) this.holders.delete(oldest);
  }
}
