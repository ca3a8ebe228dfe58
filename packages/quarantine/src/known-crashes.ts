/**
 * One entry's knowledge of request contents that crashed endpoints, and the time for which each is
 * quarantined. Times count from when the entry received a record, by its own monotonic clock.
 */
import type { CrashChanges } from './crash-records.js';
import { countCrash, isQuarantined } from './quarantine-rule.js';
import type { CountedCrash, CrashCount } from './quarantine-rule.js';

/**
 * Quarantine before the next trial request, by the number of earlier trials; the last value applies
 * from then on. A minute suits a harmless, frequent content whose endpoints an outage stopped
 * twice; the later values allow for the time that the repair of a model takes.
 */
const QUARANTINE_MS = [60_000, 600_000, 7_200_000, 86_400_000] as const;
const MAX_QUARANTINE_MS = 86_400_000;
/** Time for which crashes below the quarantine threshold count against a content. */
const SINGLE_CRASH_EXPIRY_MS = 3_600_000;
/** Maximum number of contents recorded locally before the fleet's record includes them. */
const MAX_LOCAL_RECORDS = 256;
/** Maximum number of cleared contents remembered; outdated changes arrive only seconds late. */
const MAX_CLEARED_RECORDS = 512;

/** Quarantine status of a content. */
export type ContentStatus =
  | { readonly kind: 'free' }
  | { readonly kind: 'held'; readonly forMs: number }
  /** One trial request may run, by the entry that is allowed to begin it. */
  | { readonly kind: 'trialDue'; readonly trials: number };

interface KnownRecord extends CrashCount {
  readonly trials: number;
  /** Number of the change in the fleet's record; 0 for a local record. */
  readonly number: number;
  readonly receivedAtMs: number;
}

const NO_RECORD: KnownRecord = { crashes: 0, trials: 0, number: 0, receivedAtMs: 0 };

/** Crashes attributed to contents, by the key of the content. */
export class KnownCrashes {
  private readonly nowMs: () => number;
  private readonly fleetRecords = new Map<string, KnownRecord>();
  /** Crashes observed by this entry, until the fleet's record includes them. */
  private readonly localRecords = new Map<string, KnownRecord>();
  /** Newest known change of cleared contents; a lagging process may still report older ones. */
  private readonly cleared = new Map<string, number>();

  constructor(nowMs: () => number) {
    this.nowMs = nowMs;
  }

  /** Whether no crash is attributed to any content. */
  get isEmpty(): boolean {
    return this.fleetRecords.size === 0 && this.localRecords.size === 0;
  }

  /** Number of quarantined contents. */
  get quarantinedCount(): number {
    const keys = new Set([...this.fleetRecords.keys(), ...this.localRecords.keys()]);
    return [...keys].filter((key) => this.status(key).kind === 'held').length;
  }

  /** Applies changes of the fleet's record; returns the keys of newly quarantined contents. */
  applyChanges({ records, isWhole }: CrashChanges): string[] {
    const newlyQuarantined: string[] = [];
    if (isWhole) this.removeUnlisted(new Set(records.map(({ contentKey }) => contentKey)));
    for (const { contentKey, ...record } of records) {
      const { crashes, number } = record;
      if (number <= this.lastChangeOf(contentKey)) continue;
      const wasQuarantined = isQuarantined(this.currentRecord(contentKey));
      const localCrashes = this.localRecords.get(contentKey)?.crashes ?? 0;
      if (crashes === 0 || crashes >= localCrashes) this.localRecords.delete(contentKey);
      if (crashes === 0) this.clear(contentKey, number);
      else this.fleetRecords.set(contentKey, { ...record, receivedAtMs: this.nowMs() });
      if (!wasQuarantined && isQuarantined(record)) newlyQuarantined.push(contentKey);
    }
    return newlyQuarantined;
  }

  /** Returns the number of crashes that count against a content. */
  crashCountOf(contentKey: string): number {
    return this.currentRecord(contentKey).crashes;
  }

  status(contentKey: string): ContentStatus {
    const known = this.currentRecord(contentKey);
    if (!isQuarantined(known)) return { kind: 'free' };
    const { trials, receivedAtMs } = known;
    const forMs = receivedAtMs + (QUARANTINE_MS[trials] ?? MAX_QUARANTINE_MS) - this.nowMs();
    return forMs > 0 ? { kind: 'held', forMs } : { kind: 'trialDue', trials };
  }

  /** Records a crash that this entry observed, before the fleet's record includes it. */
  recordCrash(contentKey: string, crash: CountedCrash): void {
    const known = this.currentRecord(contentKey);
    const counted = countCrash(known, crash);
    if (counted === undefined) return;
    const { trials } = known;
    this.localRecords.set(contentKey, {
      ...counted,
      trials,
      number: 0,
      receivedAtMs: this.nowMs(),
    });
    dropOldest(this.localRecords, MAX_LOCAL_RECORDS);
  }

  /** Records a run without a crash; returns true if crashes were attributed to the content. */
  recordSurvival(contentKey: string): boolean {
    if (!this.localRecords.has(contentKey) && !this.fleetRecords.has(contentKey)) return false;
    this.localRecords.delete(contentKey);
    this.clear(contentKey, this.lastChangeOf(contentKey));
    return true;
  }

  private lastChangeOf(contentKey: string): number {
    return this.fleetRecords.get(contentKey)?.number ?? this.cleared.get(contentKey) ?? 0;
  }

  private clear(contentKey: string, number: number): void {
    this.fleetRecords.delete(contentKey);
    this.cleared.delete(contentKey);
    this.cleared.set(contentKey, number);
    dropOldest(this.cleared, MAX_CLEARED_RECORDS);
  }

  private currentRecord(contentKey: string): KnownRecord {
    const local = this.localRecords.get(contentKey);
    const fromFleet = this.fleetRecords.get(contentKey);
    const known = (local?.crashes ?? 0) > (fromFleet?.crashes ?? 0) ? local : fromFleet;
    if (known === undefined || this.isExpired(known)) {
      return NO_RECORD;
    }
    return known;
  }

  private isExpired(known: KnownRecord): boolean {
    return !isQuarantined(known) && this.nowMs() - known.receivedAtMs > SINGLE_CRASH_EXPIRY_MS;
  }

  private removeUnlisted(contentKeys: ReadonlySet<string>): void {
    for (const key of this.fleetRecords.keys())
      if (!contentKeys.has(key)) this.fleetRecords.delete(key);
  }
}

function dropOldest(map: Map<string, unknown>, maxSize: number): void {
  const [oldest] = map.keys();
  if (map.size > maxSize && oldest !== undefined) map.delete(oldest);
}
