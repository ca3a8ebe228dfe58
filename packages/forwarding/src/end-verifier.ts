/**
 * Tells whether a response without a length is whole. It ends with its connection, which the kernel
 * closes in order for a process that ends in the middle of the response as well. So it is whole only
 * if its endpoint is seen alive after its end.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { isInProgress } from './accompanied-request.js';
import type { AccompaniedRequest } from './accompanied-request.js';
import type { CompanionConnections } from './companion-connections.js';
import type { CompanionHold, HoldBegin } from './companion-hold.js';
import { PROCESS_END_SPREAD_MS } from './idle-lifetimes.js';
import { nextPoll } from './next-poll.js';

/**
 * What is known of an endpoint after the end of a response without a length; `unknown` if it had no
 * open connection but that of the response.
 */
export type EndVerdict = 'alive' | 'ended' | 'unknown';

/** Options of {@link EndVerifier}. */
export interface EndVerifierOptions {
  readonly companions: CompanionConnections;
  readonly request: AccompaniedRequest;
  /** Whether the endpoint has announced that it drains. */
  readonly isLeaving: () => boolean;
  /** Path of the health check of the endpoint; undefined if it is not known. */
  readonly healthPath: () => string | undefined;
  /** Other requests to the same incarnation whose responses are in progress. */
  readonly otherResponses: () => readonly AccompaniedRequest[];
}

/** Verifies the end of one response. */
export class EndVerifier {
  private readonly options: EndVerifierOptions;
  private hold: CompanionHold | undefined;

  constructor(options: EndVerifierOptions) {
    this.options = options;
  }

  /** Opens a companion connection, as the request is about to be sent. */
  accompany(begin: 'beforeConnection' | 'beforeSend'): void {
    this.hold = this.begin(begin);
  }

  /** Opens a companion connection, if there is none, as a response without a length begins. */
  accompanyResponse(): void {
    this.hold ??= this.begin('afterHead');
  }

  /** Releases the companion connection. */
  release(): void {
    this.hold?.release();
  }

  /** Returns the verdict on a response that has just ended. */
  async verify(): Promise<EndVerdict> {
    const { request, otherResponses } = this.options;
    const others = otherResponses().map((other) => ({ other, countAtEnd: other.readCount() }));
    await this.waitForEvidence();
    request.readNow();
    await nextPoll();
    const state = this.hold?.endpointState ?? 'unknown';
    // What a process has sent may arrive for a while after its end.
    if (state !== 'unknown') return state;
    for (const { other, countAtEnd } of others) {
      // Bytes alone may have arrived before the end: they are evidence once all of them were read.
      if ((await isInProgress(other)) && other.readCount() > countAtEnd) return 'alive';
    }
    return state;
  }

  /**
   * Waits until the ends of all connections of a process that ended have arrived. An endpoint that
   * drains may exit soon after its last response, and is sent a health check meanwhile.
   */
  private async waitForEvidence(): Promise<void> {
    const { request, isLeaving, healthPath } = this.options;
    const path = isLeaving() ? healthPath() : undefined;
    const healthCheck =
      path === undefined ? undefined : `GET ${path} HTTP/1.1\r\nHost: ${request.address}\r\n\r\n`;
    const waits = [pause(PROCESS_END_SPREAD_MS)];
    if (this.hold !== undefined) waits.push(this.hold.whenResponded(healthCheck));
    await Promise.race(waits);
  }

  private begin(begin: HoldBegin): CompanionHold {
    const { companions, request } = this.options;
    return companions.hold({ request, begin });
  }
}
