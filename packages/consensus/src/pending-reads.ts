/**
 * Linearizable reads (Raft read index) that wait until a quorum has confirmed the leader.
 */
import type { ReadState } from './messages.js';

interface PendingRead {
  readonly readId: number;
  /** Read index: the commit index that must be applied; -1 until a heartbeat round is assigned. */
  index: number;
  round: number;
}

/** Reads in order of arrival. */
export class PendingReads {
  private reads: PendingRead[] = [];

  /** Whether no read waits. */
  get isEmpty(): boolean {
    return this.reads.length === 0;
  }

  /** Whether a read has no heartbeat round yet. */
  get hasUnassigned(): boolean {
    return this.reads.some((read) => read.index < 0);
  }

  /** Adds a read; it waits for the next heartbeat round. */
  add(readId: number): void {
    this.reads.push({ readId, index: -1, round: 0 });
  }

  /** Assigns the round and its commit index to all reads that have no round yet. */
  assignRound(commitIndex: number, round: number): void {
    for (const read of this.reads) {
      if (read.index >= 0) continue;
      read.index = commitIndex;
      read.round = round;
    }
  }

  /** Removes and returns the reads whose round a quorum has replied to. */
  release(confirmedRound: number): ReadState[] {
    const isConfirmed = (read: PendingRead): boolean =>
      read.index >= 0 && read.round <= confirmedRound;
    const confirmed = this.reads.filter(isConfirmed);
    this.reads = this.reads.filter((read) => !isConfirmed(read));
    return confirmed.map(({ readId, index }) => ({ readId, index }));
  }

  /** Drops all reads. Called when the leader or the term changes. */
  clear(): void {
    this.reads = [];
  }
}
