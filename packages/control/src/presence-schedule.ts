/**
 * Decides which peers a process announces itself to, and when.
 */

/** Interval between the checks for due announcements. */
export const PRESENCE_CHECK_INTERVAL_MS = 250;
/**
 * Time between announcements to one peer. Less than the 850 ms after which a silent peer is pinged,
 * so that replies to announcements make pings unnecessary.
 */
export const PRESENCE_INTERVAL_MS = 3 * PRESENCE_CHECK_INTERVAL_MS;
/** Timers fire slightly early or late; an announcement must not wait for another check. */
const TOLERANCE_MS = PRESENCE_CHECK_INTERVAL_MS / 2;

/** Times of the announcements to each connected peer. */
export class PresenceSchedule {
  private readonly announcedAtMs = new Map<string, number>();

  /** Returns the connected peers that get an announcement now; a new connection gets one at once. */
  due(connected: readonly string[], nowMs: number): string[] {
    const names = new Set(connected);
    for (const name of this.announcedAtMs.keys()) {
      if (!names.has(name)) this.announcedAtMs.delete(name);
    }
    const due = connected.filter((name) => {
      const sinceMs = nowMs - (this.announcedAtMs.get(name) ?? -Infinity);
      return sinceMs >= PRESENCE_INTERVAL_MS - TOLERANCE_MS;
    });
    for (const name of due) this.announcedAtMs.set(name, nowMs);
    return due;
  }
}
