/**
 * How loaded an endpoint is: what this entry has under way there, what its peers said they
 * have, and what the endpoint reported, which lags.
 */

/** Time after which the word of a peer about its own requests no longer counts. */
const PEER_COUNT_LEASE_MS = 3000;
/** Time in which the unexplained part of a report loses half its weight. */
const REPORT_HALF_LIFE_MS = 2000;

interface EndpointLoadState {
  ownOnline: number;
  ownBatch: number;
  readonly peers: Map<string, { online: number; batch: number; atMs: number }>;
  /** Requests that a report told of beyond those of the entries known here. */
  unexplained: number;
  reportedAtMs: number;
  capacity: number;
}

/** Load of endpoints as one entry estimates it. */
export class LoadView {
  private readonly states = new Map<string, EndpointLoadState>();

  /** Notes a request that begins or ends at an endpoint. */
  change(endpointId: string, kind: 'online' | 'batch', by: 1 | -1): void {
    // What ends at an endpoint that was forgotten says nothing of any other.
    if (by === -1 && !this.states.has(endpointId)) return;
    const state = this.stateOf(endpointId);
    if (kind === 'online') state.ownOnline = Math.max(0, state.ownOnline + by);
    else state.ownBatch = Math.max(0, state.ownBatch + by);
  }

  /** Takes a report of the endpoint itself, made `ageMs` ago. */
  report(endpointId: string, total: number, capacity: number, ageMs: number, nowMs: number): void {
    const state = this.stateOf(endpointId);
    const explained = this.online(endpointId, nowMs, false) + this.batch(endpointId, nowMs);
    state.unexplained = Math.max(0, total - explained);
    state.reportedAtMs = nowMs - ageMs;
    state.capacity = capacity;
  }

  /** Takes what a peer entry has under way at an endpoint. */
  peerCount(
    endpointId: string,
    peer: string,
    counts: { online: number; batch: number },
    nowMs: number,
  ): void {
    const { peers } = this.stateOf(endpointId);
    if (counts.online === 0 && counts.batch === 0) peers.delete(peer);
    else peers.set(peer, { ...counts, atMs: nowMs });
  }

  /** Online requests at an endpoint, with or without what only the endpoint knows of. */
  online(endpointId: string, nowMs: number, withUnexplained = true): number {
    const state = this.states.get(endpointId);
    if (state === undefined) return 0;
    let total = state.ownOnline;
    for (const count of this.freshPeers(state, nowMs)) total += count.online;
    return withUnexplained ? total + this.agedUnexplained(state, nowMs) : total;
  }

  /** Online requests of this entry at an endpoint. */
  ownOnline(endpointId: string): number {
    return this.states.get(endpointId)?.ownOnline ?? 0;
  }

  /** Batch requests at an endpoint. */
  batch(endpointId: string, nowMs: number): number {
    const state = this.states.get(endpointId);
    if (state === undefined) return 0;
    let total = state.ownBatch;
    for (const count of this.freshPeers(state, nowMs)) total += count.batch;
    return total;
  }

  /** Requests that the endpoint can run at once. */
  capacity(endpointId: string): number {
    return this.states.get(endpointId)?.capacity ?? 1;
  }

  /** What this entry has under way, for its peers. */
  own(): { endpointId: string; online: number; batch: number }[] {
    return [...this.states].map(([endpointId, state]) => ({
      endpointId,
      online: state.ownOnline,
      batch: state.ownBatch,
    }));
  }

  /** Forgets all other endpoints. */
  keepOnly(endpointIds: ReadonlySet<string>): void {
    for (const endpointId of this.states.keys()) {
      if (!endpointIds.has(endpointId)) this.states.delete(endpointId);
    }
  }

  /** Forgets an endpoint. */
  forget(endpointId: string): void {
    this.states.delete(endpointId);
  }

  private stateOf(endpointId: string): EndpointLoadState {
    const known = this.states.get(endpointId);
    if (known !== undefined) return known;
    const fresh: EndpointLoadState = {
      ownOnline: 0,
      ownBatch: 0,
      peers: new Map(),
      unexplained: 0,
      reportedAtMs: -Infinity,
      capacity: 1,
    };
    this.states.set(endpointId, fresh);
    return fresh;
  }

  private freshPeers(state: EndpointLoadState, nowMs: number): { online: number; batch: number }[] {
    for (const [peer, count] of state.peers) {
      if (nowMs - count.atMs > PEER_COUNT_LEASE_MS) state.peers.delete(peer);
    }
    return [...state.peers.values()];
  }

  private agedUnexplained(state: EndpointLoadState, nowMs: number): number {
    const ageMs = Math.max(0, nowMs - state.reportedAtMs);
    return state.unexplained * 0.5 ** (ageMs / REPORT_HALF_LIFE_MS);
  }
}
