/**
 * Identifies one incarnation of an endpoint. An endpoint may restart under the same id without the
 * state of the previous incarnation, so all state about an endpoint is kept per incarnation, under
 * its {@link runIdOf}.
 */

/** Start time of an incarnation that does not report it; earlier than any reported start time. */
export const UNKNOWN_START_MS = 0;

const SEPARATOR = '#';

/** Identifies an incarnation of an endpoint. */
export interface EndpointRun {
  /** Id that the endpoint chooses; it may reuse it after a restart. */
  readonly endpointId: string;
  /**
   * Unix time at which the incarnation started, on the clock of the endpoint; used only to order the
   * incarnations of one id. {@link UNKNOWN_START_MS} if it is not reported.
   */
  readonly startedAtMs: number;
}

/** Returns the key of an incarnation, which is the same in every process. */
export function runIdOf({ endpointId, startedAtMs }: EndpointRun): string {
  const isBareId = startedAtMs === UNKNOWN_START_MS && !endpointId.includes(SEPARATOR);
  return isBareId ? endpointId : `${endpointId}${SEPARATOR}${startedAtMs}`;
}

/** Returns the incarnation of a key. */
export function runOf(runId: string): EndpointRun {
  const endpointId = endpointIdOf(runId);
  const hasStart = endpointId.length < runId.length;
  const startedAtMs = hasStart ? Number(runId.slice(endpointId.length + 1)) : UNKNOWN_START_MS;
  return { endpointId, startedAtMs };
}

/** Returns the endpoint id of an incarnation key. */
export function endpointIdOf(runId: string): string {
  const end = runId.lastIndexOf(SEPARATOR);
  return end === -1 ? runId : runId.slice(0, end);
}
