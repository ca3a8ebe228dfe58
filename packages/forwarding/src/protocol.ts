/**
 * Interface of the protocol between entries and endpoints, as far as the forwarder needs it.
 */
import type { SharedPrompt } from '@shedline/types';

/** Headers in their order and spelling on the wire: name, value, name, value, … */
export type RawHeaders = readonly string[];

/** A request as received from its caller. */
export interface CallerRequest {
  /** Id of the request, from the caller. */
  readonly requestId: string;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  /** End-to-end headers, unchanged. */
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** Workspace whose API key the caller sent; undefined if no key is required. */
  readonly workspace?: string;
  /** Id of the event after which the caller wants the stream to resume. */
  readonly resumeAfterEventId?: string;
  /** Id of the caller's attempt that brought the first event of the stream to resume. */
  readonly resumesRequestId?: string;
  /** List of the parts of its prompt, as sent by the caller. */
  readonly prompt?: string;
  /** Part of its prompt that other requests share. */
  readonly sharedPrompt?: SharedPrompt;
  /** Maximum number of tokens of the response; undefined if the caller does not state it. */
  readonly maxOutputTokens?: number;
}

/** Values that one send adds to the request. */
export interface SendTerms {
  /** Id of the only endpoint incarnation that may execute the request. */
  readonly endpointId: string;
  /** Time limit of the execution; undefined if it has none. */
  readonly timeLeftMs: number | undefined;
  /** Id of the event after which the stream resumes; undefined for the whole stream. */
  readonly resumeAfterEventId: string | undefined;
}

/** The head of an endpoint's response. */
export interface EndpointHead {
  readonly status: number;
  /** End-to-end headers. */
  readonly headers: RawHeaders;
  /** Id of the request that the response belongs to; undefined if the response has none. */
  readonly requestId: string | undefined;
  /** The endpoint states that it did not execute the request. */
  readonly isNotExecuted: boolean;
  /** The response has the endpoint's signature. */
  readonly isSigned: boolean;
  readonly isEventStream: boolean;
  /**
   * The body has neither a length nor chunks: it ends with its connection, and cannot be checked
   * for completeness.
   */
  readonly endsWithConnection: boolean;
}

/** The protocol between entries and endpoints. */
export interface EndpointProtocol {
  /** Returns the headers of a send. */
  sendHeaders(request: CallerRequest, terms: SendTerms): RawHeaders;
  /** Returns the ids of the parts of a request's prompt that other requests may share, in order. */
  sharedPartsOf(headers: RawHeaders): readonly string[];
  /** Interprets the status and headers of a response. */
  readHead(status: number, headers: RawHeaders): EndpointHead;
}
