/**
 * Endpoints: the back ends that announce themselves to the entries.
 */

/** Load as reported by an endpoint; it lags behind the actual load. */
export interface EndpointLoad {
  readonly running: number;
  readonly waiting: number;
  /** Number of requests that the endpoint can run concurrently. */
  readonly capacity: number;
}

/** Role of a model engine. */
export type EngineRole = 'mixed' | 'prefill' | 'decode';

/** Heartbeat of an endpoint. */
export interface Announcement {
  readonly endpointId: string;
  /** Increases with every restart of the endpoint. */
  readonly incarnation: number;
  /** Increases with every heartbeat of an incarnation. */
  readonly sequence: number;
  readonly url: string;
  readonly availabilityZone: string;
  readonly kind: 'engine' | 'plain';
  /** Models that a model engine serves; empty for a plain service. */
  readonly models: readonly string[];
  /** Names, as `workspace/service`, that a plain service serves. */
  readonly services: readonly string[];
  readonly load: EndpointLoad;
  /** Whether the endpoint rejects orders with an outdated fencing number. */
  readonly checksFencing: boolean;
  /** Whether the endpoint is draining. */
  readonly leaving: boolean;
  /** Hashes of newly cached prompt prefixes; delayed and incomplete. */
  readonly cachedPrefixes?: readonly string[];
}
