/**
 * A job that was submitted whole. Bodies and results are stored in files; memory holds a few bytes
 * per item.
 */
import { crc32 } from 'node:zlib';
import { pack, unpack } from 'msgpackr';
import { RECORD_ALIGNMENT_BYTES } from '@shedline/storage';
import type { ItemFiles } from '@shedline/storage';
import type { FinalItemState, ItemProgress, SubmitJob, SubmittedItem } from './commands.js';

/**
 * Number of consecutive endpoint crashes that are remembered of an item. One whose crashes an entry of
 * an earlier version reports is given up after as many.
 */
const MAX_CONSECUTIVE_CRASHES = 3;
/**
 * Number of consecutive endpoint crashes, beside other items or not, after which an item is
 * suspected and runs alone. After one crash, only the items that had brought no event are
 * suspected: most items at the endpoint are harmless, and running each alone costs capacity.
 */
const CRASHES_BEFORE_SUSPICION = 2;
/**
 * Progress between two crashes, in events, above which the count restarts: an item that crashes its
 * endpoint does so at the same position again. Corresponds to about a third of a second of a run.
 */
export const MIN_PROGRESS_EVENTS = 16;

/** Immutable properties of a job. */
export interface JobIdentity {
  readonly jobId: string;
  readonly host: string;
  readonly path: string;
  /** Key by which entries request its items; undefined for jobs of earlier versions. */
  readonly routeKey?: string;
  /** Name of the route that accepted it; undefined for jobs of earlier versions. */
  readonly routeName?: string;
  /** Version of the configuration under which it was accepted; undefined as above. */
  readonly configurationVersion?: number;
  /** Undefined if its route requires no API key. */
  readonly workspace?: string;
  /** Whether its route required no API key; undefined for jobs of earlier versions. */
  readonly isPublic?: boolean;
  readonly quotaKey: string;
  readonly maxAttempts: number;
  /** Wall clock of the leader that accepted it. */
  readonly submittedAtMs: number;
  readonly resultsDueMs: number;
  readonly keepItemsMs: number;
  /** Base name of its files. */
  readonly fileName: string;
}

/** Result of one item. */
export interface JobResult {
  readonly itemId: string;
  readonly state: FinalItemState;
  readonly text: string;
}

/** Serialized form of a job in a snapshot. */
export interface JobRecordData {
  readonly identity: JobIdentity;
  readonly isEnded: boolean;
  readonly itemUnits: readonly number[];
  readonly itemTokens: readonly number[];
  readonly itemHashes: readonly number[];
  readonly bodyBytes: number;
  readonly resultBytes: number;
  /** Item index and alignment unit of the result record, by position. */
  readonly listed: readonly (readonly [number, number])[];
  readonly failedRuns: readonly (readonly [number, readonly string[]])[];
  /** Item index, alignment unit of the record and number of events of saved progress. */
  readonly progress: readonly (readonly [number, number, number])[];
  /**
   * Item index, ids of the runs in which an endpoint crashed, and number of events at the last
   * crash; omitted by earlier versions.
   */
  readonly crashes?: readonly (readonly [number, readonly string[], number])[];
  /** The same for crashes beside other items; omitted by earlier versions. */
  readonly sharedCrashes?: readonly (readonly [number, readonly string[], number])[];
  /**
   * Item index, and number of events at the last crash beside other items before any event of the
   * run; omitted by earlier versions.
   */
  readonly unbegunCrashes?: readonly (readonly [number, number])[];
}

/** Endpoint crashes during runs of an item, without sufficient progress between them. */
interface ConsecutiveCrashes {
  readonly runIds: readonly string[];
  readonly eventCount: number;
}

/** A job with its items. */
export class JobRecord {
  readonly identity: JobIdentity;
  private readonly files: ItemFiles;
  private ended = false;
  private itemUnits = new Uint32Array(0);
  private itemTokens = new Uint32Array(0);
  private itemHashes = new Uint32Array(0);
  private hasResult = new Uint8Array(0);
  private resultEntries: [number, number][] = [];
  private readonly failedRuns = new Map<number, string[]>();
  private readonly progress = new Map<number, { unit: number; eventCount: number }>();
  /** Crashes as reported by entries of earlier versions, of runs without other items. */
  private readonly crashes = new Map<number, ConsecutiveCrashes>();
  /** Crashes in runs, which do not end the item. */
  private readonly sharedCrashes = new Map<number, ConsecutiveCrashes>();
  /** Number of events at the last shared crash before any event of the run, by item. */
  private readonly unbegunCrashes = new Map<number, number>();
  private bodyBytes = 0;
  private resultBytes = 0;
  private unfinishedTokens = 0;

