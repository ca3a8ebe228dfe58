/**
 * Which endpoints probably hold which prompt prefixes in their caches: learnt from what was
 * sent and from cache events, which come late and with gaps. Bounded.
 */

const DEFAULT_MAX_PREFIXES = 50_000;
const MAX_HOLDERS = 6;

/** Options of {@link PrefixIndex}. */
export interface PrefixIndexOptions {
  readonly maxPrefixes?: number;
}

/** Likely holders of prefixes, the least recently used forgotten first. */
export class PrefixIndex {
  private readonly maxPrefixes: number;
  private readonly holders = new Map<string, string[]>();

  constructor(options: PrefixIndexOptions = {}) {
    this.maxPrefixes = options.maxPrefixes ?? DEFAULT_MAX_PREFIXES;
  }

  /** Prefixes remembered. */
  get size(): number {
    return this.holders.size;
  }

  /** Notes that an endpoint holds prefixes. */
  note(endpointId: string, hashes: readonly string[]): void {
    for (const hash of hashes) this.noteOne(endpointId, hash);
  }

  /** Blocks of the prompt, from its beginning, that each endpoint probably holds. */
  matches(hashes: readonly string[]): Map<string, number> {
    const blocks = new Map<string, number>();
    for (const [position, hash] of hashes.entries()) {
      for (const holder of this.holders.get(hash) ?? []) {
        // A gap in the events hides a block; a later one still proves the earlier.
        blocks.set(holder, position + 1);
      }
    }
    return blocks;
  }

  /** Forgets an endpoint that is gone. */
  forget(endpointId: string): void {
    for (const [hash, holders] of this.holders) {
      const kept = holders.filter((holder) => holder !== endpointId);
      if (kept.length === 0) this.holders.delete(hash);
      else if (kept.length !== holders.length) this.holders.set(hash, kept);
    }
  }

  private noteOne(endpointId: string, hash: string): void {
    const known = this.holders.get(hash) ?? [];
    this.holders.delete(hash);
    const others = known.filter((holder) => holder !== endpointId);
    this.holders.set(hash, [endpointId, ...others].slice(0, MAX_HOLDERS));
    if (this.holders.size <= this.maxPrefixes) return;
    const oldest = this.holders.keys().next().value;
    if (oldest !== undefined) this.holders.delete(oldest);
  }
}
