/**
 * What the forwarder needs of the form in which endpoints are spoken to.
 */
import type { SharedPrompt } from '@shedline/types';

/** Headers in the order and spelling of the wire: name, value, name, value, … */
export type RawHeaders = readonly string[];

/** A request as its caller sent it. */
export interface CallerRequest {
  /** Names the request, from the caller. */
  readonly requestId: string;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  /** Headers that concern the whole way, unchanged. */
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** Workspace whose key the caller showed; undefined where no key is asked for. */
  readonly workspace?: string;
  /** Event after which the caller wants the stream to go on. */
  readonly resumeAfterEventId?: string;
  /** Parts of its prompt as the caller lists them. */
  readonly prompt?: string;
  /** What its prompt has in common with other requests. */
  readonly sharedPrompt?: SharedPrompt;
}

/** What one send adds to the request. */
export interface SendTerms {
  /** Id of the run of an endpoint that alone may take the request. */
  readonly endpointId: string;
  /** Time that the endpoint may work; undefined where it is not bounded. */
  readonly timeLeftMs: number | undefined;
  /** Event after which the stream goes on; undefined from the start. */
  readonly resumeAfterEventId: string | undefined;
}

/** The head of an endpoint's answer. */
export interface EndpointHead {
  readonly status: number;
  /** Headers that concern the whole way. */
  readonly headers: RawHeaders;
  /** Request that the answer names; undefined where it names none. */
  readonly requestId: string | undefined;
  /** The endpoint says that it did not run the request. */
  readonly isNotExecuted: boolean;
  /** The answer carries the endpoint's signature. */
  readonly isSigned: boolean;
  readonly isEventStream: boolean;
  /**
   * The body has neither a length nor chunks: it ends where its connection does, and nothing
   * tells whether it was whole.
   */
  readonly endsWithConnection: boolean;
}

/** The form in which endpoints are spoken to. */
export interface EndpointProtocol {
  /** Headers of a send. */
  sendHeaders(request: CallerRequest, terms: SendTerms): RawHeaders;
  readHead(status: number, headers: RawHeaders): EndpointHead;
}