  private constructor(identity: JobIdentity, files: ItemFiles) {
    this.identity = identity;
    this.files = files;
  }

  /** Creates a job from its submission and stores its items. */
  static fromSubmission(command: SubmitJob, fileName: string, files: ItemFiles): JobRecord {
    const { jobId, host, path, quotaKey, maxAttempts, resultsDueMs, keepItemsMs } = command;
    const { routeKey = quotaKey, routeName, configurationVersion, workspace, isPublic } = command;
    const rules = {
      routeKey,
      ...(routeName === undefined ? {} : { routeName }),
      ...(configurationVersion === undefined ? {} : { configurationVersion }),
      ...(workspace === undefined ? {} : { workspace }),
      ...(isPublic === undefined ? {} : { isPublic }),
      quotaKey,
      maxAttempts,
      resultsDueMs,
      keepItemsMs,
    };
    const submittedAtMs = command.atMs;
    const job = new JobRecord({ jobId, host, path, ...rules, submittedAtMs, fileName }, files);
    job.storeItems(command.items);
    return job;
  }

  /** Wall-clock time at which its results are due. */
  get dueAtMs(): number {
    return this.identity.submittedAtMs + this.identity.resultsDueMs;
  }

  /** Key by which entries request its items; jobs of earlier versions have only a quota key. */
  get routeKey(): string {
    return this.identity.routeKey ?? this.identity.quotaKey;
  }

  /** Number of items. */
  get total(): number {
    return this.itemUnits.length;
  }

  /** Number of results so far. */
  get resultCount(): number {
    return this.resultEntries.length;
  }

  /** Whether the job was ended by command. */
  get isEnded(): boolean {
    return this.ended;
  }

  /** Whether items may still run. */
  get isOpen(): boolean {
    return !this.ended && this.resultEntries.length < this.total;
  }

  /** Tokens of the items that may still run. */
  get waitingTokens(): number {
    return this.ended ? 0 : this.unfinishedTokens;
  }

  /** Whether an item may still run. */
  mayRun(index: number): boolean {
    return !this.ended && index < this.total && this.hasResult[index] === 0;
  }

  /** Indexes of the items that may still run. */
  *openIndexes(): Generator<number> {
    for (let index = 0; index < this.total; index += 1) {
      if (this.mayRun(index)) yield index;
    }
  }

  /** Reads an item as submitted. */
  item(index: number): SubmittedItem {
    const offset = (this.itemUnits[index] ?? 0) * RECORD_ALIGNMENT_BYTES;
    return unpack(this.files.readRecord(this.bodyFile, offset)) as SubmittedItem;
  }

  /** Returns the item with this id; undefined if there is none. */
  findItem(itemId: string): SubmittedItem | undefined {
    const hash = crc32(itemId);
    for (let index = 0; index < this.total; index += 1) {
      if (this.itemHashes[index] !== hash) continue;
      const item = this.item(index);
      if (item.itemId === itemId) return item;
    }
    return undefined;
  }

  /** Returns the result at a position. */
  resultAt(position: number): JobResult | undefined {
    const entry = this.resultEntries[position];
    if (entry === undefined) return undefined;
    const offset = entry[1] * RECORD_ALIGNMENT_BYTES;
    return unpack(this.files.readRecord(this.resultFile, offset)) as JobResult;
  }

  /** Saves the progress of an item if it exceeds what is saved. */
  saveProgress(index: number, progress: ItemProgress): void {
    const eventCount = progress.pieces.length;
    if (!this.mayRun(index) || eventCount <= this.eventCount(index)) return;
    const unit = this.resultBytes / RECORD_ALIGNMENT_BYTES;
    this.resultBytes = this.files.writeRecord(this.resultFile, this.resultBytes, pack(progress));
    this.progress.set(index, { unit, eventCount });
  }

  /** Number of events in the saved progress of an item. */
  eventCount(index: number): number {
    return this.progress.get(index)?.eventCount ?? 0;
  }

  /** Returns the saved progress of an item; undefined if it has to start from the beginning. */
  progressOf(index: number): ItemProgress | undefined {
    const saved = this.progress.get(index);
    if (saved === undefined) return undefined;
    const offset = saved.unit * RECORD_ALIGNMENT_BYTES;
    return unpack(this.files.readRecord(this.resultFile, offset)) as ItemProgress;
  }

