/**
 * Requests whose endpoints are watched until the end of their responses.
 */
import { nextPoll } from './next-poll.js';

/** A request in progress, as far as the watch over its endpoint needs it. */
export interface AccompaniedRequest {
  /** `host:port` of the endpoint. */
  readonly address: string;
  /** Whether its connection has not ended, as far as it was read. False if it is not being read. */
  readonly isOpen: () => boolean;
  /** Number of reads that have brought bytes of its response. */
  readonly readCount: () => number;
  /** Reads what has arrived for the request. */
  readonly readNow: () => void;
}

/** Reads a response until nothing more has arrived; returns whether it goes on. */
export async function isInProgress(request: AccompaniedRequest): Promise<boolean> {
  const { isOpen, readCount, readNow } = request;
  let countBefore: number;
  do {
    countBefore = readCount();
    readNow();
    await nextPoll();
  } while (isOpen() && readCount() > countBefore);
  return isOpen();
}
