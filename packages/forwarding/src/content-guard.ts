/**
 * Interface through which the forwarder asks whether request content may be sent, and reports
 * whether the endpoint completed it or its connection broke.
 */

/** Decision whether request content may be sent. */
export type Admission =
  | { readonly isAdmitted: true }
  /** The content is quarantined because it crashes endpoints; `retryAfterMs`: when to ask again. */
  | { readonly isAdmitted: false; readonly retryAfterMs: number };

/** A send whose connection broke before its response was complete. */
export interface BrokenSend {
  /** Id of the endpoint's incarnation. */
  readonly endpointId: string;
  /** `host:port`. */
  readonly address: string;
  readonly requestId: string;
  readonly contentKey: string;
  /** Number of endpoint crashes attributed to the content when it was sent. */
  readonly knownCrashes: number;
  /** Whether any part of the response had been received. */
  readonly hasBegun: boolean;
}

/** Keeps request content that crashes endpoints from being sent to further endpoints. */
export interface ContentGuard {
  /** Whether no content is suspected, so that no request has to be checked. */
  readonly isIdle: boolean;
  /**
   * Decides whether content may be sent; called once per request, before it waits for an endpoint.
   */
  admit(contentKey: string): Promise<Admission>;
  /** Returns the remaining quarantine time of a content; 0 if it may be sent. */
  quarantinedForMs(contentKey: string): number;
  /** Returns the number of endpoint crashes attributed to a content. */
  crashCountOf(contentKey: string): number;
  /**
   * Notes that the connection of a send broke; the endpoint may have crashed while executing it.
   */
  noteBrokenSend(send: BrokenSend): void;
  /** Notes that an endpoint executed the content without crashing. */
  noteExecuted(contentKey: string): void;
}

/** A guard that admits all content. */
export const NOOP_GUARD: ContentGuard = {
  isIdle: true,
  admit: () => Promise.resolve({ isAdmitted: true }),
  quarantinedForMs: () => 0,
  crashCountOf: () => 0,
  noteBrokenSend: () => undefined,
  noteExecuted: () => undefined,
};
