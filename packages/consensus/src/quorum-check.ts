/**
 * Decides when a leader checks whether it is still in contact with a quorum. Without contact it steps
 * down, so that its callers find the next leader.
 */

/** A tick later than the election timeout divided by this is late. */
const MAX_TICK_DELAY_DIVISOR = 6;
/** After its late tick, a leader waits for replies for the election timeout divided by this. */
const REPLY_TIME_DIVISOR = 3;

/** A tick of a leader; all times are on the clock of this member. */
export interface LeaderTick {
  readonly nowMs: number;
  readonly previousTickMs: number;
  /** When the tick was due. */
  readonly dueMs: number;
  /** Last heartbeat round that was sent. */
  readonly round: number;
  /** Last heartbeat round to which a quorum has replied. */
  readonly confirmedRound: number;
}

/** Times of the quorum checks of one member, while it is the leader. */
export class QuorumCheck {
  private readonly electionTimeoutMs: number;
  private nextMs = 0;
  /** Last heartbeat round before the check was postponed; undefined if it was not. */
  private postponedAtRound: number | undefined;

  constructor(electionTimeoutMs: number) {
    this.electionTimeoutMs = electionTimeoutMs;
  }

  /** Time of the next check. */
  get dueMs(): number {
    return this.nextMs;
  }

  /** Schedules the first check of a new leader. */
  start(nowMs: number): void {
    this.postponedAtRound = undefined;
    this.nextMs = nowMs + this.electionTimeoutMs;
  }

  /** Schedules the check that follows the one at `nowMs`. */
  scheduleNext(nowMs: number): void {
    this.postponedAtRound = undefined;
    this.nextMs = nowMs + this.electionTimeoutMs;
  }

  /**
   * Postpones the check after a late tick, so that the followers have time to reply to a heartbeat: a
   * leader that was suspended has sent none, and their silence does not show that it has lost its
   * quorum. It is postponed again only if a quorum has replied to a heartbeat sent since: a leader
   * that is partitioned steps down although all its ticks are late.
   */
  postponeIfLate(tick: LeaderTick): void {
    if (!this.isLate(tick)) return;
    const { postponedAtRound } = this;
    if (postponedAtRound !== undefined && tick.confirmedRound <= postponedAtRound) return;
    this.postponedAtRound = tick.round;
    this.nextMs = Math.max(this.nextMs, tick.nowMs + this.electionTimeoutMs / REPLY_TIME_DIVISOR);
  }

  /** Whether a tick is late, but not so late that the followers have started an election. */
  private isLate({ nowMs, previousTickMs, dueMs }: LeaderTick): boolean {
    const delayMs = nowMs - Math.max(dueMs, previousTickMs);
    if (delayMs <= this.electionTimeoutMs / MAX_TICK_DELAY_DIVISOR) return false;
    return nowMs - previousTickMs < 2 * this.electionTimeoutMs;
  }
}
