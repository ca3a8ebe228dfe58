/**
 * Chooses the entries to call: caches the response of `/v1/addresses` for the time that the
 * response states, and avoids addresses that failed recently. Does no I/O; the caller passes the
 * time.
 */

/** Time for which an address is avoided after a failure. */
const AVOID_FAILED_MS = 5000;

/** Options of {@link EntryAddresses}. */
export interface EntryAddressesOptions {
  /** Configured addresses, used when no cached address is usable. */
  readonly seeds: readonly string[];
}

/** The known addresses of entries, with their recent failures. */
export class EntryAddresses {
  private readonly seeds: readonly string[];
  private cachedUrls: readonly string[] = [];
  private cachedUntilMs = -Infinity;
  private readonly avoidedUntilMs = new Map<string, number>();

  constructor(options: EntryAddressesOptions) {
    this.seeds = options.seeds;
  }

  /** Whether the addresses should be requested again. */
  isStale(nowMs: number): boolean {
    return nowMs >= this.cachedUntilMs || this.usable(this.cachedUrls, nowMs).length === 0;
  }

  /** Caches a list of addresses for `keepForMs`. */
  update(urls: readonly string[], keepForMs: number, nowMs: number): void {
    this.cachedUrls = urls;
    this.cachedUntilMs = nowMs + keepForMs;
  }

  /** Records that an address failed; it is avoided for a while. */
  recordFailure(url: string, nowMs: number): void {
    this.avoidedUntilMs.set(url, nowMs + AVOID_FAILED_MS);
  }

  /** Returns the addresses in the order in which to try them; recently failed ones come last. */
  inPreferenceOrder(nowMs: number): string[] {
    const all = [...new Set([...this.cachedUrls, ...this.seeds])];
    const usable = this.usable(all, nowMs);
    return [...usable, ...all.filter((url) => !usable.includes(url))];
  }

  private usable(urls: readonly string[], nowMs: number): string[] {
    return urls.filter((url) => nowMs >= (this.avoidedUntilMs.get(url) ?? -Infinity));
  }
}
