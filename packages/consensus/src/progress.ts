/**
 * What a leader knows of one follower, with flow control to slow ones.
 */

/** How entries go to a follower. */
export type ProgressState = 'probe' | 'replicate' | 'snapshot';

const MAX_IN_FLIGHT_MESSAGES = 64;
/** Heartbeat rounds without progress after which entries count as lost. */
const STALLED_ROUNDS = 3;

/** Replication progress of one member. */
export class Progress {
  state: ProgressState = 'probe';
  matchIndex = 0;
  nextIndex: number;
  /** Last time a message from the member arrived, on the leader's clock. */
  lastHeardMs: number;
  /** Highest heartbeat round that the member answered. */
  ackedRound = 0;
  private inFlightEnds: number[] = [];
  private probeSent = false;
  private watchedMatch = -1;
  private watchedRound = 0;

  constructor(nextIndex: number, nowMs: number) {
    this.nextIndex = nextIndex;
    this.lastHeardMs = nowMs;
  }

  /** Whether more entries may be sent now. */
  maySend(): boolean {
    if (this.state === 'snapshot') return false;
    if (this.state === 'probe') return !this.probeSent;
    return this.inFlightEnds.length < MAX_IN_FLIGHT_MESSAGES;
  }

  /** Notes that entries up to `lastIndex` were sent. */
  sent(lastIndex: number): void {
    if (this.state === 'probe') {
      this.probeSent = true;
      return;
    }
    if (lastIndex >= this.nextIndex) {
      this.nextIndex = lastIndex + 1;
      this.inFlightEnds.push(lastIndex);
    }
  }

  /** Notes a success; answers whether the match advanced. */
  acknowledged(matchIndex: number): boolean {
    const advanced = matchIndex > this.matchIndex;
    this.matchIndex = Math.max(this.matchIndex, matchIndex);
    this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
    this.inFlightEnds = this.inFlightEnds.filter((end) => end > matchIndex);
    if (this.state === 'snapshot' && !advanced) return false;
    this.state = 'replicate';
    this.probeSent = false;
    return advanced;
  }

  /** Notes a refusal; `hint` is where the follower's log may match. */
  refused(hint: number): void {
    this.state = 'probe';
    this.probeSent = false;
    this.inFlightEnds = [];
    this.nextIndex = Math.max(this.matchIndex + 1, Math.min(hint + 1, this.nextIndex - 1));
    this.nextIndex = Math.max(1, this.nextIndex);
  }

  /** Waits for a snapshot to arrive. */
  waitForSnapshot(): void {
    this.state = 'snapshot';
    this.inFlightEnds = [];
  }

  /** Tries again from what is known to match. */
  probeAgain(): void {
    this.state = 'probe';
    this.probeSent = false;
    this.inFlightEnds = [];
    this.nextIndex = this.matchIndex + 1;
  }

  /** Whether the match has not moved for some heartbeat rounds although entries are out. */
  stalledSince(matchIndex: number, round: number): boolean {
    if (this.watchedMatch !== matchIndex) {
      this.watchedMatch = matchIndex;
      this.watchedRound = round;
      return false;
    }
    if (round - this.watchedRound < STALLED_ROUNDS) return false;
    this.watchedRound = round;
    return true;
  }

  /** A lost probe may be sent again. */
  allowProbe(): void {
    this.probeSent = false;
  }
}
