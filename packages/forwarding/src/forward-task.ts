/**
 * A request to forward, and the interfaces that forwarding needs from the rest of the entry.
 */
import type { Route } from '@shedline/fleet';
import type { Logger } from '@shedline/logger';
import type { ContentGuard } from './content-guard.js';
import type { ChosenEndpoint, EndpointFinder } from './endpoint-queue.js';
import type { RequestSender, SendResult } from './endpoint-sender.js';
import type { CallerRequest, EndpointProtocol, RawHeaders } from './protocol.js';

/** Chooses endpoints, and is notified of the progress of sends to track their load and health. */
export interface EndpointChooser extends EndpointFinder {
  /**
   * Notes that a send ended; `firstPartMs` is the time to the first part of its response, if there
   * was one.
   */
  noteSendEnded(endpointId: string, result: SendResult, firstPartMs: number | undefined): void;
  /** Notes that the response to a send has begun. */
  noteResponseStarted(endpointId: string): void;
  /**
   * Resolves to whether an incarnation, and no later one under its id, sends the response that has just
   * begun.
   */
  confirmServing(endpointId: string): Promise<boolean>;
  /**
   * Whether an incarnation, and no later one of another software version, wrote what it sent at `atMs`, as
   * far as is known.
   */
  isWriterCertain(endpointId: string, atMs: number): boolean;
  /** Returns the software versions of the endpoints of a service that are up. */
  softwareVersionsOf(service: string): readonly string[];
  /** Whether a request at the endpoint may be queued there. */
  mayBeQueued(endpointId: string): boolean;
}

/** Receives the response for the caller. */
export interface ResponseSink {
  /** Writes the head. The body that follows can be told from a truncated one. */
  sendHead(status: number, headers: RawHeaders): void;
  /** Writes a part of the body. Returns false if the writer has to wait for {@link onDrain}. */
  write(bytes: Buffer): boolean;
  onDrain(listener: () => void): void;
  end(): void;
  /** Closes the connection so that the truncated response does not look complete. */
  abort(): void;
  /** Sends an error response of shedline itself. */
  refuse(status: number, options: { readonly retryAfterMs?: number }): void;
  /**
   * Registers a listener, called once if the caller disconnects before the response is complete or
   * already has.
   */
  onDisconnect(listener: () => void): void;
}

/** How a request ended, for logs and counters. */
export type ForwardEnd = 'complete' | 'refused' | 'failed' | 'passedOn' | 'cut' | 'callerGone';

/** Options of {@link Forwarder}. */
export interface ForwarderOptions {
  readonly sender: RequestSender;
  readonly protocol: EndpointProtocol;
  readonly chooser: EndpointChooser;
  /** Quarantine of features of requests; none if omitted. */
  readonly guard?: ContentGuard;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

/** One request to forward. */
export interface ForwardTask {
  readonly request: CallerRequest;
  readonly route: Route;
  readonly service: string;
  /**
   * Priority, 0 is the most urgent; the rank of the workspace takes precedence over that of the
   * route.
   */
  readonly rank: number;
  /** Version of the configuration that chose the route, for the log. */
  readonly version: number;
  /** Deadline of the request, on the clock of `nowMs`. */
  readonly deadlineMs: number;
  /** When this attempt of the caller arrived, on the same clock. */
  readonly arrivedAtMs: number;
  /** When the caller's first attempt was made, as far as known, on the same clock. */
  readonly firstAttemptAtMs: number;
  readonly sink: ResponseSink;
  /** Software version that began the stream which the caller resumes; undefined for a new one. */
  readonly softwareVersion?: string;
  /** Whether `softwareVersion` is still certain to have begun the stream. */
  readonly isOriginCertain?: () => boolean;
  /**
   * Whether the request may be sent to an endpoint: a stopping process sends none that could not end
   * in time. Checked until a part of the response has been passed on; always if omitted.
   */
  readonly mayBegin?: () => boolean;
  /** Called before the first event is passed on, with the endpoint that wrote it. */
  readonly onFirstEvent?: (endpoint: ChosenEndpoint) => void;
}
