/**
 * One batch job: its upload, the states of its items and where their bytes are.
 */
import { RECORD_ALIGNMENT_BYTES } from '@shedline/storage';
import type { ItemFiles } from '@shedline/storage';
import type { ItemState, JobCounts, JobState, JobView, PastDuePolicy } from '@shedline/types';
import { ItemTable } from './item-table.js';
import type { ItemTableData } from './item-table.js';

/** Times that an item may end with its endpoint before it counts as failed. */
export const MAX_ENDPOINT_LOSSES = 3;
/** Attempts at an item that fails in a way that may pass. */
export const MAX_ATTEMPTS = 5;
const FIRST_BACKOFF_MS = 500;
const NOT_RUN_BACKOFF_MS = 1000;
/** Items ended by one housekeeping step, so that a huge job does not stall the others. */
const MAX_STOPPED_AT_ONCE = 2000;
/** Returned items looked at for one that is ready. */
const RETURNED_SCAN_LIMIT = 256;

/** What a job is created with. */
export interface JobIdentity {
  readonly jobId: string;
  readonly workspace: string;
  readonly service: string;
  readonly jobKey: string;
  readonly dueAtMs: number;
  readonly idempotent: boolean;
  readonly pastDue: PastDuePolicy;
  readonly createdAtMs: number;
  /** Base name of the job's files; unique even if the job is forgotten and made again. */
  readonly fileName: string;
}

/** Attempts at an item that did not go smoothly. */
interface Attempts {
  attempts: number;
  endpointLosses: number;
  readyAtMs: number;
}

/** The plain form of a {@link JobRecord} in a snapshot. */
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

/** One job with its items. */
export class JobRecord {
  readonly identity: JobIdentity;
  state: JobState = 'open';
  duplicatesDropped = 0;
  finishedAtMs = 0;
  private items = new ItemTable();
  private payloadBytes = 0;
  private resultBytes = 0;
  /** First item and offset of each payload record. */
  private recordFirsts: number[] = [];
  private recordOffsets: number[] = [];
  /** First item never handed out. */
  private cursor = 0;
  private returned: number[] = [];
  private attempts = new Map<number, Attempts>();
  private readonly files: ItemFiles;
  private cachedRecord: { first: number; lines: string[] } | undefined;

  constructor(identity: JobIdentity, files: ItemFiles) {
    this.identity = identity;
    this.files = files;
  }

  /** Items received so far. */
  get received(): number {
    return this.items.length;
  }

  /** Items that are neither final nor handed out. */
  get pendingCount(): number {
    return this.items.count('pending');
  }

  /** Items without a final state. */
  get openCount(): number {
    return this.pendingCount + this.items.count('leased') + this.items.count('started');
  }

  /** Bytes of memory for the items. */
  get memoryBytes(): number {
    return this.items.memoryBytes + 16 * this.recordFirsts.length;
  }

  /** Files of the job and how much of each is valid. */
  fileSizes(): { file: string; sizeBytes: number }[] {
    return [
      { file: this.payloadFile, sizeBytes: this.payloadBytes },
      { file: this.resultFile, sizeBytes: this.resultBytes },
    ];
  }

  /** Adds items behind those received. */
  appendItems(lines: readonly string[]): void {
    if (lines.length === 0) return;
    this.recordFirsts.push(this.items.length);
    this.recordOffsets.push(this.payloadBytes);
    const body = Buffer.from(lines.join('\n'));
    this.payloadBytes = this.files.writeRecord(this.payloadFile, this.payloadBytes, body);
    this.items.extend(lines.length);
  }

  /** The first of `lines` that differs from what is stored from `fromIndex` on; -1: none. */
  firstDifference(fromIndex: number, lines: readonly string[]): number {
    return lines.findIndex((line, offset) => this.line(fromIndex + offset) !== line);
  }

  /** Text of an item as received. */
  line(index: number): string {
    const cached = this.cachedRecord;
    const inCache =
      cached !== undefined && index >= cached.first && index < cached.first + cached.lines.length;
    const record = inCache ? cached : this.loadRecord(index);
    return record.lines[index - record.first] ?? '';
  }

  /** Ends the upload. */
  seal(): void {
    this.state = 'sealed';
    this.items.trim();
  }

  /** Hands out up to `maxItems` pending items. */
  take(maxItems: number, nowMs: number): number[] {
    const taken = this.takeReturned(maxItems, nowMs);
    while (taken.length < maxItems && this.cursor < this.items.length) {
      const index = this.cursor;
      this.cursor += 1;
      if (this.items.state(index) !== 'pending') continue;
      this.items.setState(index, 'leased');
      taken.push(index);
    }
    return taken;
  }

  /** State of an item. */
  itemState(index: number): ItemState {
    return this.items.state(index);
  }

  /** Number of the attempt that is due or under way, from 1. */
  attemptOf(index: number): number {
    return (this.attempts.get(index)?.attempts ?? 0) + 1;
  }

  /** Whether the item is suspected of killing endpoints. */
  runsAlone(index: number): boolean {
    return (this.attempts.get(index)?.endpointLosses ?? 0) > 0;
  }

  /** Marks an item as about to be sent; false where it may not be. */
  start(index: number): boolean {
    if (this.items.state(index) !== 'leased') return false;
    this.items.setState(index, 'started');
    return true;
  }