  /** Stores a result if the item has none yet. */
  finish(index: number, state: FinalItemState, text: string): boolean {
    if (!this.mayRun(index)) return false;
    const result: JobResult = { itemId: this.item(index).itemId, state, text };
    const unit = this.resultBytes / RECORD_ALIGNMENT_BYTES;
    // The result is listed once it is written: a failed write must leave none that cannot be read.
    this.resultBytes = this.files.writeRecord(this.resultFile, this.resultBytes, pack(result));
    this.resultEntries.push([index, unit]);
    this.hasResult[index] = 1;
    this.unfinishedTokens -= this.itemTokens[index] ?? 0;
    this.failedRuns.delete(index);
    this.progress.delete(index);
    this.crashes.delete(index);
    this.sharedCrashes.delete(index);
    this.unbegunCrashes.delete(index);
    return true;
  }

  /** Counts a failed run once per run id; gives the item up after too many. */
  countFailure(index: number, runId: string): void {
    if (!this.mayRun(index)) return;
    const runIds = this.failedRuns.get(index) ?? [];
    if (runIds.includes(runId)) return;
    runIds.push(runId);
    this.failedRuns.set(index, runIds);
    if (runIds.length >= this.identity.maxAttempts) this.finish(index, 'errored', '');
  }

  /** Number of endpoint crashes during runs of an item since its last sufficient progress. */
  crashCount(index: number): number {
    const eventCount = this.eventCount(index);
    const alone = consecutiveCount(this.crashes.get(index), eventCount);
    return alone + consecutiveCount(this.sharedCrashes.get(index), eventCount);
  }

  /** Identifies the crashes counted for an item, so that a further one can be told. */
  crashMarker(index: number): string {
    const alone = this.crashes.get(index)?.runIds.at(-1) ?? '';
    const shared = this.sharedCrashes.get(index)?.runIds.at(-1) ?? '';
    return `${alone} ${shared}`;
  }

  /** Whether an item is suspected of crashing endpoints, and must not run beside other items. */
  mustRunAlone(index: number): boolean {
    const unbegunAt = this.unbegunCrashes.get(index);
    const isUnbegun = unbegunAt !== undefined && !hasAdvanced(unbegunAt, this.eventCount(index));
    return isUnbegun || this.crashCount(index) >= CRASHES_BEFORE_SUSPICION;
  }

  /**
   * Counts a run whose endpoint crashed as an entry of an earlier version reports it, once per run
   * id; gives the item up after too many, as stores of that version do. The progress of the run must
   * have been saved before.
   */
  countCrash(index: number, runId: string): void {
    const count = this.addCrash(this.crashes, index, runId);
    if (count < MAX_CONSECUTIVE_CRASHES) return;
    this.finish(index, 'errored', `given up: ${count} endpoints ended while they ran it`);
  }

  /**
   * Counts a run whose endpoint crashed, once per run id. However many, such runs do not end the
   * item: a lost endpoint is no evidence against it.
   */
  countSharedCrash(index: number, runId: string, hasBegun: boolean): void {
    const count = this.addCrash(this.sharedCrashes, index, runId);
    if (count > 0 && !hasBegun) this.unbegunCrashes.set(index, this.eventCount(index));
  }

  /** Ends the job: items without a result no longer run. */
  end(): void {
    this.ended = true;
    this.crashes.clear();
    this.sharedCrashes.clear();
    this.unbegunCrashes.clear();
    this.failedRuns.clear();
    this.progress.clear();
  }

  /** Files of the job and the valid size of each. */
  fileSizes(): { file: string; sizeBytes: number }[] {
    return [
      { file: this.bodyFile, sizeBytes: this.bodyBytes },
      { file: this.resultFile, sizeBytes: this.resultBytes },
    ].filter(({ sizeBytes }) => sizeBytes > 0);
  }

  /** Releases its files, as the job is removed. */
  releaseFiles(): void {
    this.files.release(this.bodyFile);
    this.files.release(this.resultFile);
  }

