/**
 * A batch job: its upload, the states of its items and the location of their data.
 */
import { RECORD_ALIGNMENT_BYTES } from '@shedline/storage';
import type { ItemFiles } from '@shedline/storage';
import type { ItemState, JobCounts, JobState, JobView, PastDuePolicy } from '@shedline/types';
import { ItemTable } from './item-table.js';
import type { ItemTableData } from './item-table.js';

/** Number of endpoint losses during runs of an item after which the item fails. */
export const MAX_ENDPOINT_LOSSES = 3;
/** Maximum number of attempts of an item that fails with retryable errors. */
export const MAX_ATTEMPTS = 5;
const FIRST_BACKOFF_MS = 500;
const NOT_RUN_DELAY_MS = 1000;
/**
 * Maximum number of items ended per housekeeping step, so that a huge job does not stall others.
 */
const MAX_STOPPED_PER_STEP = 2000;
/** Maximum number of returned items scanned per grant for items that are ready. */
const RETURNED_SCAN_LIMIT = 256;

/** Immutable properties of a job. */
export interface JobIdentity {
  readonly jobId: string;
  readonly workspace: string;
  readonly service: string;
  readonly jobKey: string;
  readonly dueAtMs: number;
  readonly idempotent: boolean;
  readonly pastDue: PastDuePolicy;
  readonly createdAtMs: number;
  /** Base name of the job's files; unique even if the job is deleted and created again. */
  readonly fileName: string;
}

/** Retry state of an item that was returned. */
interface Attempts {
  /** Number of failed attempts. */
  attempts: number;
  endpointLosses: number;
  /** Earliest time of the next grant. */
  readyAtMs: number;
}

/** Serialized form of a {@link JobRecord} in a snapshot. */
export interface JobRecordData {
  readonly identity: JobIdentity;
  readonly state: JobState;
  readonly items: ItemTableData;
  readonly payloadBytes: number;
  readonly resultBytes: number;
  readonly recordFirsts: readonly number[];
  readonly recordOffsets: readonly number[];
  readonly cursor: number;
  readonly returned: readonly number[];
  readonly attempts: readonly [number, Attempts][];
  readonly duplicatesDropped: number;
  readonly finishedAtMs: number;
}

/** A job with its items. */
export class JobRecord {
  readonly identity: JobIdentity;
  state: JobState = 'open';
  duplicatesDropped = 0;
  finishedAtMs = 0;
  private items = new ItemTable();
  private payloadBytes = 0;
  private resultBytes = 0;
  /** Index of the first item of each payload record. */
  private recordFirsts: number[] = [];
  private recordOffsets: number[] = [];
  /** Index of the first item that was never leased. */
  private cursor = 0;
  private returned: number[] = [];
  private attempts = new Map<number, Attempts>();
  private readonly files: ItemFiles;
  private cachedRecord: { first: number; lines: string[] } | undefined;

  constructor(identity: JobIdentity, files: ItemFiles) {
    this.identity = identity;
    this.files = files;
  }

  /** Number of items received so far. */
  get received(): number {
    return this.items.length;
  }

  /** Number of items that are neither final nor leased. */
  get pendingCount(): number {
    return this.items.count('pending');
  }

  /** Number of items without a final state. */
  get openCount(): number {
    return this.pendingCount + this.items.count('leased') + this.items.count('started');
  }

  /** Memory used by the items, in bytes. */
  get memoryBytes(): number {
    return this.items.memoryBytes + 16 * this.recordFirsts.length;
  }

  /** Files of the job and the valid size of each. */
  fileSizes(): { file: string; sizeBytes: number }[] {
    return [
      { file: this.payloadFile, sizeBytes: this.payloadBytes },
      { file: this.resultFile, sizeBytes: this.resultBytes },
    ];
  }

  /** Appends items to those received. */
  appendItems(lines: readonly string[]): void {
    if (lines.length === 0) return;
    this.recordFirsts.push(this.items.length);
    this.recordOffsets.push(this.payloadBytes);
    const body = Buffer.from(lines.join('\n'));
    this.payloadBytes = this.files.writeRecord(this.payloadFile, this.payloadBytes, body);
    this.items.extend(lines.length);
  }

  /**
   * Returns the position of the first line that differs from the stored items from `fromIndex` on;
   * -1 if none.
   */
  firstDifference(fromIndex: number, lines: readonly string[]): number {
    return lines.findIndex((line, offset) => this.line(fromIndex + offset) !== line);
  }

  /** Returns the text of an item as received. */
  line(index: number): string {
    const cached = this.cachedRecord;
    const isCached =
      cached !== undefined && index >= cached.first && index < cached.first + cached.lines.length;
    const record = isCached ? cached : this.loadRecord(index);
    return record.lines[index - record.first] ?? '';
  }

  /** Ends the upload. */
  seal(): void {
    this.state = 'sealed';
    this.items.trim();
  }

