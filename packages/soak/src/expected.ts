/**
 * Responses that endpoints derive from the request id, so that each response can be checked from
 * the id alone.
 */
import { unitHash } from '@shedline/types';

const MIN_PIECES = 3;
const MAX_PIECES = 12;
/** Prefix of the ids of requests that always fail. */
export const POISON_PREFIX = 'poison-';

/** Returns the number of events in the response to a request. */
export function pieceCount(requestId: string): number {
  return MIN_PIECES + Math.floor(unitHash(requestId) * (MAX_PIECES - MIN_PIECES));
}

/** Returns the data of one event; `number` counts from 1. */
export function pieceOf(requestId: string, number: number): string {
  return `${requestId}:${number}`;
}

/** Returns the data of all events, one per line. */
export function wholeText(requestId: string): string {
  const pieces = Array.from({ length: pieceCount(requestId) }, (_, index) =>
    pieceOf(requestId, index + 1),
  );
  return pieces.join('\n');
}

/** Prefix of contents that crash the endpoint which runs them. */
export const CRASHER_PREFIX = 'crasher-';
