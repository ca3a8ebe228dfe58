/**
 * Durable state of the groups of one process: one write-ahead log for all groups, so that one sync
 * covers all waiting groups, and the snapshot files of each group.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { pack, unpack } from 'msgpackr';
import { ShedlineError } from '@shedline/errors';
import type { HardState, SnapshotPosition } from '@shedline/consensus';
import { decodeFrame, encodeFrame, hasFrameAfter } from './frame.js';
import type { AppendFile, FileSystem } from './file-system.js';
import type { RecoveredGroup, StoredSnapshot } from './recovered-group.js';
import { GroupRecovery } from './recovered-group.js';
import { decodeBatches, encodeBatches } from './wal-record.js';
import type { GroupBatch } from './wal-record.js';

const WAL_NAME = /^wal-(\d{12})\.log$/;
const SNAPSHOT_NAME = /^snapshot-(\d+)-(\d+)\.bin$/;
const DEFAULT_MAX_SEGMENT_BYTES = 16 * 1024 * 1024;
const RETRY_DELAY_MS = 250;
/** Number of snapshots kept for each group; a transfer may still read the previous snapshot. */
const SNAPSHOTS_KEPT = 2;

/** Options of {@link Storage.open}. */
export interface StorageOptions {
  readonly files: FileSystem;
  readonly maxSegmentBytes?: number;
  /** Called with the error when a write fails, and with undefined when writes succeed again. */
  readonly onHealthChange?: (failure: ShedlineError | undefined) => void;
}

interface Segment {
  readonly name: string;
  /** Highest entry index of each group in the segment. */
  readonly lastIndexes: Map<number, number>;
}

interface PendingBatch {
  readonly batch: GroupBatch;
  readonly resolve: () => void;
}

/** The write-ahead log and the snapshots below one data folder. */
export class Storage {
  private readonly files: FileSystem;
  private readonly maxSegmentBytes: number;
  private readonly onHealth: (failure: ShedlineError | undefined) => void;
  private segments: Segment[] = [];
  private openFile: AppendFile | undefined;
  private openBytes = 0;
  private sequence = 0;
  private segmentNumber = 0;
  private pending: PendingBatch[] = [];
  private isWriting = false;
  private isClosed = false;
  private failure: ShedlineError | undefined;
  private readonly hardStates = new Map<number, HardState>();
  private readonly snapshotIndexes = new Map<number, number[]>();
  private recoveredGroups = new Map<number, RecoveredGroup>();
  private syncCount = 0;
  private writtenBytes = 0;

  private constructor(options: StorageOptions) {
    this.files = options.files;
    this.maxSegmentBytes = options.maxSegmentBytes ?? DEFAULT_MAX_SEGMENT_BYTES;
    this.onHealth = options.onHealthChange ?? (() => undefined);
  }

  /** Opens the storage and recovers its state; throws `corrupt_storage` with file and offset. */
  static async open(options: StorageOptions): Promise<Storage> {
    const storage = new Storage(options);
    await storage.recover();
    return storage;
  }

  /** Returns the recovered state of each group, and drops it from memory. */
  takeRecovered(): ReadonlyMap<number, RecoveredGroup> {
    const recovered = this.recoveredGroups;
    this.recoveredGroups = new Map();
    return recovered;
  }

  /** Error of the last write; undefined if writes succeed. */
  get diskFailure(): ShedlineError | undefined {
    return this.failure;
  }

  /** Number of syncs and of bytes written since the start. */
  get counters(): { syncs: number; writtenBytes: number } {
    return { syncs: this.syncCount, writtenBytes: this.writtenBytes };
  }

  /** Number of log segments that a restart would read. */
  get segmentCount(): number {
    return this.segments.length;
  }

  /**
   * Resolves once the batch is synced. Batches that wait together share one sync. While writes
   * fail, the promise stays pending: nothing is acknowledged, and reads still work.
   */
  append(batch: GroupBatch): Promise<void> {
    return new Promise((resolve) => {
      this.pending.push({ batch, resolve });
      if (!this.isWriting) void this.writePending();
    });
  }

  /** Stores a snapshot, and removes log segments that the snapshots of all groups cover. */
  async saveSnapshot(group: number, position: SnapshotPosition, state: Uint8Array): Promise<void> {
    const body = pack([position, state]);
    await this.files.replace(snapshotName(group, position.index), encodeFrame(0, body));
    const indexes = this.snapshotIndexes.get(group) ?? [];
    indexes.push(position.index);
    while (indexes.length > SNAPSHOTS_KEPT) {
      const oldIndex = indexes.shift();
      if (oldIndex !== undefined) await this.files.remove(snapshotName(group, oldIndex));
    }
    this.snapshotIndexes.set(group, indexes);
    await this.removeCoveredSegments();
  }

  /** Reads the latest snapshot of a group from disk. */
  async readSnapshot(group: number): Promise<StoredSnapshot | undefined> {
    const index = this.snapshotIndexes.get(group)?.at(-1);
    return index === undefined ? undefined : this.loadSnapshot(snapshotName(group, index));
  }

