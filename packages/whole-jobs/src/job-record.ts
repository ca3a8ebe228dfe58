/**
 * One job that was submitted whole. Bodies and results live in files; memory holds a few bytes
 * an item.
 */
import { crc32 } from 'node:zlib';
import { pack, unpack } from 'msgpackr';
import { RECORD_ALIGNMENT_BYTES } from '@shedline/storage';
import type { ItemFiles } from '@shedline/storage';
import type { ItemEnd, ItemProgress, SubmitJob, SubmittedItem } from './commands.js';

/**
 * Endpoints that may end under an item in a row before it is given up. Each takes what it is at work on with it,
 * up to 8 requests of others; handed out again without end, one item ended 102 of 16 endpoints in 24 s.
 */
const MAX_CRASHES = 3;
/**
 * Events beyond which an item has got on between two ends, so that these do not follow from it: whatever ends
 * its endpoint does so at the same place again. About a third of a second of a run.
 */
const EVENTS_OF_PROGRESS = 16;

/** What stays the same over the life of a job. */
export interface JobIdentity {
  readonly jobId: string;
  readonly host: string;
  readonly path: string;
  /** Entries ask for its items by this. */
  readonly routeKey?: string;
  /** Undefined where its route asks for no key. */
  readonly workspace?: string;
  readonly quotaKey: string;
  readonly maxAttempts: number;
  /** Wall clock of the leader that accepted it. */
  readonly submittedAtMs: number;
  readonly resultsDueMs: number;
  readonly keepItemsMs: number;
  /** Stem of the names of its files. */
  readonly fileName: string;
}

/** One listed result. */
export interface JobResult {
  readonly itemId: string;
  readonly state: ItemEnd;
  readonly text: string;
}

/** Plain form of a job, for snapshots. */
export interface JobRecordData {
  readonly identity: JobIdentity;
  readonly isEnded: boolean;
  readonly itemUnits: readonly number[];
  readonly itemTokens: readonly number[];
  readonly itemHashes: readonly number[];
  readonly bodyBytes: number;
  readonly resultBytes: number;
  /** Index of the item and unit of its record, in the order of the positions. */
  readonly listed: readonly (readonly [number, number])[];
  readonly failedRuns: readonly (readonly [number, readonly string[]])[];
  /** Index of the item, unit of the record, and number of events, of what items have so far. */
  readonly progress: readonly (readonly [number, number, number])[];
  /** Index of the item, runs whose endpoints ended, and events by then; left out by earlier programs. */
  readonly crashes?: readonly (readonly [number, readonly string[], number])[];
}

/** Ends of endpoints in a row under an item that got no further between them. */
interface Crashes {
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
  private isListed = new Uint8Array(0);
  private listed: [number, number][] = [];
  private readonly failedRuns = new Map<number, string[]>();
  private readonly progress = new Map<number, { unit: number; eventCount: number }>();
  private readonly crashes = new Map<number, Crashes>();
  private bodyBytes = 0;
  private resultBytes = 0;
  private waiting = 0;

  private constructor(identity: JobIdentity, files: ItemFiles) {
    this.identity = identity;
    this.files = files;
  }

  /** A job as it was submitted. */
  static submitted(command: SubmitJob, fileName: string, files: ItemFiles): JobRecord {
    const { jobId, host, path, quotaKey, maxAttempts, resultsDueMs, keepItemsMs } = command;
    const { routeKey = quotaKey, workspace } = command;
    const owner = workspace === undefined ? {} : { workspace };
    const rules = { routeKey, ...owner, quotaKey, maxAttempts, resultsDueMs, keepItemsMs };
    const submittedAtMs = command.atMs;
    const job = new JobRecord({ jobId, host, path, ...rules, submittedAtMs, fileName }, files);
    job.storeItems(command.items);
    return job;
  }

  /** Wall clock at which its results are due. */
  get dueAtMs(): number {
    return this.identity.submittedAtMs + this.identity.resultsDueMs;
  }

  /** Entries ask for its items by this; jobs of earlier programs have their quota key only. */
  get routeKey(): string {
    return this.identity.routeKey ?? this.identity.quotaKey;
  }

