/**
 * Decides when a leader sends its next heartbeat round. A group whose log is idle needs fewer rounds:
 * they only have to prevent elections. All groups of a process share the same points in time for
 * them, so that the heartbeats to one peer are sent in one message.
 */

/** Minimum time between two idle rounds, as a share of the idle interval. */
const MIN_IDLE_GAP = 0.4;

/** Options of {@link HeartbeatSchedule}. */
export interface HeartbeatScheduleOptions {
  /** Interval while followers lack entries, a commit or a confirmation. */
  readonly intervalMs: number;
  /** Maximum interval while nothing changes. */
  readonly idleIntervalMs: number;
}

/** What the leader has to tell its followers. */
export interface LeaderState {
  readonly commitIndex: number;
  /** Whether each follower has all entries, all are committed, and no read or transfer is pending. */
  readonly isSettled: boolean;
  /** Highest heartbeat round that all followers have replied to. */
  readonly ackedRound: number;
  /** Whether a follower has sent nothing within the election timeout. */
  readonly hasSilentFollower: boolean;
}

/** Times of the heartbeat rounds of one leader. */
export class HeartbeatSchedule {
  private readonly options: HeartbeatScheduleOptions;
  private lastRoundAtMs = -Infinity;
  /** First round since the log became idle, and its commit index. */
  private idleRound = Infinity;
  private idleCommitIndex = -1;

  constructor(options: HeartbeatScheduleOptions) {
    this.options = options;
  }

  /** Notes that a round is being sent with the given state. */
  recordRound(round: number, state: LeaderState, nowMs: number): void {
    this.lastRoundAtMs = nowMs;
    if (!state.isSettled) {
      this.idleRound = Infinity;
      return;
    }
    if (this.idleRound !== Infinity && this.idleCommitIndex === state.commitIndex) return;
    this.idleRound = round;
    this.idleCommitIndex = state.commitIndex;
  }

  /** Returns when the next round is due, in the time of {@link recordRound}. */
  dueMs(state: LeaderState): number {
    return this.isIdle(state) ? this.nextIdleMs() : this.lastRoundAtMs + this.options.intervalMs;
  }

  /** A follower that misses a round must not learn of a commit later than in a busy group. */
  private isIdle({ isSettled, commitIndex, ackedRound, hasSilentFollower }: LeaderState): boolean {
    if (!isSettled || hasSilentFollower) return false;
    return commitIndex === this.idleCommitIndex && ackedRound >= this.idleRound;
  }

  /**
   * Returns the next multiple of the idle interval. If that is too soon, half an interval later, from
   * where the following round reaches a multiple.
   */
  private nextIdleMs(): number {
    const { idleIntervalMs } = this.options;
    const nextMs = (Math.floor(this.lastRoundAtMs / idleIntervalMs) + 1) * idleIntervalMs;
    const isTooSoon = nextMs - this.lastRoundAtMs < MIN_IDLE_GAP * idleIntervalMs;
    return isTooSoon ? nextMs + idleIntervalMs / 2 : nextMs;
  }
}
