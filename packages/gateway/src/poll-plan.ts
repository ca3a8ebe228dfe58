/**
 * Decides which control process an entry polls next. Changes are pushed by every connected control
 * process, so a poll only has to find changes whose pushes were lost, and the heartbeats of
 * endpoints. Polls alternate between the control process in the entry's zone and the others, since
 * the former may be partitioned from the rest of the core and still reply.
 */

/**
 * Age of the last contact with a quorum from which a control process counts as partitioned; three
 * polls then still fit into the 2 s within which a change must be in force.
 */
const MAX_QUORUM_AGE_MS = 1500;
/** One of this many polls goes to the control process in the entry's zone. */
const POLLS_PER_PREFERRED_POLL = 2;
/** The same while that control process has no contact with a quorum. */
const POLLS_PER_PARTITIONED_POLL = 4;

/** A connected control process without an outstanding poll. */
export interface PollCandidate {
  readonly name: string;
  /** Whether it is in the availability zone of this entry. */
  readonly isInOwnZone: boolean;
}

/** Order of the polls of one entry. */
export class PollPlan {
  private readonly partitioned = new Set<string>();
  private sinceLastPreferred = POLLS_PER_PARTITIONED_POLL;
  private otherPollCount = 0;

  /** Returns the control process to poll now; undefined if there is no candidate. */
  next(candidates: readonly PollCandidate[]): string | undefined {
    const preferred = candidates.find(({ isInOwnZone }) => isInOwnZone) ?? candidates[0];
    const others = candidates.filter((candidate) => candidate !== preferred);
    const other = others[this.otherPollCount % Math.max(1, others.length)];
    if (preferred === undefined) return undefined;
    this.sinceLastPreferred += 1;
    if (other === undefined || this.isDue(preferred)) {
      this.sinceLastPreferred = 0;
      return preferred.name;
    }
    this.otherPollCount += 1;
    return other.name;
  }

  /**
   * Notes the reply of a control process: the time in ms since its last contact with a quorum, or
   * undefined if it has no copy of the fleet state.
   */
  noteReply(name: string, quorumAgeMs: number | undefined): void {
    if ((quorumAgeMs ?? Infinity) > MAX_QUORUM_AGE_MS) this.partitioned.add(name);
    else this.partitioned.delete(name);
  }

  private isDue({ name }: PollCandidate): boolean {
    const everyPolls = this.partitioned.has(name)
      ? POLLS_PER_PARTITIONED_POLL
      : POLLS_PER_PREFERRED_POLL;
    return this.sinceLastPreferred >= everyPolls;
  }
}
