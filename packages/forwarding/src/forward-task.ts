/**
 * A request to forward, and what its forwarding needs of the rest of the entry.
 */
import type { Route } from '@shedline/fleet';
import type { Logger } from '@shedline/logger';
import type { ContentGuard } from './content-guard.js';
import type { EndpointFinder } from './endpoint-queue.js';
import type { RequestSender, SendResult } from './endpoint-sender.js';
import type { CallerRequest, EndpointProtocol, RawHeaders } from './protocol.js';

/** Knows the endpoints and how they do. */
export interface EndpointChooser extends EndpointFinder {
  /** A send has ended; `firstPartMs` is the time to the first part of an answer that went well. */
  ended(endpointId: string, result: SendResult, firstPartMs: number | undefined): void;
  /** The answer to a send has begun. */
  answers(endpointId: string): void;
  /** Whether a request at the endpoint may be waiting there for its turn. */
  mayBeWaiting(endpointId: string): boolean;
}

/** Where the answer goes. */
export interface ResponseSink {
  /** `endsWithConnection`: without length or chunks, as {@link EndpointHead} says. */
  head(
    status: number,
    headers: RawHeaders,
    options?: { readonly endsWithConnection?: boolean },
  ): void;
  /** False: wait for {@link onDrain}. */
  write(bytes: Buffer): boolean;
  onDrain(listener: () => void): void;
  end(): void;
  /** Breaks the connection: what went out must not look complete. */
  cut(): void;
  /** An answer of shedline's own. */
  refuse(status: number, options: { readonly retryAfterMs?: number }): void;
  /** Called once if the caller goes away before the answer is complete, or has gone already. */
  onGone(listener: () => void): void;
}

/** How a request ended, for counters. */
export type ForwardEnd = 'complete' | 'refused' | 'failed' | 'passedOn' | 'cut' | 'callerGone';

/** Options of {@link Forwarder}. */
export interface ForwarderOptions {
  readonly sender: RequestSender;
  readonly protocol: EndpointProtocol;
  readonly chooser: EndpointChooser;
  /** Left out: nothing is held back. */
  readonly guard?: ContentGuard;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

/** One request to forward. */
export interface ForwardTask {
  readonly request: CallerRequest;
  readonly route: Route;
  readonly service: string;
  /** 0 is the most urgent; that of the workspace goes before that of the route. */
  readonly rank: number;
  /** Version of the configuration that chose the route, for the log. */
  readonly version: number;
  /** End of the time that the request has, on the clock of `nowMs`. */
  readonly deadlineMs: number;
  /** When this attempt of the caller came, on the same clock. */
  readonly arrivedAtMs: number;
  /** When the caller first asked, as far as it shows, on the same clock. */
  readonly firstAskedAtMs: number;
  readonly sink: ResponseSink;
}
