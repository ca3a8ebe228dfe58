/**
 * One entry's knowledge of the features of requests that crashed endpoints, and the time for which
 * each is quarantined. Times count from when the entry received a record, by its own monotonic clock.
 */
import { isCleared } from './crash-records.js';
import type { CrashChanges, FeatureTrial } from './crash-records.js';
import { isPartKey, unboundPartOf } from './feature-keys.js';
import {
  confirmingCrashes,
  countCrash,
  isConfirmed,
  isExplained,
  isQuarantined,
} from './quarantine-rule.js';
import type { CountedCrash, CrashCount } from './quarantine-rule.js';

/**
 * Quarantine before the next trial request, by the number of earlier trials; the last value applies
 * from then on. A minute suits a harmless, frequent content whose endpoints an outage stopped
 * twice; the later values allow for the time that the repair of a model takes.
 */
const QUARANTINE_MS = [60_000, 600_000, 7_200_000, 86_400_000] as const;
const MAX_QUARANTINE_MS = 86_400_000;
/** The same for a part that is confirmed, by the trials since; requests that differ confirmed it. */
const CONFIRMED_PART_MS = QUARANTINE_MS.slice(1);
/**
 * Quarantine until a trial decides about a part that is not confirmed, or a feature that is probably
 * sound: many requests may share it, and any of them can show whether it is the cause. The time
 * doubles with each trial that showed nothing.
 */
const UNDECIDED_MS = 1000;
const MAX_UNDECIDED_MS = 60_000;
/**
 * Additional time before the trial of a feature that was sound, by what else the request has: parts
 * that were not sound may be the cause, above all if endpoints crashed with them.
 */
const TRIAL_DELAY_MS = { sound: 0, unknown: 1000, suspected: 4000 } as const;
/** Time for which crashes below the quarantine threshold count against a feature. */
const SINGLE_CRASH_EXPIRY_MS = 3_600_000;
/** Maximum number of features recorded locally before the fleet's record includes them. */
const MAX_LOCAL_RECORDS = 512;
/** Time for which a run to the end speaks for a part whose requests crash endpoints afterwards. */
const SOUND_MEMORY_MS = 600_000;
/** Maximum number of parts whose runs to the end are remembered. */
const MAX_SOUND_PARTS = 2048;
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

/** Features that decide about requests with others. */
interface QuarantineIndex {
  /** Features that keep requests back and have crashed endpoints. */
  readonly featureKeys: readonly string[];
  /** Parts that are confirmed at some service and software version; see {@link unboundPartOf}. */
  readonly confirmedParts: ReadonlySet<string>;
}

/** Whether all parts of a prompt ran to the end not long ago, or else whether endpoints crashed with one. */
type Soundness = keyof typeof TRIAL_DELAY_MS;

/** What a request says about a feature that it has. */
interface RequestEvidence {
  /** Endpoints that crashed with each quarantined feature that the request lacks. */
  readonly crashesOfOthers: readonly (readonly string[])[];
  readonly soundness: Soundness;
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
  /** When parts last ran to the end at this entry, in that order. */
  private readonly soundAtMs = new Map<string, number>();
  /** Index of the quarantined features; undefined after a change. */
  private cachedIndex: QuarantineIndex | undefined;

  constructor(nowMs: () => number) {
    this.nowMs = nowMs;
  }

  /** Whether no crash is attributed to any feature. */
  get isEmpty(): boolean {
    return this.fleetRecords.size === 0 && this.localRecords.size === 0;
  }

  /** Number of quarantined features. */
  get quarantinedCount(): number {
    return this.index.featureKeys.filter((key) => this.status([key]).kind === 'held').length;
  }

