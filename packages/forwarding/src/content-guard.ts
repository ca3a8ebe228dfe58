/**
 * Interface through which the forwarder asks whether a request may be sent, and reports whether the
 * endpoint completed it or its connection broke. A request is known by the keys of its features: its
 * whole content, and what other requests may share with it.
 */

/** Decision whether a request may be sent. */
export type Admission =
  | { readonly isAdmitted: true }
  /** A feature is quarantined because it crashes endpoints; `retryAfterMs`: when to ask again. */
  | { readonly isAdmitted: false; readonly retryAfterMs: number };

/** A feature of a request that was sent. */
export interface SentFeature {
  readonly featureKey: string;
  /** Number of endpoint crashes attributed to the feature when the request was sent. */
  readonly knownCrashes: number;
}

/** A send whose connection broke before its response was complete. */
export interface BrokenSend {
  /** Id of the endpoint's incarnation. */
  readonly endpointId: string;
  /** `host:port`. */
  readonly address: string;
  readonly requestId: string;
  readonly features: readonly SentFeature[];
  /** Whether any part of the response had been received. */
  readonly hasBegun: boolean;
}

/** The feature that keeps a request from being sent. */
export interface Quarantine {
  /** Remaining time until a request with the feature may be sent, as a trial. */
  readonly forMs: number;
  readonly featureKey: string;
  readonly crashes: number;
  /** Whether the feature is the cause as far as can be told; otherwise trials decide soon. */
  readonly isConfirmed: boolean;
}

/** Keeps requests with features that crash endpoints from being sent to further endpoints. */
export interface ContentGuard {
  /** Whether no feature is suspected, so that no request has to be checked. */
  readonly isIdle: boolean;
  /**
   * Decides whether a request with these features may be sent; called before it waits for an
   * endpoint.
   */
  admit(featureKeys: readonly string[]): Promise<Admission>;
  /** Returns what keeps a request with these features from being sent; undefined if it may be. */
  quarantineOf(featureKeys: readonly string[]): Quarantine | undefined;
  /** Returns the number of endpoint crashes attributed to a feature. */
  crashCountOf(featureKey: string): number;
  /**
   * Notes that the connection of a send broke; the endpoint may have crashed while executing it.
   */
  noteBrokenSend(send: BrokenSend): void;
  /** Notes that an endpoint executed a request with these features to its end. */
  noteExecuted(featureKeys: readonly string[]): void;
}

/** A guard that admits all requests. */
export const NOOP_GUARD: ContentGuard = {
  isIdle: true,
  admit: () => Promise.resolve({ isAdmitted: true }),
  quarantineOf: () => undefined,
  crashCountOf: () => 0,
  noteBrokenSend: () => undefined,
  noteExecuted: () => undefined,
};
