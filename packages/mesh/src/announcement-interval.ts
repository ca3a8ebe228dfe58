/**
 * Decides how often a process announces itself. Each announcement is sent to all connected control
 * processes at once, because announcements and replies that are spread over time each wake the
 * process up separately.
 */
import type { MemberKind } from './member-record.js';

/** Interval with few control processes, and of control processes among each other. */
const SHORT_INTERVAL_MS = 400;
/**
 * Interval with many control processes. The lease of a member tolerates a delay of twice the
 * interval, and a peer is pinged if nothing was received for 850 ms.
 */
const LONG_INTERVAL_MS = 800;
/** Number of connected control processes up to which the interval is short. */
const MAX_CONTROLS_AT_SHORT_INTERVAL = 3;

/** Returns the time in ms until a process announces itself again. */
export function announcementIntervalMs(kind: MemberKind, connectedControlCount: number): number {
  return kind === 'control' || connectedControlCount <= MAX_CONTROLS_AT_SHORT_INTERVAL
    ? SHORT_INTERVAL_MS
    : LONG_INTERVAL_MS;
}
