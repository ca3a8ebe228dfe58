/**
 * Transfer of the leadership to a voter that has all entries.
 */

/** The transfer that a leader has started, if any. */
export class LeadershipTransfer {
  private targetId = '';
  private endsAtMs = Infinity;

  /** Member id of the next leader; empty if no transfer is running. */
  get target(): string {
    return this.targetId;
  }

  get isRunning(): boolean {
    return this.targetId !== '';
  }

  /** When the transfer is given up; infinite if none is running. */
  get deadlineMs(): number {
    return this.endsAtMs;
  }

  /** Starts a transfer, which is given up at `deadlineMs`. */
  start(target: string, deadlineMs: number): void {
    this.targetId = target;
    this.endsAtMs = deadlineMs;
  }

  /** Ends the transfer, if one is running. */
  end(): void {
    this.targetId = '';
    this.endsAtMs = Infinity;
  }

  /** Ends the transfer if its deadline has passed. */
  endIfExpired(nowMs: number): void {
    if (nowMs >= this.endsAtMs) this.end();
  }
}
