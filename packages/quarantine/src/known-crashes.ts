/**
 * What one entry knows of the contents under which endpoints have ended, and for how long it holds
 * one back. Times count from when the entry heard, by its own steady clock.
 */
import type { CrashChanges } from './crash-records.js';
import { countCrash, isSuspect } from './suspicion.js';
import type { CountedCrash, CrashCount } from './suspicion.js';

/**
 * Time until a content that is held back may be tried again, by the trials before; the last one from
 * then on. A minute for what many ask and an outage took twice; after that as seldom as somebody may
 * have mended the model meanwhile.
 */
const HOLD_MS = [60_000, 600_000, 7_200_000, 86_400_000] as const;
const LONGEST_HOLD_MS = 86_400_000;
/** Time for which one end counts against a content that has not been sent since. */
const SUSPECT_MS = 3_600_000;
/** Contents of its own that an entry remembers before the fleet's record has them. */
const MAX_OWN = 256;
/** Cleared contents remembered; news that are late are so by seconds. */
const MAX_CLEARED = 512;

/** How a content stands. */
export type ContentStatus =
  | { readonly kind: 'free' }
  | { readonly kind: 'held'; readonly forMs: number }
  /** It may be tried by whoever is let. */
  | { readonly kind: 'trialDue'; readonly trials: number };

interface KnownRecord extends CrashCount {
  readonly trials: number;
  /** Number of the change in the fleet's record; 0 for what is only known here. */
  readonly number: number;
  readonly heardAtMs: number;
}

const NOTHING: KnownRecord = { crashes: 0, trials: 0, number: 0, heardAtMs: 0 };

/** Contents by key. */
export class KnownCrashes {
  private readonly nowMs: () => number;
  private readonly records = new Map<string, KnownRecord>();
  /** Ends seen here, until the fleet's record has them. */
  private readonly own = new Map<string, KnownRecord>();
  /** Newest change known of contents that were cleared: a process that lags may still tell older ones. */
  private readonly cleared = new Map<string, number>();

  constructor(nowMs: () => number) {
    this.nowMs = nowMs;
  }

  /** Whether no content is blamed for anything. */
  get isEmpty(): boolean {
    return this.records.size === 0 && this.own.size === 0;
  }

  /** Contents that are held back. */
  get heldCount(): number {
    const keys = new Set([...this.records.keys(), ...this.own.keys()]);
    return [...keys].filter((key) => this.status(key).kind === 'held').length;
  }

  /** Takes news of the fleet's record; gives the keys of contents that are held back from now on. */
  take({ records, isWhole }: CrashChanges): string[] {
    const newlyHeld: string[] = [];
    if (isWhole) this.keepOnly(new Set(records.map(({ contentKey }) => contentKey)));
    for (const { contentKey, ...record } of records) {
      const { crashes, number } = record;
      if (number <= this.changeKnownOf(contentKey)) continue;
      const wasHeld = isSuspect(this.newest(contentKey));
      const ownCrashes = this.own.get(contentKey)?.crashes ?? 0;
      if (crashes === 0 || crashes >= ownCrashes) this.own.delete(contentKey);
      if (crashes === 0) this.clear(contentKey, number);
      else this.records.set(contentKey, { ...record, heardAtMs: this.nowMs() });
      if (!wasHeld && isSuspect(record)) newlyHeld.push(contentKey);
    }
    return newlyHeld;
  }

  /** Ends that count against a content. */
  crashesOf(contentKey: string): number {
    return this.newest(contentKey).crashes;
  }

  /** How a content stands now. */
  status(contentKey: string): ContentStatus {
    const known = this.newest(contentKey);
    if (!isSuspect(known)) return { kind: 'free' };
    const { trials, heardAtMs } = known;
    const forMs = heardAtMs + (HOLD_MS[trials] ?? LONGEST_HOLD_MS) - this.nowMs();
    return forMs > 0 ? { kind: 'held', forMs } : { kind: 'trialDue', trials };
  }

  /** Notes an end that this entry saw, before the fleet knows of it. */
  crashed(contentKey: string, crash: CountedCrash): void {
    const known = this.newest(contentKey);
    const counted = countCrash(known, crash);
    if (counted === undefined) return;
    const { trials } = known;
    this.own.set(contentKey, { ...counted, trials, number: 0, heardAtMs: this.nowMs() });
    dropOldest(this.own, MAX_OWN);
  }

  /** Notes that an endpoint lived through a run; true where the content was blamed for something. */
  survived(contentKey: string): boolean {
    if (!this.own.has(contentKey) && !this.records.has(contentKey)) return false;
    this.own.delete(contentKey);
    this.clear(contentKey, this.changeKnownOf(contentKey));
    return true;
  }

  private changeKnownOf(contentKey: string): number {
    return this.records.get(contentKey)?.number ?? this.cleared.get(contentKey) ?? 0;
  }

  private clear(contentKey: string, number: number): void {
    this.records.delete(contentKey);
    this.cleared.delete(contentKey);
    this.cleared.set(contentKey, number);
    dropOldest(this.cleared, MAX_CLEARED);
  }

  private newest(contentKey: string): KnownRecord {
    const own = this.own.get(contentKey);
    const fleets = this.records.get(contentKey);
    const known = (own?.crashes ?? 0) > (fleets?.crashes ?? 0) ? own : fleets;
    if (known === undefined || this.isForgotten(known)) {
      return NOTHING;
    }
    return known;
  }

  private isForgotten(known: KnownRecord): boolean {
    return !isSuspect(known) && this.nowMs() - known.heardAtMs > SUSPECT_MS;
  }

  private keepOnly(contentKeys: ReadonlySet<string>): void {
    for (const key of this.records.keys()) if (!contentKeys.has(key)) this.records.delete(key);
  }
}

function dropOldest(map: Map<string, unknown>, most: number): void {
  const [oldest] = map.keys();
  if (map.size > most && oldest !== undefined) map.delete(oldest);
}