  /** Number of items. */
  get total(): number {
    return this.itemUnits.length;
  }

  /** Number of results so far. */
  get listedCount(): number {
    return this.listed.length;
  }

  /** Whether its end was asked for. */
  get isEnded(): boolean {
    return this.ended;
  }

  /** Whether items may still run. */
  get isOpen(): boolean {
    return !this.ended && this.listed.length < this.total;
  }

  /** Tokens of the items that are not over. */
  get waitingTokens(): number {
    return this.ended ? 0 : this.waiting;
  }

  /** Whether an item may still run. */
  mayRun(index: number): boolean {
    return !this.ended && index < this.total && this.isListed[index] === 0;
  }

  /** Indexes of the items that may still run. */
  *openIndexes(): Generator<number> {
    for (let index = 0; index < this.total; index += 1) {
      if (this.mayRun(index)) yield index;
    }
  }

  /** An item as submitted. */
  item(index: number): SubmittedItem {
    const offset = (this.itemUnits[index] ?? 0) * RECORD_ALIGNMENT_BYTES;
    return unpack(this.files.readRecord(this.bodyFile, offset)) as SubmittedItem;
  }

  /** The item with this id; undefined where there is none. */
  findItem(itemId: string): SubmittedItem | undefined {
    const hash = crc32(itemId);
    for (let index = 0; index < this.total; index += 1) {
      if (this.itemHashes[index] !== hash) continue;
      const item = this.item(index);
      if (item.itemId === itemId) return item;
    }
    return undefined;
  }

  /** The result at a position. */
  resultAt(position: number): JobResult | undefined {
    const entry = this.listed[position];
    if (entry === undefined) return undefined;
    const offset = entry[1] * RECORD_ALIGNMENT_BYTES;
    return unpack(this.files.readRecord(this.resultFile, offset)) as JobResult;
  }

  /** Keeps how far an item got, if that is further than what is kept. */
  saveProgress(index: number, progress: ItemProgress): void {
    const eventCount = progress.pieces.length;
    if (!this.mayRun(index) || eventCount <= this.eventCount(index)) return;
    const unit = this.resultBytes / RECORD_ALIGNMENT_BYTES;
    this.resultBytes = this.files.writeRecord(this.resultFile, this.resultBytes, pack(progress));
    this.progress.set(index, { unit, eventCount });
  }

  /** Events that an item has so far. */
  eventCount(index: number): number {
    return this.progress.get(index)?.eventCount ?? 0;
  }

  /** How far an item got; undefined where it has to begin at its start. */
  progressOf(index: number): ItemProgress | undefined {
    const kept = this.progress.get(index);
    if (kept === undefined) return undefined;
    const offset = kept.unit * RECORD_ALIGNMENT_BYTES;
    return unpack(this.files.readRecord(this.resultFile, offset)) as ItemProgress;
  }

  /** Lists a result if the item has none yet. */
  finish(index: number, state: ItemEnd, text: string): boolean {
    if (!this.mayRun(index)) return false;
    const result: JobResult = { itemId: this.item(index).itemId, state, text };
    this.listed.push([index, this.resultBytes / RECORD_ALIGNMENT_BYTES]);
    this.resultBytes = this.files.writeRecord(this.resultFile, this.resultBytes, pack(result));
    this.isListed[index] = 1;
    this.waiting -= this.itemTokens[index] ?? 0;
    this.failedRuns.delete(index);
    this.progress.delete(index);
    this.crashes.delete(index);
    return true;
  }

  /** Counts a failed run once; gives the item up after too many. */
  countFailure(index: number, runId: string): void {
    if (!this.mayRun(index)) return;
    const runs = this.failedRuns.get(index) ?? [];
    if (runs.includes(runId)) return;
    runs.push(runId);
    this.failedRuns.set(index, runs);
    if (runs.length >= this.identity.maxAttempts) this.finish(index, 'errored', '');
  }

  /** Endpoints in a row that ended under an item. */
  crashCount(index: number): number {
    return this.crashes.get(index)?.runIds.length ?? 0;
  }

