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
/** Ids of requests that state the number of their events. */
const SIZED_ID = /^sized-(\d+)-/;
const VERSION_MARK = '@';
/** Prefix of the ids of requests that always fail. */
export const POISON_PREFIX = 'poison-';

/** Returns the prefix of the ids of requests with this number of events. */
export function sizedPrefix(eventCount: number): string {
  return `sized-${eventCount}-`;
}

/** Whether a request states the number of its events. */
export function isSized(requestId: string): boolean {
  return SIZED_ID.test(requestId);
}

/** Returns the number of events in the response to a request. */
export function eventCountOf(requestId: string): number {
  const stated = SIZED_ID.exec(requestId)?.[1];
  if (stated !== undefined) return Number(stated);
  if (requestId.startsWith(LONG_PREFIX)) return LONG_EVENTS;
  return MIN_EVENTS + Math.floor(unitHash(requestId) * (MAX_EVENTS - MIN_EVENTS));
}

/**
 * Returns the data of one event of an endpoint; `number` counts from 1. It names the software version,
 * as what endpoints of several versions write does not fit together.
 */
export function eventDataOf(requestId: string, number: number, softwareVersion: string): string {
  return `${dataWithoutVersion(requestId, number)}${VERSION_MARK}${softwareVersion}`;
}

/** Returns the software versions that wrote the events of a text. */
export function softwareVersionsOf(text: string): Set<string> {
  const lines = text.split('\n').filter((line) => line.includes(VERSION_MARK));
  return new Set(lines.map((line) => line.slice(line.lastIndexOf(VERSION_MARK) + 1)));
}

/** Returns the text without the versions that its events name. */
export function withoutVersions(text: string): string {
  const lines = text.split('\n');
  return lines
    .map((line) =>
      line.includes(VERSION_MARK) ? line.slice(0, line.lastIndexOf(VERSION_MARK)) : line,
    )
    .join('\n');
}

function dataWithoutVersion(requestId: string, number: number): string {
  return `${requestId}:${number}`;
}

/** Returns the data of all events without their versions, one per line. */
export function completeTextOf(requestId: string): string {
  const events = Array.from({ length: eventCountOf(requestId) }, (_, index) =>
    dataWithoutVersion(requestId, index + 1),
  );
  return events.join('\n');
}

/** Prefix of contents that crash the endpoint which runs them. */
export const CRASHER_PREFIX = 'crasher-';

/** Prefix of the ids of prompt parts that crash the endpoint which answers a request with them. */
export const CRASHING_PART_PREFIX = 'bad';
/** First part of all prompts of a run with crashing parts. */
export const COMMON_PART = 'c0';
/** Prefix of the ids of items whose prompts have a crashing part; the id of the part follows. */
const CRASHING_ITEM_PREFIX = 'part-';

/** Returns the id of an item whose prompt has a crashing part. */
export function crashingItemId(part: string, itemId: string): string {
  return `${CRASHING_ITEM_PREFIX}${part}-${itemId}`;
}

/** Returns the crashing part in the prompt of an item; undefined if it has none. */
export function crashingPartOf(itemId: string): string | undefined {
  return itemId.startsWith(CRASHING_ITEM_PREFIX) ? itemId.split('-')[1] : undefined;
}
