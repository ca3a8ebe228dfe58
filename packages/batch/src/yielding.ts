/**
 * Which batch streams stop when an endpoint has to yield.
 */

/** A batch stream that runs. */
export interface RunningStream {
  readonly streamId: string;
  readonly startedAtMs: number;
  readonly tokens: number;
  /** Items that may not be repeated are never stopped. */
  readonly stoppable: boolean;
}

/** The streams to stop so that at most `allowed` run: those with the least to lose. */
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