  /** Applies changes of the fleet's record; returns the keys of newly quarantined features. */
  applyChanges({ records, isWhole }: CrashChanges): string[] {
    const newlyQuarantined: string[] = [];
    this.cachedIndex = undefined;
    if (isWhole) this.removeUnlisted(new Set(records.map(({ contentKey }) => contentKey)));
    for (const { contentKey, ...record } of records) {
      const { crashes, number } = record;
      if (number <= this.lastChangeOf(contentKey)) continue;
      const wasQuarantined = isQuarantined(this.currentRecord(contentKey));
      const localCrashes = this.localRecords.get(contentKey)?.crashes ?? 0;
      if (crashes === 0 || crashes >= localCrashes) this.localRecords.delete(contentKey);
      if (isCleared(record)) this.clear(contentKey, number);
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
    const [first, ...further] = contentKeys.filter((key) => this.isHeld(key));
    if (first === undefined) return { kind: 'free' };
    const request = {
      crashesOfOthers: this.crashesOfOthers(contentKeys),
      soundness: this.soundnessOf(contentKeys),
    };
    let last = this.heldFeature(first, request);
    for (const key of further) {
      const held = this.heldFeature(key, request);
      if (held.forMs > last.forMs) last = held;
    }
    if (last.forMs > 0) return { kind: 'held', ...last };
    return { kind: 'trialDue', trials: this.trialsOf([first, ...further]) };
  }

  /** Records a crash that this entry observed, before the fleet's record includes it. */
  recordCrash(contentKey: string, crash: CountedCrash): void {
    const known = this.currentRecord(contentKey);
    const counted = countCrash(known, crash);
    if (counted === undefined) return;
    this.cachedIndex = undefined;
    const { trials } = known;
    this.localRecords.set(contentKey, {
      ...counted,
      trials,
      number: 0,
      receivedAtMs: this.nowMs(),
    });
    dropOldest(this.localRecords, MAX_LOCAL_RECORDS);
  }

  /** Whether a part has run to the end at this entry not long ago. */
  wasSound(contentKey: string): boolean {
    const atMs = this.soundAtMs.get(contentKey);
    return atMs !== undefined && this.nowMs() - atMs <= SOUND_MEMORY_MS;
  }

  /** Records a run without a crash; returns true if crashes were attributed to the feature. */
  recordSurvival(contentKey: string): boolean {
    if (isPartKey(contentKey)) this.rememberSound(contentKey);
    if (!this.localRecords.has(contentKey) && !this.fleetRecords.has(contentKey)) return false;
    this.cachedIndex = undefined;
    this.localRecords.delete(contentKey);
    this.clear(contentKey, this.lastChangeOf(contentKey));
    return true;
  }

  /**
   * Whether a feature keeps requests back: it is quarantined, or is a part that crashes endpoints of
   * another service or software version and has not run to the end at this one.
   */
  private isHeld(contentKey: string): boolean {
    const record = this.currentRecord(contentKey);
    if (isQuarantined(record)) return true;
    if (!this.isConfirmedElsewhere(contentKey)) return false;
    return record.crashes > 0 || !(this.cleared.has(contentKey) || this.wasSound(contentKey));
  }

  private isConfirmedElsewhere(contentKey: string): boolean {
    const part = unboundPartOf(contentKey);
    return part !== undefined && this.index.confirmedParts.has(part);
  }

  /** Returns a feature that is held, and the time until its trial is due, negative if it is. */
  private heldFeature(
    contentKey: string,
    { crashesOfOthers, soundness }: RequestEvidence,
  ): { readonly forMs: number; readonly feature: QuarantinedFeature } {
    const record = this.currentRecord(contentKey);
    const { crashes, trials, receivedAtMs } = record;
    const isProbablySound = crashes === 0 || isExplained(record, crashesOfOthers, trials);
    const hasEvidence = isConfirmed(record) || this.isConfirmedElsewhere(contentKey);
    const isCause = hasEvidence && !isProbablySound;
    const delayMs = isProbablySound
      ? undecidedMs(trials - 1)
      : quarantineMs(contentKey, record, isCause);
    const extraMs = record.wasSound === true && !isCause ? TRIAL_DELAY_MS[soundness] : 0;
    return {
      forMs: receivedAtMs + delayMs + extraMs - this.nowMs(),
      feature: { contentKey, crashes, isConfirmed: isCause },
    };
  }

  private soundnessOf(contentKeys: readonly string[]): Soundness {
    const others = contentKeys.filter((key) => {
      const isSound = this.wasSound(key) || this.currentRecord(key).wasSound === true;
      return isPartKey(key) && !isSound;
    });
    if (others.length === 0) return 'sound';
    return others.some((key) => this.crashCountOf(key) > 0) ? 'suspected' : 'unknown';
  }

  /** Returns the trials that a request begins: of the features that were not sound, if there are any. */
  private trialsOf(
    held: readonly [string, ...string[]],
  ): readonly [FeatureTrial, ...FeatureTrial[]] {
    const [first, ...further] = held.filter((key) => this.currentRecord(key).wasSound !== true);
    if (first !== undefined)
      return [this.trialOf(first), ...further.map((key) => this.trialOf(key))];
    const [firstSound, ...furtherSound] = held;
    return [this.trialOf(firstSound), ...furtherSound.map((key) => this.trialOf(key))];
  }

  private trialOf(contentKey: string): FeatureTrial {
    const { crashes, trials } = this.currentRecord(contentKey);
    return { contentKey, trials, ...(crashes === 0 ? { isUntested: true } : {}) };
  }

  private rememberSound(contentKey: string): void {
    this.soundAtMs.delete(contentKey);
    this.soundAtMs.set(contentKey, this.nowMs());
    dropOldest(this.soundAtMs, MAX_SOUND_PARTS);
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
    // The number of trials has to stay known, or no further one would be permitted.
    if (isQuarantined(known) || known.trials > 0) return false;
    return this.nowMs() - known.receivedAtMs > SINGLE_CRASH_EXPIRY_MS;
  }

  private get index(): QuarantineIndex {
    this.cachedIndex ??= this.createIndex();
    return this.cachedIndex;
  }

  private createIndex(): QuarantineIndex {
    const keys = new Set([...this.fleetRecords.keys(), ...this.localRecords.keys()]);
    const suspected = [...keys].filter((key) => this.currentRecord(key).crashes > 0);
    const confirmed = suspected.filter((key) => isConfirmed(this.currentRecord(key)));
    const confirmedParts = new Set(confirmed.flatMap((key) => unboundPartOf(key) ?? []));
    const featureKeys = suspected.filter(
      (key) =>
        isQuarantined(this.currentRecord(key)) || confirmedParts.has(unboundPartOf(key) ?? ''),
    );
    return { featureKeys, confirmedParts };
  }

  /** Returns the endpoints that crashed with each quarantined feature that is not among these. */
  private crashesOfOthers(contentKeys: readonly string[]): (readonly string[])[] {
    const others = this.index.featureKeys.filter((key) => !contentKeys.includes(key));
    return others.map((key) => this.currentRecord(key).crashedEndpoints ?? []);
  }

  private removeUnlisted(contentKeys: ReadonlySet<string>): void {
    for (const key of this.fleetRecords.keys())
      if (!contentKeys.has(key)) this.fleetRecords.delete(key);
  }
}

/** Time from the last change of an undecided feature until its next trial; 0 before the first one. */
function undecidedMs(pastTrials: number): number {
  return pastTrials < 0 ? 0 : Math.min(MAX_UNDECIDED_MS, UNDECIDED_MS * 2 ** pastTrials);
}

/** Time from the last change of a quarantined feature until its next trial. */
function quarantineMs(contentKey: string, record: KnownRecord, isCause: boolean): number {
  const { trials } = record;
  if (!isPartKey(contentKey)) return QUARANTINE_MS[trials] ?? MAX_QUARANTINE_MS;
  if (!isCause) return undecidedMs(trials);
  // The trials before a part was confirmed do not count; those since have crashed an endpoint each.
  const pastTrials = Math.max(0, record.crashes - confirmingCrashes(record));
  return CONFIRMED_PART_MS[pastTrials] ?? MAX_QUARANTINE_MS;
}

function dropOldest(map: Map<string, unknown>, maxSize: number): void {
  const [oldest] = map.keys();
  if (map.size > maxSize && oldest !== undefined) map.delete(oldest);
}
