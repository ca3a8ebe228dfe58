/**
 * Decides when a silent peer is asked for a sign of life, and when it counts as gone: a connection may
 * go silent for good without being closed, and a host without power closes none.
 */

/** Time between looks. */
export const LOOK_INTERVAL_MS = 200;
/** Silence after which a peer is asked for a sign of life; most say something each 400 to 800 ms. */
const ASK_AFTER_MS = 700;
/** Silence after which a peer counts as gone. It has 400 ms to answer, twice a pause of its collector. */
const LIMIT_MS = 1300;

/**
 * Longest time in which silence is noticed. Less than the lease of a member: with 3.5 s, and leases of
 * 1.7 s, members vanished from all lists before the silent connections were opened anew.
 */
export const LINK_SILENCE_NOTICED_MS = LIMIT_MS + LOOK_INTERVAL_MS;

/** What to do about a peer. */
export type SilenceStep = 'nothing' | 'ask' | 'giveUp';

/** How long one peer has been silent. */
export class LinkSilence {
  private heardAtMs: number;
  private lookedAtMs: number;

  constructor(nowMs: number) {
    this.heardAtMs = nowMs;
    this.lookedAtMs = nowMs;
  }

  /** The peer said something. */
  heard(nowMs: number): void {
    this.heardAtMs = nowMs;
  }

  /** Time since the peer said something. */
  silentMs(nowMs: number): number {
    return nowMs - this.heardAtMs;
  }

  /** A regular look. */
  look(nowMs: number): SilenceStep {
    const sinceLookMs = nowMs - this.lookedAtMs;
    this.lookedAtMs = nowMs;
    // A process that stood still has not read yet what came in the meantime.
    if (sinceLookMs > 2 * LOOK_INTERVAL_MS) {
      this.heardAtMs = Math.max(this.heardAtMs, nowMs - ASK_AFTER_MS);
    }
    const silentMs = this.silentMs(nowMs);
    if (silentMs >= LIMIT_MS) return 'giveUp';
    return silentMs >= ASK_AFTER_MS ? 'ask' : 'nothing';
  }
}
