/**
 * The leader's view of the other members of its group.
 */
import { Progress } from './progress.js';

/** Replication progress of each other member, kept while this member is the leader. */
export class Followers {
  private readonly selfId: string;
  private readonly progress = new Map<string, Progress>();

  constructor(selfId: string) {
    this.selfId = selfId;
  }

  /** Ids of the other members. */
  get memberIds(): Iterable<string> {
    return this.progress.keys();
  }

  /** Member ids with their progress. */
  get all(): Iterable<[string, Progress]> {
    return this.progress;
  }

  /** Returns the progress of a member, or undefined for this member and for non-members. */
  get(memberId: string): Progress | undefined {
    return this.progress.get(memberId);
  }

  /** Sets the members of the group: adds progress for new members and removes that of others. */
  setMembers(memberIds: readonly string[], nextIndex: number, nowMs: number): void {
    for (const memberId of this.progress.keys()) {
      if (!memberIds.includes(memberId)) this.progress.delete(memberId);
    }
    for (const memberId of memberIds) {
      if (memberId === this.selfId || this.progress.has(memberId)) continue;
      this.progress.set(memberId, new Progress(nextIndex, nowMs));
    }
  }

  /** Removes all members. */
  clear(): void {
    this.progress.clear();
  }

  /** Whether a message from the member arrived within the last `withinMs`. */
  hasRecentContact(memberId: string, withinMs: number, nowMs: number): boolean {
    if (memberId === this.selfId) return true;
    const progress = this.progress.get(memberId);
    return progress !== undefined && nowMs - progress.lastContactMs < withinMs;
  }

  /** Returns the highest value that a majority of `voters` has reached; `own` is this member's. */
  quorumValue(
    voters: readonly string[],
    valueOf: (progress: Progress) => number,
    own: number,
  ): number {
    const values = voters.map((memberId) => {
      if (memberId === this.selfId) return own;
      const progress = this.progress.get(memberId);
      return progress === undefined ? 0 : valueOf(progress);
    });
    values.sort((a, b) => b - a);
    return values[Math.floor(voters.length / 2)] ?? 0;
  }
}
