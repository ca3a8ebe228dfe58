/**
 * The fleet's record of features of requests that crashed endpoints: whole contents and parts of
 * prompts. It is part of a replicated state machine: it reads no clock, and the same commands in the
 * same order give the same record.
 */
import { match } from 'ts-pattern';
import { countCrash } from './quarantine-rule.js';
import type { CountedCrash, CrashCount } from './quarantine-rule.js';

/**
 * Maximum number of recorded features, cleared ones included; 100 to 500 B each. A crash adds a few
 * for each request that the endpoint ran, so this suffices for dozens of simultaneous crashes.
 */
const MAX_RECORDS = 2048;

/** A crash of an endpoint that ran a request with a feature. */
export interface FeatureCrash extends CountedCrash {
  /** Key of the feature; earlier versions know contents only. */
  readonly contentKey: string;
}

/** Command that records crashes of endpoints, and features of requests that ran without a crash. */
export interface RecordCrashes {
  readonly type: 'recordCrashes';
  readonly crashed: readonly FeatureCrash[];
  /** Keys of features of requests that ran without a crash. */
  readonly survived: readonly string[];
}

/** The next trial of a quarantined feature. */
export interface FeatureTrial {
  readonly contentKey: string;
  /** Number of earlier trials that the sender knows of. */
  readonly trials: number;
  /**
   * Whether the feature may have no record: it is a part that crashes endpoints of another service or
   * software version. Omitted and ignored by earlier versions.
   */
  readonly isUntested?: boolean;
}

/**
 * Command that begins a trial of a request with quarantined features; only one sender may begin each
 * trial of a feature.
 */
export interface BeginTrial extends FeatureTrial {
  readonly type: 'beginTrial';
  /** Further quarantined features of the request; omitted and ignored by earlier versions. */
  readonly further?: readonly FeatureTrial[];
}

/** Any command that changes the record. */
export type CrashCommand = RecordCrashes | BeginTrial;

/** Record of one feature; without crashes and trials if it was cleared. */
export interface CrashRecord extends CrashCount {
  readonly contentKey: string;
  /** Trials that were begun since the feature was first quarantined. */
  readonly trials: number;
  /** Number of the last change of this record. */
  readonly number: number;
}

/** Changes that a reader lacks. */
export interface CrashChanges {
  /** Number of the newest change. */
  readonly number: number;
  readonly records: readonly CrashRecord[];
  /** Whether `records` is the complete record: features that it lacks were removed. */
  readonly isWhole: boolean;
}

/** Serializable form, for snapshots. */
export interface CrashRecordsData {
  readonly number: number;
  readonly forgottenNumber: number;
  readonly records: readonly CrashRecord[];
}

/** Records of features, by key. */
export class CrashRecords {
  private number = 0;
  /** Number of the newest change of a removed record. */
  private forgottenNumber = 0;
  /** Records by feature key, in the order of their last change. */
  private records = new Map<string, CrashRecord>();

  /** Number of the newest change. */
  get position(): number {
    return this.number;
  }

  /** Applies a command; returns whether the record changed. */
  apply(command: CrashCommand): boolean {
    return match(command)
      .with({ type: 'recordCrashes' }, (c) => this.record(c))
      .with({ type: 'beginTrial' }, (c) => this.beginTrial(c))
      .exhaustive();
  }

  /** Returns the changes that a reader lacks which knows all changes up to `number`. */
  changesSince(number: number): CrashChanges {
    const isWhole = number < this.forgottenNumber;
    const all = [...this.records.values()];
    const records = isWhole ? all : all.filter((record) => record.number > number);
    return { number: this.number, records, isWhole };
  }

  /** Returns the serializable form. */
  toData(): CrashRecordsData {
    const { number, forgottenNumber } = this;
    return { number, forgottenNumber, records: [...this.records.values()] };
  }

  /** Replaces the present content by that of a snapshot; undefined means an empty record. */
  restore(data: CrashRecordsData | undefined): void {
    this.number = data?.number ?? 0;
    this.forgottenNumber = data?.forgottenNumber ?? 0;
    this.records = new Map(data?.records.map((record) => [record.contentKey, record]));
  }

  private record({ crashed, survived }: RecordCrashes): boolean {
    const before = this.number;
    for (const { contentKey, ...crash } of crashed) {
      const known = this.records.get(contentKey);
      const counted = countCrash(known ?? { crashes: 0 }, crash);
      if (counted === undefined) continue;
      this.put({ contentKey, ...counted, trials: known?.trials ?? 0 });
    }
    for (const contentKey of survived) {
      const known = this.records.get(contentKey);
      if (known === undefined || isCleared(known)) continue;
      this.put({ contentKey, crashes: 0, trials: 0 });
    }
    return this.number !== before;
  }

  private beginTrial({
    contentKey: firstKey,
    trials: firstTrials,
    isUntested: isFirstUntested = false,
    further = [],
  }: BeginTrial): boolean {
    const first = { contentKey: firstKey, trials: firstTrials, isUntested: isFirstUntested };
    const begun = [first, ...further].map(({ contentKey, trials, isUntested = false }) => {
      const none = isUntested ? { contentKey, crashes: 0, trials: 0 } : undefined;
      return { trials, known: this.records.get(contentKey) ?? none };
    });
    if (begun.some(({ trials, known }) => known?.trials !== trials)) return false;
    for (const { trials, known } of begun)
      if (known !== undefined) this.put({ ...known, trials: trials + 1 });
    return true;
  }

  private put(change: Omit<CrashRecord, 'number'>): void {
    this.number += 1;
    this.records.delete(change.contentKey);
    this.records.set(change.contentKey, { ...change, number: this.number });
    if (this.records.size > MAX_RECORDS) this.evictOne();
  }

  /** Removes the oldest of the records with the fewest crashes. */
  private evictOne(): void {
    const all = [...this.records.values()];
    const fewest = all.reduce((min, { crashes }) => Math.min(min, crashes), Infinity);
    const evicted = all.find(({ crashes }) => crashes === fewest);
    if (evicted === undefined) return;
    this.records.delete(evicted.contentKey);
    this.forgottenNumber = Math.max(this.forgottenNumber, evicted.number);
  }
}

/** Whether a request with the feature ran to its end after the last crash or trial. */
export function isCleared({ crashes, trials }: Pick<CrashRecord, 'crashes' | 'trials'>): boolean {
  return crashes === 0 && trials === 0;
}