  /** Returns the groups with entries in the oldest segment that no snapshot covers. */
  groupsRetainingOldestSegment(): number[] {
    const oldest = this.segments[0];
    if (oldest === undefined || this.segments.length < 2) return [];
    return [...oldest.lastIndexes]
      .filter(([group, lastIndex]) => lastIndex > this.snapshotIndexOf(group))
      .map(([group]) => group);
  }

  /** Reads a small named document, such as the member id; undefined if it does not exist. */
  async readDocument(name: string): Promise<unknown> {
    const names = await this.files.list();
    if (!names.includes(name)) return undefined;
    const frame = decodeFrame(await this.files.read(name), 0);
    if (frame === undefined)
      throw corruptStorage(name, 0, 'the document does not match its checksum');
    return unpack(frame.body);
  }

  /** Replaces a small named document; resolves once it is synced. */
  async writeDocument(name: string, value: unknown): Promise<void> {
    await this.files.replace(name, encodeFrame(0, pack(value)));
  }

  /** Closes the storage after the write in progress; pending batches stay unresolved. */
  async close(): Promise<void> {
    this.isClosed = true;
    while (this.isWriting) await delay(1);
    await this.openFile?.close();
    this.openFile = undefined;
  }

  private snapshotIndexOf(group: number): number {
    return this.snapshotIndexes.get(group)?.at(-1) ?? 0;
  }

  private async writePending(): Promise<void> {
    this.isWriting = true;
    while (this.pending.length > 0 && !this.isClosed) {
      const current = this.pending;
      this.pending = [];
      const batches = current.map((entry) => entry.batch);
      if (!(await this.writeUntilSynced(batches))) break;
      for (const entry of current) entry.resolve();
    }
    this.isWriting = false;
  }

  /** Retries until the batches are synced; a file with a failed write is never used again. */
  private async writeUntilSynced(batches: readonly GroupBatch[]): Promise<boolean> {
    while (!this.isClosed) {
      try {
        await this.writeOnce(batches);
        this.setFailure(undefined);
        return true;
      } catch (error) {
        this.setFailure(writeFailure(error));
        await this.abandonOpenFile();
        await delay(RETRY_DELAY_MS);
      }
    }
    return false;
  }

  private async writeOnce(batches: readonly GroupBatch[]): Promise<void> {
    if (this.openFile === undefined || this.openBytes >= this.maxSegmentBytes) {
      await this.startSegment();
    }
    const frame = encodeFrame(this.sequence + 1, encodeBatches(batches));
    await this.openFile?.append(frame);
    await this.openFile?.sync();
    this.sequence += 1;
    this.openBytes += frame.length;
    this.syncCount += 1;
    this.writtenBytes += frame.length;
    this.recordBatches(batches);
  }

  private recordBatches(batches: readonly GroupBatch[]): void {
    const segment = this.segments.at(-1);
    for (const batch of batches) {
      if (batch.hardState !== undefined) this.hardStates.set(batch.group, batch.hardState);
      const last = batch.entries.at(-1);
      if (last !== undefined) segment?.lastIndexes.set(batch.group, last.index);
    }
  }

  /** Starts a segment with the hard states of all groups, so that older segments can be removed. */
  private async startSegment(): Promise<void> {
    await this.openFile?.close();
    this.openFile = undefined;
    this.segmentNumber += 1;
    const name = `wal-${String(this.segmentNumber).padStart(12, '0')}.log`;
    this.openFile = await this.files.create(name);
    this.openBytes = 0;
    this.segments.push({ name, lastIndexes: new Map() });
    const batches = [...this.hardStates].map(([group, hardState]) => ({
      group,
      hardState,
      entries: [],
    }));
    const frame = encodeFrame(this.sequence + 1, encodeBatches(batches));
    await this.openFile.append(frame);
    await this.openFile.sync();
    this.sequence += 1;
    this.openBytes += frame.length;
  }

  /**
   * Closes the open file after a failed write. The kernel may drop data after a failed sync, so
   * that only a new file can be trusted.
   */
  private async abandonOpenFile(): Promise<void> {
    const file = this.openFile;
    this.openFile = undefined;
    if (file === undefined) return;
    try {
      await file.truncate(this.openBytes);
      await file.sync();
    } catch {
      // Recovery detects the end of this segment by the sequence numbers of the next segment.
    }
    await file.close().catch(() => undefined);
  }

  private setFailure(failure: ShedlineError | undefined): void {
    if (this.failure === undefined && failure === undefined) return;
    this.failure = failure;
    this.onHealth(failure);
  }

  private async removeCoveredSegments(): Promise<void> {
    while (this.segments.length > 1) {
      const oldest = this.segments[0];
      if (oldest === undefined || this.groupsRetainingOldestSegment().length > 0) return;
      this.segments.shift();
      await this.files.remove(oldest.name);
    }
  }