  /** Stores a result if it is the first for its item. */
  finish(index: number, state: ItemState, body: string, nowMs: number): boolean {
    if (index >= this.items.length || !this.takesResult(index, nowMs)) {
      this.duplicatesDropped += 1;
      return false;
    }
    if (this.items.state(index) === 'inDoubt' && state === 'inDoubt') return false;
    this.items.setResultUnit(index, 1 + this.resultBytes / RECORD_ALIGNMENT_BYTES);
    const bytes = Buffer.from(body);
    this.resultBytes = this.files.writeRecord(this.resultFile, this.resultBytes, bytes);
    this.items.setState(index, state);
    this.attempts.delete(index);
    this.finishJobIfDone(nowMs);
    return true;
  }

  /** Puts an item back that nobody has run. */
  putBack(index: number, options: { readonly readyAtMs: number }): void {
    const state = this.items.state(index);
    if (state !== 'leased' && state !== 'started') return;
    this.items.setState(index, 'pending');
    this.returned.push(index);
    if (options.readyAtMs > 0) this.attemptsOf(index).readyAtMs = options.readyAtMs;
  }

  /** Takes an item back that no byte of reached an endpoint. */
  returnNotRun(index: number, nowMs: number): void {
    this.putBack(index, { readyAtMs: nowMs + NOT_RUN_BACKOFF_MS });
  }

  /** Takes an item back after a failure that may pass; ends it after too many. */
  returnFailed(index: number, nowMs: number, lostEndpoint: boolean, cause: string): void {
    const state = this.items.state(index);
    if (state !== 'leased' && state !== 'started') return;
    const entry = this.attemptsOf(index);
    entry.attempts += 1;
    if (lostEndpoint) entry.endpointLosses += 1;
    const tooOften = entry.endpointLosses >= MAX_ENDPOINT_LOSSES || entry.attempts >= MAX_ATTEMPTS;
    if (tooOften) {
      const message = `gave up after ${entry.attempts} attempts: ${cause}`;
      this.finish(index, 'failed', failureBody(message, entry.attempts), nowMs);
      return;
    }
    const backoffMs = FIRST_BACKOFF_MS * 2 ** (entry.attempts - 1);
    this.putBack(index, { readyAtMs: nowMs + backoffMs });
  }

  /** The holder of the item is gone: what may have been sent and may not be resent is in doubt. */
  abandon(index: number, nowMs: number): void {
    const state = this.items.state(index);
    if (state === 'leased') this.putBack(index, { readyAtMs: 0 });
    if (state === 'started') {
      this.finish(index, 'inDoubt', failureBody('sent, but no answer came', 1), nowMs);
    }
  }

  /** Stops the job; what was already sent and may not be repeated is in doubt. */
  cancel(nowMs: number): void {
    this.state = 'cancelled';
    this.finishedAtMs = nowMs;
    for (let index = 0; index < this.items.length; index += 1) {
      const state = this.items.state(index);
      if (state === 'pending' || state === 'leased') this.items.setState(index, 'cancelled');
      if (state === 'started') this.abandon(index, nowMs);
    }
    this.forgetQueues();
  }

  /** Ends the items that nobody runs, because the job is past due. */
  stopPastDue(nowMs: number): void {
    let ended = 0;
    for (let index = 0; index < this.items.length && ended < MAX_STOPPED_AT_ONCE; index += 1) {
      if (this.items.state(index) !== 'pending') continue;
      this.finish(index, 'failed', failureBody('the job was past its due time', 0), nowMs);
      ended += 1;
    }
  }

  /** Text of the result of an item; undefined where it has none. */
  result(index: number): string | undefined {
    const unit = this.items.resultUnit(index);
    if (unit === 0) return undefined;
    const offset = (unit - 1) * RECORD_ALIGNMENT_BYTES;
    return this.files.readRecord(this.resultFile, offset).toString();
  }

  /** What a caller sees. */
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

  /** Plain form for a snapshot. */
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

  /** Rebuilds a job from its plain form. */
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

  /** A final item takes no result, but an item in doubt is settled by an answer before its due time. */
  private takesResult(index: number, nowMs: number): boolean {
    const state = this.items.state(index);
    if (state === 'inDoubt') return nowMs < this.identity.dueAtMs;
    return state === 'pending' || state === 'leased' || state === 'started';
  }

  private finishJobIfDone(nowMs: number): void {
    if (this.state !== 'sealed' || this.openCount > 0) return;
    this.state = 'completed';
    this.finishedAtMs = nowMs;
    this.forgetQueues();
  }

  private forgetQueues(): void {
    this.returned = [];
    this.attempts.clear();
    this.cachedRecord = undefined;
  }

  private attemptsOf(index: number): Attempts {
    const known = this.attempts.get(index);
    if (known !== undefined) return known;
    const fresh: Attempts = { attempts: 0, endpointLosses: 0, readyAtMs: 0 };
    this.attempts.set(index, fresh);
    return fresh;
  }

  private takeReturned(maxItems: number, nowMs: number): number[] {
    const taken: number[] = [];
    const waiting: number[] = [];
    const scanned = this.returned.splice(0, RETURNED_SCAN_LIMIT);
    for (const index of scanned) {
      if (this.items.state(index) !== 'pending') continue;
      const ready = (this.attempts.get(index)?.readyAtMs ?? 0) <= nowMs;
      if (!ready || taken.length >= maxItems) {
        waiting.push(index);
        continue;
      }
      this.items.setState(index, 'leased');
      taken.push(index);
    }
    // Items that are not ready go to the back, so that the scan limit hides none for ever.
    this.returned.push(...waiting);
    return taken;
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
