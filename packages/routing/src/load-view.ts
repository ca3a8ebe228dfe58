/**
 * Estimates the load of endpoints from this entry's own requests, the counts that peer entries
 * report, and the delayed reports of the endpoints.
 */

/** Time after which the counts reported by a peer expire. */
const PEER_COUNTS_EXPIRY_MS = 3000;
/** Half-life of the load that a report of an endpoint attributes to no known entry. */
const REPORT_HALF_LIFE_MS = 2000;

interface EndpointLoadState {
  ownOnline: number;
  ownBatch: number;
  readonly peers: Map<string, { online: number; batch: number; atMs: number }>;
  /** Requests of the last report beyond those of this entry and its peers. */
  unattributed: number;
  reportedAtMs: number;
  capacity: number;
}

/** One entry's estimate of the load of endpoints. */
export class LoadView {
  private readonly states = new Map<string, EndpointLoadState>();

  /** Records a request of this entry that begins or ends at an endpoint. */
  recordChange(endpointId: string, kind: 'online' | 'batch', by: 1 | -1): void {
    // The end of a request at a removed endpoint must not add the endpoint again.
    if (by === -1 && !this.states.has(endpointId)) return;
    const state = this.stateOf(endpointId);
    if (kind === 'online') state.ownOnline = Math.max(0, state.ownOnline + by);
    else state.ownBatch = Math.max(0, state.ownBatch + by);
  }

  /** Applies a report of the endpoint itself, made `ageMs` ago. */
  applyReport(
    endpointId: string,
    total: number,
    capacity: number,
    ageMs: number,
    nowMs: number,
  ): void {
    const state = this.stateOf(endpointId);
    const attributed = this.online(endpointId, nowMs, false) + this.batch(endpointId, nowMs);
    state.unattributed = Math.max(0, total - attributed);
    state.reportedAtMs = nowMs - ageMs;
    state.capacity = capacity;
  }

  /** Applies the counts of requests that a peer entry has in progress at an endpoint. */
  recordPeerCounts(
    endpointId: string,
    peer: string,
    counts: { online: number; batch: number },
    nowMs: number,
  ): void {
    const { peers } = this.stateOf(endpointId);
    if (counts.online === 0 && counts.batch === 0) peers.delete(peer);
    else peers.set(peer, { ...counts, atMs: nowMs });
  }

  /** Returns the number of online requests at an endpoint, by default with unattributed load. */
  online(endpointId: string, nowMs: number, includesUnattributed = true): number {
    const state = this.states.get(endpointId);
    if (state === undefined) return 0;
    const total = state.ownOnline + peerSum(state, 'online', nowMs);
    return includesUnattributed ? total + this.decayedUnattributed(state, nowMs) : total;
  }

  /** Returns the number of online requests of this entry at an endpoint. */
  ownOnline(endpointId: string): number {
    return this.states.get(endpointId)?.ownOnline ?? 0;
  }

  /** Returns the requests that this entry has in progress; undefined for an unknown endpoint. */
  ownLoad(endpointId: string): { online: number; batch: number } | undefined {
    const state = this.states.get(endpointId);
    return state === undefined ? undefined : { online: state.ownOnline, batch: state.ownBatch };
  }

  /** Returns the number of batch requests at an endpoint. */
  batch(endpointId: string, nowMs: number): number {
    const state = this.states.get(endpointId);
    if (state === undefined) return 0;
    return state.ownBatch + peerSum(state, 'batch', nowMs);
  }

  /** Returns the number of requests that the endpoint can run at once. */
  capacity(endpointId: string): number {
    return this.states.get(endpointId)?.capacity ?? 1;
  }

  /** Returns the counts of requests that this entry has in progress, to send to its peers. */
  ownCounts(): { endpointId: string; online: number; batch: number }[] {
    return [...this.states].map(([endpointId, state]) => ({
      endpointId,
      online: state.ownOnline,
      batch: state.ownBatch,
    }));
  }

  /** Removes the endpoints that are not in `endpointIds`. */
  removeAllExcept(endpointIds: ReadonlySet<string>): void {
    for (const endpointId of this.states.keys()) {
      if (!endpointIds.has(endpointId)) this.states.delete(endpointId);
    }
  }

  remove(endpointId: string): void {
    this.states.delete(endpointId);
  }

  private stateOf(endpointId: string): EndpointLoadState {
    const known = this.states.get(endpointId);
    if (known !== undefined) return known;
    const created: EndpointLoadState = {
      ownOnline: 0,
      ownBatch: 0,
      peers: new Map(),
      unattributed: 0,
      reportedAtMs: -Infinity,
      capacity: 1,
    };
    this.states.set(endpointId, created);
    return created;
  }

  private decayedUnattributed(state: EndpointLoadState, nowMs: number): number {
    const ageMs = Math.max(0, nowMs - state.reportedAtMs);
    return state.unattributed * 0.5 ** (ageMs / REPORT_HALF_LIFE_MS);
  }
}

/** Returns the sum of the counts of all peers, after removing those that have expired. */
function peerSum({ peers }: EndpointLoadState, kind: 'online' | 'batch', nowMs: number): number {
  let sum = 0;
  for (const [peer, counts] of peers) {
    if (nowMs - counts.atMs > PEER_COUNTS_EXPIRY_MS) peers.delete(peer);
    else sum += counts[kind];
  }
  return sum;
}
