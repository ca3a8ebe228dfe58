/**
 * Linearizable reads that wait for a quorum to confirm the leader.
 */
import type { ReadState } from './messages.js';

interface PendingRead {
  readonly readId: number;
  /** Commit index that the read has to see; -1 until it is part of a heartbeat round. */
  index: number;
  round: number;
}

/** Reads in the order in which they came. */
export class PendingReads {
  private reads: PendingRead[] = [];

  /** Whether some read is not part of a heartbeat round yet. */
  get hasUnstamped(): boolean {
    return this.reads.some((read) => read.index < 0);
  }

  /** Takes a read. */
  add(readId: number): void {
    this.reads.push({ readId, index: -1, round: 0 });
  }

  /** Reads that came before this round are confirmed by a quorum of it. */
  stamp(commitIndex: number, round: number): void {
    for (const read of this.reads) {
      if (read.index >= 0) continue;
      read.index = commitIndex;
      read.round = round;
    }
  }

  /** Takes out the reads whose round a quorum has answered. */
  release(confirmedRound: number): ReadState[] {
    const isConfirmed = (read: PendingRead): boolean =>
      read.index >= 0 && read.round <= confirmedRound;
    const confirmed = this.reads.filter(isConfirmed);
    this.reads = this.reads.filter((read) => !isConfirmed(read));
    return confirmed.map(({ readId, index }) => ({ readId, index }));
  }

  /** Forgets all reads, when the leadership is lost. */
  clear(): void {
    this.reads = [];
  }
}