  private async recover(): Promise<void> {
    const names = await this.files.list();
    const snapshots = await this.recoverSnapshots(names);
    const groups = new Map<number, GroupRecovery>();
    const walNames = names.filter((name) => WAL_NAME.test(name));
    let expectedSequence: number | undefined;
    for (const [position, name] of walNames.entries()) {
      const isLast = position === walNames.length - 1;
      expectedSequence = await this.recoverSegment({ name, isLast, expectedSequence, groups });
    }
    this.sequence = (expectedSequence ?? 1) - 1;
    for (const group of new Set([...groups.keys(), ...snapshots.keys()])) {
      const recovery = groups.get(group) ?? new GroupRecovery();
      const recovered = recovery.finish(snapshots.get(group));
      this.recoveredGroups.set(group, recovered);
      this.hardStates.set(group, recovered.hardState);
    }
  }

  private async recoverSnapshots(names: readonly string[]): Promise<Map<number, StoredSnapshot>> {
    const latest = new Map<number, StoredSnapshot>();
    for (const name of names) {
      const parts = SNAPSHOT_NAME.exec(name);
      if (parts === null) continue;
      const group = Number(parts[1]);
      const indexes = this.snapshotIndexes.get(group) ?? [];
      this.snapshotIndexes.set(
        group,
        [...indexes, Number(parts[2])].sort((a, b) => a - b),
      );
    }
    for (const [group, indexes] of this.snapshotIndexes) {
      const index = indexes.at(-1) ?? 0;
      latest.set(group, await this.loadSnapshot(snapshotName(group, index)));
    }
    return latest;
  }

  private async loadSnapshot(name: string): Promise<StoredSnapshot> {
    const frame = decodeFrame(await this.files.read(name), 0);
    if (frame === undefined)
      throw corruptStorage(name, 0, 'the snapshot does not match its checksum');
    const [position, state] = unpack(frame.body) as [SnapshotPosition, Uint8Array];
    return { position, state: new Uint8Array(state) };
  }

  private async recoverSegment(options: {
    readonly name: string;
    readonly isLast: boolean;
    readonly expectedSequence: number | undefined;
    readonly groups: Map<number, GroupRecovery>;
  }): Promise<number | undefined> {
    const { name, groups } = options;
    const buffer = await this.files.read(name);
    const segment: Segment = { name, lastIndexes: new Map() };
    let offset = 0;
    let expectedSequence = options.expectedSequence;
    while (offset < buffer.length) {
      const frame = decodeFrame(buffer, offset);
      if (frame === undefined) {
        if (hasFrameAfter(buffer, offset)) throw corruptStorage(name, offset, 'a frame is damaged');
        if (options.isLast) await this.files.truncate(name, offset);
        break;
      }
      // A segment started after a failed write may repeat the sequence number of the failed frame.
      const isRepeated =
        offset === 0 && expectedSequence !== undefined && frame.sequence < expectedSequence;
      const hasGap =
        expectedSequence !== undefined && frame.sequence !== expectedSequence && !isRepeated;
      if (hasGap && offset === 0 && this.areSegmentsCovered()) {
        await this.discardSegments(groups);
      } else if (hasGap) {
        throw corruptStorage(
          name,
          offset,
          `frame ${expectedSequence} is missing, found ${frame.sequence}`,
        );
      }
      this.replay(frame.body, segment, groups);
      expectedSequence = frame.sequence + 1;
      offset = frame.endOffset;
    }
    this.segments.push(segment);
    this.segmentNumber = Number(WAL_NAME.exec(name)?.[1] ?? 0);
    return expectedSequence;
  }

  /** Whether the snapshots cover all entries in the segments that were read so far. */
  private areSegmentsCovered(): boolean {
    return this.segments.every(({ lastIndexes }) =>
      [...lastIndexes].every(([group, lastIndex]) => lastIndex <= this.snapshotIndexOf(group)),
    );
  }

  /**
   * Discards the segments read so far. They were removed before, but a power loss can restore some
   * of several removed files, which leaves a gap between them and the segments in use.
   */
  private async discardSegments(groups: Map<number, GroupRecovery>): Promise<void> {
    for (const { name } of this.segments) await this.files.remove(name);
    this.segments = [];
    groups.clear();
  }

  private replay(body: Buffer, segment: Segment, groups: Map<number, GroupRecovery>): void {
    for (const batch of decodeBatches(body)) {
      const recovery = groups.get(batch.group) ?? new GroupRecovery();
      groups.set(batch.group, recovery);
      recovery.add(batch);
      const last = batch.entries.at(-1);
      if (last !== undefined) segment.lastIndexes.set(batch.group, last.index);
    }
  }
}

function snapshotName(group: number, index: number): string {
  return `snapshot-${group}-${String(index).padStart(15, '0')}.bin`;
}

function corruptStorage(name: string, offset: number, reason: string): ShedlineError {
  return new ShedlineError({
    type: 'corrupt_storage',
    message:
      `${name} at offset ${offset}: ${reason}. Move the data folder aside and start empty: ` +
      'the instance rejoins as a new learner and copies the state from its peers.',
    step: 'recover',
    peer: name,
  });
}

function writeFailure(error: unknown): ShedlineError {
  return new ShedlineError({
    type: 'unavailable',
    message: `the disk refuses writes: ${error instanceof Error ? error.message : String(error)}`,
    step: 'sync',
    peer: 'disk',
    cause: error,
  });
}
