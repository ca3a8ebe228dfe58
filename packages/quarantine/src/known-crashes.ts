/**
 * One entry's knowledge of the features of requests that crashed endpoints, and the time for which
 * each is quarantined. Times count from when the entry received a record, by its own monotonic clock.
 */
import type { CrashChanges, FeatureTrial } from './crash-records.js';
import { isPartKey } from './feature-keys.js';
import { countCrash, isConfirmed, isExplained, isQuarantined } from './quarantine-rule.js';
import type { CountedCrash, CrashCount } from './quarantine-rule.js';

/**
 * Quarantine before the next trial request, by the number of earlier trials; the last value applies
 * from then on. A minute suits a harmless, frequent content whose endpoints an outage stopped
 * twice; the later values allow for the time that the repair of a model takes.
 */
const QUARANTINE_MS = [60_000, 600_000, 7_200_000, 86_400_000] as const;
const MAX_QUARANTINE_MS = 86_400_000;
/**
 * Quarantine of a part before its first trial, if the evidence is not confirmed: many requests may
 * share it, and any of them can show whether it is the cause.
 */
const UNCONFIRMED_PART_MS = 1000;
/** Time after a trial of an explained feature until the next one; it doubles with each trial. */
const EXPLAINED_TRIAL_MS = 1000;
const MAX_EXPLAINED_TRIAL_MS = 60_000;
/** Time for which crashes below the quarantine threshold count against a feature. */
const SINGLE_CRASH_EXPIRY_MS = 3_600_000;
/** Maximum number of features recorded locally before the fleet's record includes them. */
const MAX_LOCAL_RECORDS = 512;
/** Maximum number of cleared features remembered; outdated changes arrive only seconds late. */
const MAX_CLEARED_RECORDS = 1024;

/** A feature that keeps a request in quarantine. */
export interface QuarantinedFeature {
  readonly contentKey: string;
  readonly crashes: number;
  /** Whether the feature is the cause as far as can be told; otherwise trials decide soon. */
  readonly isConfirmed: boolean;
}

/** Quarantine status of a request with some features. */
export type RequestStatus =
  | { readonly kind: 'free' }
  /** `feature` is the one whose trial is due last. */
  | { readonly kind: 'held'; readonly forMs: number; readonly feature: QuarantinedFeature }
  /** One trial request may run, by the entry that is allowed to begin it. */
  | {
      readonly kind: 'trialDue';
      readonly trials: readonly [FeatureTrial, ...FeatureTrial[]];
    };

interface KnownRecord extends CrashCount {
  readonly trials: number;
  /** Number of the change in the fleet's record; 0 for a local record. */
  readonly number: number;
  readonly receivedAtMs: number;
}

const NO_RECORD: KnownRecord = { crashes: 0, trials: 0, number: 0, receivedAtMs: 0 };

/** Crashes attributed to features, by the key of the feature. */
export class KnownCrashes {
  private readonly nowMs: () => number;
  private readonly fleetRecords = new Map<string, KnownRecord>();
  /** Crashes observed by this entry, until the fleet's record includes them. */
  private readonly localRecords = new Map<string, KnownRecord>();
  /** Newest known change of cleared features; a lagging process may still report older ones. */
  private readonly cleared = new Map<string, number>();
  /** Keys of the quarantined features; undefined after a change. */
  private quarantinedKeys: readonly string[] | undefined;

  constructor(nowMs: () => number) {
    this.nowMs = nowMs;
  }

  /** Whether no crash is attributed to any feature. */
  get isEmpty(): boolean {
    return this.fleetRecords.size === 0 && this.localRecords.size === 0;
  }

  /** Number of quarantined features. */
  get quarantinedCount(): number {
    return this.quarantined().filter((key) => this.status([key]).kind === 'held').length;
  }

