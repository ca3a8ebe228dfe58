/**
 * What a leader knows of the other members of its group.
 */
import { Progress } from './progress.js';

/** Progress of the other members, as long as this member leads. */
export class Followers {
  private readonly self: string;
  private readonly progress = new Map<string, Progress>();

  constructor(self: string) {
    this.self = self;
  }

  /** Identities of the members. */
  get memberIds(): Iterable<string> {
    return this.progress.keys();
  }

  /** Members with their progress. */
  get all(): Iterable<[string, Progress]> {
    return this.progress;
  }

  /** Progress of a member. */
  get(memberId: string): Progress | undefined {
    return this.progress.get(memberId);
  }

  /** Keeps one progress for each other member of a configuration. */
  adopt(memberIds: readonly string[], nextIndex: number, nowMs: number): void {
    for (const memberId of this.progress.keys()) {
      if (!memberIds.includes(memberId)) this.progress.delete(memberId);
    }
    for (const memberId of memberIds) {
      if (memberId === this.self || this.progress.has(memberId)) continue;
      this.progress.set(memberId, new Progress(nextIndex, nowMs));
    }
  }

  /** Forgets everything. */
  clear(): void {
    this.progress.clear();
  }

  /** Whether a member was heard within a time. */
  isHeard(memberId: string, withinMs: number, nowMs: number): boolean {
    if (memberId === this.self) return true;
    const progress = this.progress.get(memberId);
    return progress !== undefined && nowMs - progress.lastHeardMs < withinMs;
  }

  /** The highest value that a majority of `voters` has reached, `own` being this member's. */
  quorumValue(
    voters: readonly string[],
    valueOf: (progress: Progress) => number,
    own: number,
  ): number {
    const values = voters.map((memberId) => {
      if (memberId === this.self) return own;
      const progress = this.progress.get(memberId);
      return progress === undefined ? 0 : valueOf(progress);
    });
    values.sort((a, b) => b - a);
    return values[Math.floor(voters.length / 2)] ?? 0;
  }
}
