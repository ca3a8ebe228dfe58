/**
 * Decides when a peer from which nothing is received is pinged, and when its connection is
 * terminated. A connection can become unresponsive without being closed, as when the host of the
 * peer loses power.
 */

/** Interval between checks. */
export const CHECK_INTERVAL_MS = 200;

/** Times without received bytes after which this side acts. */
interface SilenceLimits {
  /** Time after which the peer is pinged. */
  readonly pingAfterMs: number;
  /**
   * Time after which the connection is terminated. The peer has at least 250 ms to reply to the
   * ping, as it may be in a garbage collection pause.
   */
  readonly terminateAfterMs: number;
}

/**
 * How soon an unresponsive peer is detected. `fast`: for connections that keep the state of
 * this process up to date; the peer sends something at least every 800 ms. `normal`: for
 * connections that may be idle. In an entry without load, one of 40, pings of such connections took
 * 3 of 16 ms of script time per second (one profile).
 */
export type SilenceDetection = 'fast' | 'normal';

const LIMITS: Readonly<Record<SilenceDetection | 'awaited', SilenceLimits>> = {
  fast: { pingAfterMs: 850, terminateAfterMs: 1300 },
  normal: { pingAfterMs: 1500, terminateAfterMs: 3000 },
  /** While a reply is awaited. */
  awaited: { pingAfterMs: 400, terminateAfterMs: 1000 },
};

/**
 * Maximum time to detect an unresponsive peer with fast detection. It is less than the lease of a
 * member: with 3.5 s and member leases of 1.7 s, members disappeared from all lists before their
 * unresponsive connections were reopened.
 */
export const FAST_DETECTION_MAX_MS = LIMITS.fast.terminateAfterMs + CHECK_INTERVAL_MS;

/** What this side does about a peer. */
export type SilenceAction = 'none' | 'ping' | 'terminate';

/** Tracks how long nothing was received from one peer. */
export class LinkSilence {
  private readonly detection: SilenceDetection;
  private lastReceivedAtMs: number;
  private lastCheckAtMs: number;

  constructor(detection: SilenceDetection, nowMs: number) {
    this.detection = detection;
    this.lastReceivedAtMs = nowMs;
    this.lastCheckAtMs = nowMs;
  }

  /** Notes that something was received from the peer. */
  noteReceived(nowMs: number): void {
    this.lastReceivedAtMs = nowMs;
  }

  /** Returns the time since something was last received from the peer. */
  silentMs(nowMs: number): number {
    return nowMs - this.lastReceivedAtMs;
  }

  /** Periodic check; `awaitedSinceMs` is when the oldest request without a reply was sent. */
  check(nowMs: number, awaitedSinceMs?: number): SilenceAction {
    const sinceCheckMs = nowMs - this.lastCheckAtMs;
    this.lastCheckAtMs = nowMs;
    // A process that was suspended has not read yet what arrived in the meantime.
    if (sinceCheckMs > 2 * CHECK_INTERVAL_MS) {
      this.lastReceivedAtMs = Math.max(this.lastReceivedAtMs, nowMs - LIMITS.awaited.pingAfterMs);
    }
    const action = actionFor(LIMITS[this.detection], this.silentMs(nowMs));
    if (awaitedSinceMs === undefined || action === 'terminate') return action;
    const awaitedMs = nowMs - Math.max(this.lastReceivedAtMs, awaitedSinceMs);
    const awaitedAction = actionFor(LIMITS.awaited, awaitedMs);
    return awaitedAction === 'none' ? action : awaitedAction;
  }
}

function actionFor(
  { pingAfterMs, terminateAfterMs }: SilenceLimits,
  silentMs: number,
): SilenceAction {
  if (silentMs >= terminateAfterMs) return 'terminate';
  return silentMs >= pingAfterMs ? 'ping' : 'none';
}
