/**
 * Responses that endpoints derive from the request id, so that each response can be checked from
 * the id alone.
 */
import { unitHash } from '@shedline/types';

const MIN_EVENTS = 3;
const MAX_EVENTS = 12;
/** Prefix of the ids of requests with {@link LONG_EVENTS} events, about as many as items of jobs have. */
export const LONG_PREFIX = 'long-';
const LONG_EVENTS = 150;
/** Prefix of the ids of requests that always fail. */
export const POISON_PREFIX = 'poison-';

/** Returns the number of events in the response to a request. */
export function eventCountOf(requestId: string): number {
  if (requestId.startsWith(LONG_PREFIX)) return LONG_EVENTS;
  return MIN_EVENTS + Math.floor(unitHash(requestId) * (MAX_EVENTS - MIN_EVENTS));
}

/** Returns the data of one event; `number` counts from 1. */
export function eventDataOf(requestId: string, number: number): string {
  return `${requestId}:${number}`;
}

/** Returns the data of all events, one per line. */
export function completeTextOf(requestId: string): string {
  const events = Array.from({ length: eventCountOf(requestId) }, (_, index) =>
    eventDataOf(requestId, index + 1),
  );
  return events.join('\n');
}

/** Prefix of contents that crash the endpoint which runs them. */
export const CRASHER_PREFIX = 'crasher-';
