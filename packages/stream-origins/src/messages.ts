/**
 * Messages between entries, which begin and continue streams, and the control processes, which hold
 * copies of their records.
 */
import { sha256Hex } from '@shedline/types';

/** Time after the end of a stream for which its caller may continue it. */
export const STREAM_KEEP_MS = 30_000;

const KEY_HEX_DIGITS = 32;

/** The kind of endpoint that wrote the events of a stream. */
export interface StreamOrigin {
  readonly service: string;
  /** Empty if the endpoint states none. */
  readonly softwareVersion: string;
}

/** Whether the events of two streams fit together. */
export function isSameOrigin(a: StreamOrigin, b: StreamOrigin): boolean {
  return a.service === b.service && a.softwareVersion === b.softwareVersion;
}

/** One attempt of a caller, as the caller names it. */
export interface StreamAttempt {
  readonly host: string;
  /** Undefined if the route requires no API key. */
  readonly workspace: string | undefined;
  readonly requestId: string;
}

/** The origin of the stream that an attempt began. */
export interface OriginRecord extends StreamOrigin {
  readonly key: string;
  /** Id of the endpoint's incarnation that wrote the first event. */
  readonly writer: string;
  /** Time since the first event. */
  readonly ageMs: number;
  /** Time after the first event for which the record is held. */
  readonly keepMs: number;
}

/** A question for the origin of a stream. */
export interface OriginRequest {
  readonly key: string;
  /** Services at which the stream may have begun. */
  readonly services: readonly string[];
}

/** What one process knows of the origin of a stream. */
export interface OriginReply {
  /** Omitted if the process has no record of it. */
  readonly origin?: StreamOrigin;
  /** All versions of the services in question that served within {@link STREAM_KEEP_MS}. */
  readonly versions: readonly StreamOrigin[];
  /** Whether the process has observed the versions for all of that time. */
  readonly coversKeepTime: boolean;
}

/**
 * Returns the key of an attempt's record, the same in every process. It includes the workspace, so that
 * no caller continues the stream of another workspace.
 */
export function originKeyOf({ host, workspace, requestId }: StreamAttempt): string {
  return sha256Hex(JSON.stringify([host, workspace ?? null, requestId])).slice(0, KEY_HEX_DIGITS);
}
