/**
 * Rebuilds what a group had synced from its snapshot and the write-ahead log.
 */
import type { HardState, LogEntry, SnapshotPosition } from '@shedline/consensus';
import type { GroupBatch } from './wal-record.js';

/** A snapshot with the state it holds. */
export interface StoredSnapshot {
  readonly position: SnapshotPosition;
  readonly state: Uint8Array;
}

/** Everything that a group had synced. */
export interface RecoveredGroup {
  readonly hardState: HardState;
  readonly snapshot: StoredSnapshot;
  readonly entries: readonly LogEntry[];
}

const EMPTY_SNAPSHOT: StoredSnapshot = {
  position: { index: 0, term: 0, config: { voters: [], learners: [] } },
  state: new Uint8Array(0),
};

/** Collects the batches of one group in the order in which they were written. */
export class GroupRecovery {
  private hardState: HardState = { term: 0, votedFor: '' };
  private entries: LogEntry[] = [];

  /** Takes the next batch. */
  add(batch: GroupBatch): void {
    if (batch.hardState !== undefined) this.hardState = batch.hardState;
    const first = batch.entries[0];
    if (first === undefined) return;
    const keep = this.entries.findIndex((entry) => entry.index >= first.index);
    if (keep !== -1) this.entries.length = keep;
    this.entries.push(...batch.entries);
  }

  /** The group behind its snapshot. */
  finish(snapshot: StoredSnapshot | undefined): RecoveredGroup {
    const base = snapshot ?? EMPTY_SNAPSHOT;
    const entries: LogEntry[] = [];
    let expected = base.position.index + 1;
    for (const entry of this.entries) {
      if (entry.index < expected) continue;
      // Entries from before an installed snapshot do not join up with it.
      if (entry.index > expected) break;
      entries.push(entry);
      expected += 1;
    }
    return { hardState: this.hardState, snapshot: base, entries };
  }
}