  /** Marks up to `maxItems` pending items as leased and returns their indexes. */
  leaseItems(maxItems: number, nowMs: number): number[] {
    const leased = this.leaseReturned(maxItems, nowMs);
    while (leased.length < maxItems && this.cursor < this.items.length) {
      const index = this.cursor;
      this.cursor += 1;
      if (this.items.state(index) !== 'pending') continue;
      this.items.setState(index, 'leased');
      leased.push(index);
    }
    return leased;
  }

  /** Returns the state of an item. */
  itemState(index: number): ItemState {
    return this.items.state(index);
  }

  /** Number of the current or next attempt of an item, from 1. */
  attemptNumber(index: number): number {
    return (this.attempts.get(index)?.attempts ?? 0) + 1;
  }

  /** Whether the item is suspected of crashing endpoints. */
  mustRunAlone(index: number): boolean {
    return (this.attempts.get(index)?.endpointLosses ?? 0) > 0;
  }

  /** Marks a leased item as about to be sent; returns false if it may not be sent. */
  start(index: number): boolean {
    if (this.items.state(index) !== 'leased') return false;
    this.items.setState(index, 'started');
    return true;
  }

  /** Stores a result if it is the first for its item. */
  finish(index: number, state: ItemState, body: string, nowMs: number): boolean {
    if (index >= this.items.length || !this.acceptsResult(index, nowMs)) {
      this.duplicatesDropped += 1;
      return false;
    }
    if (this.items.state(index) === 'inDoubt' && state === 'inDoubt') return false;
    this.items.setResultUnit(index, 1 + this.resultBytes / RECORD_ALIGNMENT_BYTES);
    const bytes = Buffer.from(body);
    this.resultBytes = this.files.writeRecord(this.resultFile, this.resultBytes, bytes);
    this.items.setState(index, state);
    this.attempts.delete(index);
    this.completeIfDone(nowMs);
    return true;
  }

  /** Returns a leased or started item to the queue of pending items. */
  requeue(index: number, options: { readonly readyAtMs: number }): void {
    const state = this.items.state(index);
    if (state !== 'leased' && state !== 'started') return;
    this.items.setState(index, 'pending');
    this.returned.push(index);
    if (options.readyAtMs > 0) this.attemptsEntry(index).readyAtMs = options.readyAtMs;
  }

  /** Requeues an item of which no byte reached an endpoint. */
  requeueNotRun(index: number, nowMs: number): void {
    this.requeue(index, { readyAtMs: nowMs + NOT_RUN_DELAY_MS });
  }

  /** Requeues an item with backoff after a retryable failure; fails it after too many attempts. */
  recordFailure(index: number, nowMs: number, isEndpointLoss: boolean, cause: string): void {
    const state = this.items.state(index);
    if (state !== 'leased' && state !== 'started') return;
    const entry = this.attemptsEntry(index);
    entry.attempts += 1;
    if (isEndpointLoss) entry.endpointLosses += 1;
    const isExhausted =
      entry.endpointLosses >= MAX_ENDPOINT_LOSSES || entry.attempts >= MAX_ATTEMPTS;
    if (isExhausted) {
      const message = `gave up after ${entry.attempts} attempts: ${cause}`;
      this.finish(index, 'failed', failureBody(message, entry.attempts), nowMs);
      return;
    }
    const backoffMs = FIRST_BACKOFF_MS * 2 ** (entry.attempts - 1);
    this.requeue(index, { readyAtMs: nowMs + backoffMs });
  }

  /**
   * Handles an item that its holder no longer runs: a leased item is requeued; a started item may
   * have been sent and may not be retried, so it is in doubt.
   */
  requeueOrMarkInDoubt(index: number, nowMs: number): void {
    const state = this.items.state(index);
    if (state === 'leased') this.requeue(index, { readyAtMs: 0 });
    if (state === 'started') {
      this.finish(index, 'inDoubt', failureBody('sent, but no answer came', 1), nowMs);
    }
  }

  /** Cancels the job; started items may have been sent and are in doubt. */
  cancel(nowMs: number): void {
    this.state = 'cancelled';
    this.finishedAtMs = nowMs;
    for (let index = 0; index < this.items.length; index += 1) {
      const state = this.items.state(index);
      if (state === 'pending' || state === 'leased') this.items.setState(index, 'cancelled');
      if (state === 'started') this.requeueOrMarkInDoubt(index, nowMs);
    }
    this.clearQueues();
  }

  /** Fails pending items of a job past due, up to {@link MAX_STOPPED_PER_STEP}. */
  stopPastDue(nowMs: number): void {
    let ended = 0;
    for (let index = 0; index < this.items.length && ended < MAX_STOPPED_PER_STEP; index += 1) {
      if (this.items.state(index) !== 'pending') continue;
      this.finish(index, 'failed', failureBody('the job was past its due time', 0), nowMs);
      ended += 1;
    }
  }

