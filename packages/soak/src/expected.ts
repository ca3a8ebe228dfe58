/**
 * What endpoints make of a request, so that every answer can be checked from its id alone.
 */
import { unitHash } from '@shedline/types';

const MIN_PIECES = 3;
const MAX_PIECES = 12;
/** Requests whose id begins so can never be done. */
export const POISON_PREFIX = 'poison-';

/** Number of events of the answer to a request. */
export function pieceCount(requestId: string): number {
  return MIN_PIECES + Math.floor(unitHash(requestId) * (MAX_PIECES - MIN_PIECES));
}

/** Data of one event, counted from 1. */
export function pieceOf(requestId: string, number: number): string {
  return `${requestId}:${number}`;
}

/** Data of all events, one a line. */
export function wholeText(requestId: string): string {
  const pieces = Array.from({ length: pieceCount(requestId) }, (_, index) =>
    pieceOf(requestId, index + 1),
  );
  return pieces.join('\n');
}

/** Contents that begin so end the endpoint that runs them. */
export const CRASHER_PREFIX = 'crasher-';
