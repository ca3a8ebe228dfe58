/**
 * Which entry to use: keeps the answer to `addresses` for its time and passes over addresses
 * that failed lately. A pure decision class.
 */

/** Time for which an address that failed is passed over. */
const AVOID_MS = 5000;

/** Options of {@link EntryAddresses}. */
export interface EntryAddressesOptions {
  /** Addresses from the settings, asked when no kept answer is left. */
  readonly seeds: readonly string[];
}

/** Addresses of entries. */
export class EntryAddresses {
  private readonly seeds: readonly string[];
  private kept: readonly string[] = [];
  private keptUntilMs = -Infinity;
  private readonly avoidedUntilMs = new Map<string, number>();

  constructor(options: EntryAddressesOptions) {
    this.seeds = options.seeds;
  }

  /** Whether the addresses should be asked for again. */
  isStale(nowMs: number): boolean {
    return nowMs >= this.keptUntilMs || this.usable(this.kept, nowMs).length === 0;
  }

  /** Keeps an answer. */
  keep(urls: readonly string[], keepForMs: number, nowMs: number): void {
    this.kept = urls;
    this.keptUntilMs = nowMs + keepForMs;
  }

  /** Notes that an address failed. */
  failed(url: string, nowMs: number): void {
    this.avoidedUntilMs.set(url, nowMs + AVOID_MS);
  }

  /** Addresses in the order in which to try them; those that failed lately come last. */
  inOrder(nowMs: number): string[] {
    const all = [...new Set([...this.kept, ...this.seeds])];
    const usable = this.usable(all, nowMs);
    return [...usable, ...all.filter((url) => !usable.includes(url))];
  }

  private usable(urls: readonly string[], nowMs: number): string[] {
    return urls.filter((url) => nowMs >= (this.avoidedUntilMs.get(url) ?? -Infinity));
  }
}