  /** Returns the text of the result of an item; undefined if it has none. */
  result(index: number): string | undefined {
    const unit = this.items.resultUnit(index);
    if (unit === 0) return undefined;
    const offset = (unit - 1) * RECORD_ALIGNMENT_BYTES;
    return this.files.readRecord(this.resultFile, offset).toString();
  }

  /** Returns the job as reported to callers. */
  view(predictedLate: boolean): JobView {
    const { jobId, workspace, service, jobKey, dueAtMs, idempotent } = this.identity;
    return {
      jobId,
      workspace,
      service,
      jobKey,
      state: this.state,
      dueAtMs,
      idempotent,
      received: this.received,
      counts: this.counts(),
      duplicatesDropped: this.duplicatesDropped,
      predictedLate,
    };
  }

  /** Returns the serialized form for a snapshot. */
  toData(): JobRecordData {
    return {
      identity: this.identity,
      state: this.state,
      items: this.items.toData(),
      payloadBytes: this.payloadBytes,
      resultBytes: this.resultBytes,
      recordFirsts: this.recordFirsts,
      recordOffsets: this.recordOffsets,
      cursor: this.cursor,
      returned: this.returned,
      attempts: [...this.attempts],
      duplicatesDropped: this.duplicatesDropped,
      finishedAtMs: this.finishedAtMs,
    };
  }

  /** Rebuilds a job from its serialized form. */
  static fromData(data: JobRecordData, files: ItemFiles): JobRecord {
    const job = new JobRecord(data.identity, files);
    job.state = data.state;
    job.items = ItemTable.fromData(data.items);
    job.payloadBytes = data.payloadBytes;
    job.resultBytes = data.resultBytes;
    job.recordFirsts = [...data.recordFirsts];
    job.recordOffsets = [...data.recordOffsets];
    job.cursor = data.cursor;
    job.returned = [...data.returned];
    job.attempts = new Map(data.attempts);
    job.duplicatesDropped = data.duplicatesDropped;
    job.finishedAtMs = data.finishedAtMs;
    return job;
  }

  private get payloadFile(): string {
    return `${this.identity.fileName}.items`;
  }

  private get resultFile(): string {
    return `${this.identity.fileName}.results`;
  }

  private counts(): JobCounts {
    return {
      total: this.items.length,
      completed: this.items.count('completed'),
      failed: this.items.count('failed'),
      cancelled: this.items.count('cancelled'),
      inDoubt: this.items.count('inDoubt'),
      pending: this.openCount,
    };
  }

  /**
   * Whether a result is accepted: final items accept none, except that items in doubt accept one
   * until the due time.
   */
  private acceptsResult(index: number, nowMs: number): boolean {
    const state = this.items.state(index);
    if (state === 'inDoubt') return nowMs < this.identity.dueAtMs;
    return state === 'pending' || state === 'leased' || state === 'started';
  }

  private completeIfDone(nowMs: number): void {
    if (this.state !== 'sealed' || this.openCount > 0) return;
    this.state = 'completed';
    this.finishedAtMs = nowMs;
    this.clearQueues();
  }

  private clearQueues(): void {
    this.returned = [];
    this.attempts.clear();
    this.cachedRecord = undefined;
  }

  private attemptsEntry(index: number): Attempts {
    const existing = this.attempts.get(index);
    if (existing !== undefined) return existing;
    const created: Attempts = { attempts: 0, endpointLosses: 0, readyAtMs: 0 };
    this.attempts.set(index, created);
    return created;
  }

  private leaseReturned(maxItems: number, nowMs: number): number[] {
    const leased: number[] = [];
    const remaining: number[] = [];
    const scanned = this.returned.splice(0, RETURNED_SCAN_LIMIT);
    for (const index of scanned) {
      if (this.items.state(index) !== 'pending') continue;
      const isReady = (this.attempts.get(index)?.readyAtMs ?? 0) <= nowMs;
      if (!isReady || leased.length >= maxItems) {
        remaining.push(index);
        continue;
      }
      this.items.setState(index, 'leased');
      leased.push(index);
    }
    // Remaining items move to the end, so that the scan limit does not hide ready items
    // permanently.
    this.returned.push(...remaining);
    return leased;
  }

  private loadRecord(index: number): { first: number; lines: string[] } {
    let low = 0;
    let high = this.recordFirsts.length - 1;
    while (low < high) {
      const middle = Math.ceil((low + high) / 2);
      if ((this.recordFirsts[middle] ?? 0) <= index) low = middle;
      else high = middle - 1;
    }
    const body = this.files.readRecord(this.payloadFile, this.recordOffsets[low] ?? 0);
    const record = { first: this.recordFirsts[low] ?? 0, lines: body.toString().split('\n') };
    this.cachedRecord = record;
    return record;
  }
}

function failureBody(message: string, attempts: number): string {
  return JSON.stringify({ type: 'endpoint_failed', message, attempts });
}
