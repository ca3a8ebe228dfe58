/**
 * One run of an endpoint. An endpoint may start again under the id that it had; the new run knows
 * nothing of what the run before held, so everything that is believed of an endpoint is believed
 * of one run of it, under its {@link runIdOf}.
 */

/** Start of a run whose endpoint does not tell it; older than any start that is told. */
export const UNKNOWN_START_MS = 0;

const SEPARATOR = '#';

/** Names a run of an endpoint. */
export interface EndpointRun {
  /** Id that the endpoint gives itself; it may keep it over a restart. */
  readonly endpointId: string;
  /**
   * Unix time at which the run started, by the clock of the endpoint; it only tells runs of one id
   * apart. {@link UNKNOWN_START_MS} where it is not told.
   */
  readonly startedAtMs: number;
}

/** Key of a run, the same in every process. */
export function runIdOf({ endpointId, startedAtMs }: EndpointRun): string {
  const isPlain = startedAtMs === UNKNOWN_START_MS && !endpointId.includes(SEPARATOR);
  return isPlain ? endpointId : `${endpointId}${SEPARATOR}${startedAtMs}`;
}

/** The id that the endpoint of a run gives itself. */
export function endpointIdOf(runId: string): string {
  const end = runId.lastIndexOf(SEPARATOR);
  return end === -1 ? runId : runId.slice(0, end);
}