  /**
   * Counts a run whose endpoint ended, once; gives the item up after too many. What the run made has
   * been saved before.
   */
  countCrash(index: number, runId: string): void {
    if (!this.mayRun(index)) return;
    const known = this.crashes.get(index);
    if (known?.runIds.includes(runId) === true) return;
    const eventCount = this.eventCount(index);
    const gotOn = known === undefined || eventCount - known.eventCount > EVENTS_OF_PROGRESS;
    const runIds = gotOn ? [runId] : [...known.runIds, runId];
    this.crashes.set(index, { runIds, eventCount });
    if (runIds.length < MAX_CRASHES) return;
    this.finish(index, 'errored', `given up: ${runIds.length} endpoints ended while they ran it`);
  }

  /** Ends the job. */
  end(): void {
    this.ended = true;
    this.crashes.clear();
    this.failedRuns.clear();
    this.progress.clear();
  }

  /** Files and how much of each is valid. */
  fileSizes(): { file: string; sizeBytes: number }[] {
    return [
      { file: this.bodyFile, sizeBytes: this.bodyBytes },
      { file: this.resultFile, sizeBytes: this.resultBytes },
    ].filter(({ sizeBytes }) => sizeBytes > 0);
  }

  /** Removes its files. */
  removeFiles(): void {
    this.files.remove(this.bodyFile);
    this.files.remove(this.resultFile);
  }

  /** Plain form for a snapshot. */
  toData(): JobRecordData {
    return {
      identity: this.identity,
      isEnded: this.ended,
      itemUnits: [...this.itemUnits],
      itemTokens: [...this.itemTokens],
      itemHashes: [...this.itemHashes],
      bodyBytes: this.bodyBytes,
      resultBytes: this.resultBytes,
      listed: this.listed,
      failedRuns: [...this.failedRuns],
      progress: [...this.progress].map(([index, kept]) => [index, kept.unit, kept.eventCount]),
      crashes: [...this.crashes].map(([index, kept]) => [index, kept.runIds, kept.eventCount]),
    };
  }

  /** Rebuilds a job from its plain form. */
  static fromData(data: JobRecordData, files: ItemFiles): JobRecord {
    const job = new JobRecord(data.identity, files);
    job.ended = data.isEnded;
    job.itemUnits = Uint32Array.from(data.itemUnits);
    job.itemTokens = Uint32Array.from(data.itemTokens);
    job.itemHashes = Uint32Array.from(data.itemHashes);
    job.isListed = new Uint8Array(data.itemUnits.length);
    job.bodyBytes = data.bodyBytes;
    job.resultBytes = data.resultBytes;
    job.listed = data.listed.map(([index, unit]) => [index, unit]);
    for (const [index] of job.listed) job.isListed[index] = 1;
    for (const [index, runs] of data.failedRuns) job.failedRuns.set(index, [...runs]);
    for (const [index, unit, eventCount] of data.progress) {
      job.progress.set(index, { unit, eventCount });
    }
    for (const [index, runIds, eventCount] of data.crashes ?? []) {
      job.crashes.set(index, { runIds, eventCount });
    }
    for (const index of job.unlistedIndexes()) job.waiting += job.itemTokens[index] ?? 0;
    return job;
  }

  private get bodyFile(): string {
    return `${this.identity.fileName}.bodies`;
  }

  private get resultFile(): string {
    return `${this.identity.fileName}.texts`;
  }

  private *unlistedIndexes(): Generator<number> {
    for (let index = 0; index < this.total; index += 1) {
      if (this.isListed[index] === 0) yield index;
    }
  }

  private storeItems(items: readonly SubmittedItem[]): void {
    this.itemUnits = new Uint32Array(items.length);
    this.itemTokens = Uint32Array.from(items, (item) => item.tokens);
    this.itemHashes = Uint32Array.from(items, (item) => crc32(item.itemId));
    this.isListed = new Uint8Array(items.length);
    for (const [index, item] of items.entries()) {
      this.itemUnits[index] = this.bodyBytes / RECORD_ALIGNMENT_BYTES;
      this.bodyBytes = this.files.writeRecord(this.bodyFile, this.bodyBytes, pack(item));
      this.waiting += item.tokens;
    }
  }
}