  /** Applies changes of the fleet's record; returns the keys of newly quarantined features. */
  applyChanges({ records, isWhole }: CrashChanges): string[] {
    const newlyQuarantined: string[] = [];
    this.quarantinedKeys = undefined;
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

  /** Returns the number of crashes that count against a feature. */
  crashCountOf(contentKey: string): number {
    return this.currentRecord(contentKey).crashes;
  }

  /** Returns the status of a request that has these features. */
  status(contentKeys: readonly string[]): RequestStatus {
    const [first, ...further] = contentKeys.filter((key) => isQuarantined(this.currentRecord(key)));
    if (first === undefined) return { kind: 'free' };
    const otherEndpoints = this.endpointsCrashedWithout(contentKeys);
    let last = this.heldFeature(first, otherEndpoints);
    for (const key of further) {
      const held = this.heldFeature(key, otherEndpoints);
      if (held.forMs > last.forMs) last = held;
    }
    if (last.forMs > 0) return { kind: 'held', ...last };
    return {
      kind: 'trialDue',
      trials: [this.trialOf(first), ...further.map((k) => this.trialOf(k))],
    };
  }

  /** Records a crash that this entry observed, before the fleet's record includes it. */
  recordCrash(contentKey: string, crash: CountedCrash): void {
    const known = this.currentRecord(contentKey);
    const counted = countCrash(known, crash);
    if (counted === undefined) return;
    this.quarantinedKeys = undefined;
    const { trials } = known;
    this.localRecords.set(contentKey, {
      ...counted,
      trials,
      number: 0,
      receivedAtMs: this.nowMs(),
    });
    dropOldest(this.localRecords, MAX_LOCAL_RECORDS);
  }

  /** Records a run without a crash; returns true if crashes were attributed to the feature. */
  recordSurvival(contentKey: string): boolean {
    if (!this.localRecords.has(contentKey) && !this.fleetRecords.has(contentKey)) return false;
    this.quarantinedKeys = undefined;
    this.localRecords.delete(contentKey);
    this.clear(contentKey, this.lastChangeOf(contentKey));
    return true;
  }

  /** Returns a quarantined feature and the time until its trial is due, negative if it is. */
  private heldFeature(
    contentKey: string,
    otherEndpoints: ReadonlySet<string>,
  ): { readonly forMs: number; readonly feature: QuarantinedFeature } {
    const record = this.currentRecord(contentKey);
    const isExplainedByOthers = isExplained(record, otherEndpoints);
    const delayMs = trialDelayMs(contentKey, record, isExplainedByOthers);
    const forMs = record.receivedAtMs + delayMs - this.nowMs();
    const { crashes } = record;
    const isCause = !isExplainedByOthers && isConfirmed(record);
    return { forMs, feature: { contentKey, crashes, isConfirmed: isCause } };
  }

  private trialOf(contentKey: string): FeatureTrial {
    return { contentKey, trials: this.currentRecord(contentKey).trials };
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

  private quarantined(): readonly string[] {
    if (this.quarantinedKeys === undefined) {
      const keys = new Set([...this.fleetRecords.keys(), ...this.localRecords.keys()]);
      this.quarantinedKeys = [...keys].filter((key) => isQuarantined(this.currentRecord(key)));
    }
    return this.quarantinedKeys;
  }

  /** Returns the endpoints that crashed with quarantined features other than these. */
  private endpointsCrashedWithout(contentKeys: readonly string[]): ReadonlySet<string> {
    const others = this.quarantined().filter((key) => !contentKeys.includes(key));
    return new Set(others.flatMap((key) => this.currentRecord(key).crashedEndpoints ?? []));
  }

  private removeUnlisted(contentKeys: ReadonlySet<string>): void {
    for (const key of this.fleetRecords.keys())
      if (!contentKeys.has(key)) this.fleetRecords.delete(key);
  }
}

/** Time from the last change of a quarantined feature until its next trial is due. */
function trialDelayMs(
  contentKey: string,
  record: KnownRecord,
  isExplainedByOthers: boolean,
): number {
  const { trials } = record;
  if (isExplainedByOthers) {
    if (trials === 0) return 0;
    return Math.min(MAX_EXPLAINED_TRIAL_MS, EXPLAINED_TRIAL_MS * 2 ** (trials - 1));
  }
  if (isPartKey(contentKey) && !isConfirmed(record))
    return trials === 0 ? UNCONFIRMED_PART_MS : QUARANTINE_MS[0];
  return QUARANTINE_MS[trials] ?? MAX_QUARANTINE_MS;
}

function dropOldest(map: Map<string, unknown>, maxSize: number): void {
  const [oldest] = map.keys();
  if (map.size > maxSize && oldest !== undefined) map.delete(oldest);
}
