/**
 * Choice of the batch streams that are stopped to free slots for online requests.
 */

/** A running batch stream. */
export interface RunningStream {
  readonly streamId: string;
  readonly startedAtMs: number;
  /** Tokens generated so far. */
  readonly tokens: number;
  /** False for items that must not be repeated; these are never stopped. */
  readonly stoppable: boolean;
}

/** Returns the streams to stop so that at most `allowed` run, those with least progress first. */
export function chooseStreamsToStop(
  streams: readonly RunningStream[],
  allowed: number,
): RunningStream[] {
  const excess = streams.length - allowed;
  if (excess <= 0) return [];
  const stoppable = streams.filter((stream) => stream.stoppable);
  stoppable.sort((a, b) => a.tokens - b.tokens || b.startedAtMs - a.startedAtMs);
  return stoppable.slice(0, excess);
}
