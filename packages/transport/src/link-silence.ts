/**
 * Decides when a silent peer is asked for a sign of life, and when it counts as gone: a connection may
 * go silent for good without being closed, and a host without power closes none.
 */

/** Time between looks. */
export const LOOK_INTERVAL_MS = 200;

/** How much silence of a peer is borne. */
interface Limits {
  /** Silence after which the peer is asked for a sign of life. */
  readonly askAfterMs: number;
  /** Silence after which it counts as gone; it has 250 ms or more to answer, for its collector's pauses. */
  readonly giveUpAfterMs: number;
}

/**
 * How much depends on a connection. `news`: what this process knows comes over it, and the peer says
 * something each 800 ms or more often. `usual`: it may rest; pings of
 * such connections took 3 of 16 ms of script a second of an entry without load, among 40 (one profile).
 */
export type LinkUse = 'news' | 'usual';

const LIMITS: Readonly<Record<LinkUse | 'awaited', Limits>> = {
  news: { askAfterMs: 850, giveUpAfterMs: 1300 },
  usual: { askAfterMs: 1500, giveUpAfterMs: 3000 },
  /** While an answer is awaited. */
  awaited: { askAfterMs: 400, giveUpAfterMs: 1000 },
};

/**
 * Longest time in which silence is noticed where news come from. Less than the lease of a member: with
 * 3.5 s, and leases of 1.7 s, members vanished from all lists before the silent connections were opened anew.
 */
export const NEWS_SILENCE_NOTICED_MS = LIMITS.news.giveUpAfterMs + LOOK_INTERVAL_MS;

/** What to do about a peer. */
export type SilenceStep = 'nothing' | 'ask' | 'giveUp';

/** How long one peer has been silent. */
export class LinkSilence {
  private readonly use: LinkUse;
  private heardAtMs: number;
  private lookedAtMs: number;

  constructor(use: LinkUse, nowMs: number) {
    this.use = use;
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

  /** A regular look; `awaitedSinceMs` is when the oldest request without an answer went out. */
  look(nowMs: number, awaitedSinceMs?: number): SilenceStep {
    const sinceLookMs = nowMs - this.lookedAtMs;
    this.lookedAtMs = nowMs;
    // A process that stood still has not read yet what came in the meantime.
    if (sinceLookMs > 2 * LOOK_INTERVAL_MS) {
      this.heardAtMs = Math.max(this.heardAtMs, nowMs - LIMITS.awaited.askAfterMs);
    }
    const usual = stepAfter(LIMITS[this.use], this.silentMs(nowMs));
    if (awaitedSinceMs === undefined || usual === 'giveUp') return usual;
    const awaitedMs = nowMs - Math.max(this.heardAtMs, awaitedSinceMs);
    const awaited = stepAfter(LIMITS.awaited, awaitedMs);
    return awaited === 'nothing' ? usual : awaited;
  }
}

function stepAfter({ askAfterMs, giveUpAfterMs }: Limits, silentMs: number): SilenceStep {
  if (silentMs >= giveUpAfterMs) return 'giveUp';
  return silentMs >= askAfterMs ? 'ask' : 'nothing';
}
