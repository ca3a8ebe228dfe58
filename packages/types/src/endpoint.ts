/**
 * Endpoints: the back ends that announce themselves to the entries.
 */

/** Load as an endpoint reports it; it lags behind the truth. */
export interface EndpointLoad {
  readonly running: number;
  readonly waiting: number;
  /** Requests that the endpoint can run at once. */
  readonly capacity: number;
}

/** Role of a model engine. */
export type EngineRole = 'mixed' | 'prefill' | 'decode';

/** One heartbeat of an endpoint. */
export interface Announcement {
  readonly endpointId: string;
  /** Grows with every restart of the endpoint. */
  readonly incarnation: number;
  /** Grows with every heartbeat of one incarnation. */
  readonly sequence: number;
  readonly url: string;
  readonly availabilityZone: string;
  readonly kind: 'engine' | 'plain';
  /** Models that a model engine serves; empty for a plain service. */
  readonly models: readonly string[];
  /** `workspace/service` names that a plain service answers for. */
  readonly services: readonly string[];
  readonly load: EndpointLoad;
  /** Whether the endpoint refuses an order with an old fencing number. */
  readonly checksFencing: boolean;
  /** Set once the endpoint is on its way out. */
  readonly leaving: boolean;
  /** Hashes of prompt prefixes newly cached; late and with gaps. */
  readonly cachedPrefixes?: readonly string[];
}
