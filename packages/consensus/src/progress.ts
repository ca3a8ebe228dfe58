/**
 * Replication progress of one follower as seen by the leader, with flow control.
 */

/**
 * How the leader sends entries to a follower: one message at a time until the logs are known to
 * match (`probe`), pipelined (`replicate`), or not at all while a snapshot is sent (`snapshot`).
 */
export type ProgressState = 'probe' | 'replicate' | 'snapshot';

const MAX_IN_FLIGHT_MESSAGES = 64;
/** Heartbeat rounds without progress after which sent entries are considered lost. */
const STALLED_ROUNDS = 3;

/** Replication progress of one follower. */
export class Progress {
  state: ProgressState = 'probe';
  matchIndex = 0;
  nextIndex: number;
  /** Time of the last message from the member, on the leader's clock; initially the current time. */
  lastContactMs: number;
  /** The same, but negative infinity until the member has replied to this leader. */
  lastReplyMs = -Infinity;
  /** Highest heartbeat round that the member has replied to. */
  ackedRound = 0;
  /** Whether the member may lead, as of its latest reply. */
  isAbleToLead = true;
  private inFlightLastIndexes: number[] = [];
  private isProbeInFlight = false;
  private stallCheckMatch = -1;
  private stallCheckRound = 0;

  constructor(nextIndex: number, nowMs: number) {
    this.nextIndex = nextIndex;
    this.lastContactMs = nowMs;
  }

  /** Whether another append message may be sent now. */
  maySend(): boolean {
    if (this.state === 'snapshot') return false;
    if (this.state === 'probe') return !this.isProbeInFlight;
    return this.inFlightLastIndexes.length < MAX_IN_FLIGHT_MESSAGES;
  }

  /** Records that entries up to `lastIndex` were sent. */
  recordSent(lastIndex: number): void {
    if (this.state === 'probe') {
      this.isProbeInFlight = true;
      return;
    }
    if (lastIndex >= this.nextIndex) {
      this.nextIndex = lastIndex + 1;
      this.inFlightLastIndexes.push(lastIndex);
    }
  }

  /** Records a successful append; returns whether the matching index advanced. */
  recordSuccess(matchIndex: number): boolean {
    const advanced = matchIndex > this.matchIndex;
    this.matchIndex = Math.max(this.matchIndex, matchIndex);
    this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
    this.inFlightLastIndexes = this.inFlightLastIndexes.filter(
      (lastIndex) => lastIndex > matchIndex,
    );
    if (this.state === 'snapshot' && !advanced) return false;
    this.state = 'replicate';
    this.isProbeInFlight = false;
    return advanced;
  }

  /** Records a rejected append; `hint` is an index at which the follower's log may match. */
  recordRejection(hint: number): void {
    this.state = 'probe';
    this.isProbeInFlight = false;
    this.inFlightLastIndexes = [];
    this.nextIndex = Math.max(this.matchIndex + 1, Math.min(hint + 1, this.nextIndex - 1));
    this.nextIndex = Math.max(1, this.nextIndex);
  }

  /** Stops sending entries until a snapshot has been sent. */
  waitForSnapshot(): void {
    this.state = 'snapshot';
    this.inFlightLastIndexes = [];
  }

  /** Returns to probing, from the entry after the matching index. */
  restartProbing(): void {
    this.state = 'probe';
    this.isProbeInFlight = false;
    this.inFlightLastIndexes = [];
    this.nextIndex = this.matchIndex + 1;
  }

  /**
   * Returns whether `matchIndex` has not advanced for {@link STALLED_ROUNDS} heartbeat rounds.
   * The caller checks that the follower lacks entries.
   */
  isStalled(matchIndex: number, round: number): boolean {
    if (this.stallCheckMatch !== matchIndex) {
      this.stallCheckMatch = matchIndex;
      this.stallCheckRound = round;
      return false;
    }
    if (round - this.stallCheckRound < STALLED_ROUNDS) return false;
    this.stallCheckRound = round;
    return true;
  }

  /** Allows another probe, because the previous probe may be lost. */
  allowProbe(): void {
    this.isProbeInFlight = false;
  }
}
