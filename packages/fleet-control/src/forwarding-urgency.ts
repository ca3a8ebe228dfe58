/**
 * Decides how soon a control process forwards a heartbeat of an endpoint to the other control
 * processes.
 */
import { hasSameDescription } from '@shedline/fleet';
import type { AgedHeartbeat, EndpointHeartbeat } from '@shedline/fleet';

/**
 * `firstOfRun`: the first heartbeat of an incarnation; `changed`: it says something new, or the
 * endpoint was silent; `repeated`: it only confirms that the endpoint is still up.
 */
export type ForwardingUrgency = 'firstOfRun' | 'changed' | 'repeated';

/** Silence, in heartbeat intervals, after which a heartbeat is news. A lease has three intervals. */
const SILENT_INTERVALS = 1.5;

/** Short compared with the time within which a started endpoint should receive requests. */
const FIRST_OF_RUN_DELAY_MS = 10;
const CHANGED_DELAY_MS = 50;
/**
 * Share of the heartbeat interval for which a repeated heartbeat may wait. With the default interval
 * of 1.2 s and polls of 0.5 s, entries see heartbeats at most 1.9 s apart, or 3.1 s if one is lost;
 * a lease is 3.6 s. With 50 ms, most messages between 8 control processes carried one heartbeat.
 */
const REPEATED_DELAY_SHARE = 1 / 6;

/** Returns the time, in milliseconds, for which a heartbeat may wait to be sent with others. */
export function maxForwardingDelayMs(urgency: ForwardingUrgency, heartbeatMs: number): number {
  if (urgency === 'firstOfRun') return FIRST_OF_RUN_DELAY_MS;
  if (urgency === 'changed') return CHANGED_DELAY_MS;
  return heartbeatMs * REPEATED_DELAY_SHARE;
}

/** Returns the urgency of a heartbeat, given the latest one known of its endpoint. */
export function forwardingUrgency(
  heartbeat: EndpointHeartbeat,
  known: AgedHeartbeat | undefined,
  heartbeatMs: number,
): ForwardingUrgency {
  if (known?.heartbeat.startedAtMs !== heartbeat.startedAtMs) return 'firstOfRun';
  const isRepeated =
    hasSameDescription(known.heartbeat, heartbeat) &&
    heartbeat.warmUpLeftMs === known.heartbeat.warmUpLeftMs &&
    known.ageMs <= SILENT_INTERVALS * heartbeatMs;
  return isRepeated ? 'repeated' : 'changed';
}
