/**
 * Decides at which software version a stream began, from what several processes know.
 */
import { isSameOrigin } from './messages.js';
import type { OriginReply, StreamOrigin } from './messages.js';

/** Why the origin of a stream is not known. */
export type UnknownOriginReason =
  /** Too few control processes replied to rule out a record or a version that others know. */
  | 'no majority'
  /** None has observed the versions for long enough. */
  | 'versions not observed for long enough'
  /** Several versions serve, and no record says which one began the stream. */
  | 'several versions'
  /** No endpoint of the service is known. */
  | 'no version';

/** The origin of a stream, and how it is known. */
export type OriginVerdict =
  | {
      readonly isKnown: true;
      readonly origin: StreamOrigin;
      readonly evidence: 'record' | 'only version';
    }
  | { readonly isKnown: false; readonly reason: UnknownOriginReason };

/** Options of {@link decideOrigin}. */
export interface OriginEvidence {
  /** What this entry knows itself. */
  readonly own: OriginReply;
  /** Replies of control processes. */
  readonly replies: readonly OriginReply[];
  /** Number of control processes that may hold records, whether they replied or not. */
  readonly controlCount: number;
}

/**
 * A record of any process is proof. Without one, a stream can only have begun at the one version that
 * a majority and this entry know; everything else is unknown.
 */
export function decideOrigin({ own, replies, controlCount }: OriginEvidence): OriginVerdict {
  const all = [own, ...replies];
  const recorded = all.find(({ origin }) => origin !== undefined)?.origin;
  if (recorded !== undefined) return { isKnown: true, origin: recorded, evidence: 'record' };
  if (replies.length * 2 <= controlCount) return { isKnown: false, reason: 'no majority' };
  if (!all.some(({ coversKeepTime }) => coversKeepTime))
    return { isKnown: false, reason: 'versions not observed for long enough' };
  const [first, ...others] = all.flatMap(({ versions }) => versions);
  if (first === undefined) return { isKnown: false, reason: 'no version' };
  if (others.some((other) => !isSameOrigin(first, other)))
    return { isKnown: false, reason: 'several versions' };
  return { isKnown: true, origin: first, evidence: 'only version' };
}