  /** Returns the serialized form for a snapshot. */
  toData(): JobRecordData {
    return {
      identity: this.identity,
      isEnded: this.ended,
      itemUnits: [...this.itemUnits],
      itemTokens: [...this.itemTokens],
      itemHashes: [...this.itemHashes],
      bodyBytes: this.bodyBytes,
      resultBytes: this.resultBytes,
      listed: this.resultEntries,
      failedRuns: [...this.failedRuns],
      progress: [...this.progress].map(([index, saved]) => [index, saved.unit, saved.eventCount]),
      crashes: crashData(this.crashes),
      sharedCrashes: crashData(this.sharedCrashes),
      unbegunCrashes: [...this.unbegunCrashes],
    };
  }

  /** Rebuilds a job from its serialized form. */
  static fromData(data: JobRecordData, files: ItemFiles): JobRecord {
    const job = new JobRecord(data.identity, files);
    job.ended = data.isEnded;
    job.itemUnits = Uint32Array.from(data.itemUnits);
    job.itemTokens = Uint32Array.from(data.itemTokens);
    job.itemHashes = Uint32Array.from(data.itemHashes);
    job.hasResult = new Uint8Array(data.itemUnits.length);
    job.bodyBytes = data.bodyBytes;
    job.resultBytes = data.resultBytes;
    job.resultEntries = data.listed.map(([index, unit]) => [index, unit]);
    for (const [index] of job.resultEntries) job.hasResult[index] = 1;
    for (const [index, runIds] of data.failedRuns) job.failedRuns.set(index, [...runIds]);
    for (const [index, unit, eventCount] of data.progress) {
      job.progress.set(index, { unit, eventCount });
    }
    for (const [index, runIds, eventCount] of data.crashes ?? [])
      job.crashes.set(index, { runIds, eventCount });
    for (const [index, runIds, eventCount] of data.sharedCrashes ?? [])
      job.sharedCrashes.set(index, { runIds, eventCount });
    for (const [index, eventCount] of data.unbegunCrashes ?? [])
      job.unbegunCrashes.set(index, eventCount);
    for (const index of job.indexesWithoutResult())
      job.unfinishedTokens += job.itemTokens[index] ?? 0;
    return job;
  }

  /** Adds a crash unless its run is already counted; returns the number of consecutive ones. */
  private addCrash(counts: Map<number, ConsecutiveCrashes>, index: number, runId: string): number {
    if (!this.mayRun(index)) return 0;
    const previous = counts.get(index);
    if (previous?.runIds.includes(runId) === true) return 0;
    const eventCount = this.eventCount(index);
    const isConsecutive = previous !== undefined && !hasAdvanced(previous.eventCount, eventCount);
    const runIds = isConsecutive
      ? [...previous.runIds, runId].slice(-MAX_CONSECUTIVE_CRASHES)
      : [runId];
    counts.set(index, { runIds, eventCount });
    return runIds.length;
  }

  private get bodyFile(): string {
    return `${this.identity.fileName}.bodies`;
  }

  private get resultFile(): string {
    return `${this.identity.fileName}.texts`;
  }

  private *indexesWithoutResult(): Generator<number> {
    for (let index = 0; index < this.total; index += 1) {
      if (this.hasResult[index] === 0) yield index;
    }
  }

  private storeItems(items: readonly SubmittedItem[]): void {
    this.itemUnits = new Uint32Array(items.length);
    this.itemTokens = Uint32Array.from(items, (item) => item.tokens);
    this.itemHashes = Uint32Array.from(items, (item) => crc32(item.itemId));
    this.hasResult = new Uint8Array(items.length);
    for (const [index, item] of items.entries()) {
      this.itemUnits[index] = this.bodyBytes / RECORD_ALIGNMENT_BYTES;
      this.bodyBytes = this.files.writeRecord(this.bodyFile, this.bodyBytes, pack(item));
      this.unfinishedTokens += item.tokens;
    }
  }
}

/** Number of crashes that still count for an item with this number of events. */
function consecutiveCount(crashes: ConsecutiveCrashes | undefined, eventCount: number): number {
  if (crashes === undefined || hasAdvanced(crashes.eventCount, eventCount)) return 0;
  return crashes.runIds.length;
}

/** Whether an item has sufficient progress since a crash at `crashedAt` events. */
function hasAdvanced(crashedAt: number, eventCount: number): boolean {
  return eventCount - crashedAt > MIN_PROGRESS_EVENTS;
}

function crashData(
  counts: ReadonlyMap<number, ConsecutiveCrashes>,
): [number, readonly string[], number][] {
  return [...counts].map(([index, { runIds, eventCount }]) => [index, runIds, eventCount]);
}
