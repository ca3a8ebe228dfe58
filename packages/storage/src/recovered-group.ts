/**
 * Rebuilds the synced state of a group from its snapshot and the write-ahead log.
 */
import type { HardState, LogEntry, SnapshotPosition } from '@shedline/consensus';
import type { GroupBatch } from './wal-record.js';

/** Snapshot of the state of a group, with its position in the log. */
export interface StoredSnapshot {
  readonly position: SnapshotPosition;
  readonly state: Uint8Array;
}

/** Synced state of a group. */
export interface RecoveredGroup {
  readonly hardState: HardState;
  readonly snapshot: StoredSnapshot;
  readonly entries: readonly LogEntry[];
}

const EMPTY_SNAPSHOT: StoredSnapshot = {
  position: { index: 0, term: 0, config: { voters: [], learners: [] } },
  state: new Uint8Array(0),
};

/** Collects the batches of one group in write order. */
export class GroupRecovery {
  private hardState: HardState = { term: 0, votedFor: '' };
  private entries: LogEntry[] = [];

  /** Adds the next batch. */
  add(batch: GroupBatch): void {
    if (batch.hardState !== undefined) this.hardState = batch.hardState;
    const first = batch.entries[0];
    if (first === undefined) return;
    const keptCount = this.entries.findIndex((entry) => entry.index >= first.index);
    if (keptCount !== -1) this.entries.length = keptCount;
    this.entries.push(...batch.entries);
  }

  /** Returns the recovered state, with the entries that follow the snapshot. */
  finish(snapshot: StoredSnapshot | undefined): RecoveredGroup {
    const base = snapshot ?? EMPTY_SNAPSHOT;
    const entries: LogEntry[] = [];
    let nextIndex = base.position.index + 1;
    for (const entry of this.entries) {
      if (entry.index < nextIndex) continue;
      // Entries written before a snapshot was installed may not be contiguous with it.
      if (entry.index > nextIndex) break;
      entries.push(entry);
      nextIndex += 1;
    }
    return { hardState: this.hardState, snapshot: base, entries };
  }
}
