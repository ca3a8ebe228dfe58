/**
 * The state on which an entry bases its decisions: the table, the endpoints, their loads and prefix
 * caches, and the sessions. The decision logic is in separate packages.
 */
import { ConcurrencyLimit } from '@shedline/admission';
import { EndpointDirectory } from '@shedline/directory';
import type { Heartbeat, KnownEndpoint } from '@shedline/directory';
import { CostRouting, LoadView, PrefixIndex, firstSessionEndpoint } from '@shedline/routing';
import type { Candidate, RoutingStrategy } from '@shedline/routing';
import { TableView } from '@shedline/table';
import type { Announcement, ServiceRow } from '@shedline/types';

/** Options of {@link FleetView}. */
export interface FleetViewOptions {
  readonly availabilityZone: string;
  readonly endpointLeaseMs: number;
  readonly random: () => number;
  readonly strategy?: RoutingStrategy;
}

/** Input of {@link FleetView.route}. */
export interface RouteQuery {
  readonly row: ServiceRow;
  readonly prefixes: readonly string[];
  readonly sessionId: string | undefined;
  /** Endpoints that have already failed this request. */
  readonly excluded: ReadonlySet<string>;
}

const MAX_REMEMBERED_SESSIONS = 20_000;

/** The fleet as seen by one entry. */
export class FleetView {
  readonly table = new TableView();
  readonly endpoints: EndpointDirectory;
  readonly loads = new LoadView();
  readonly prefixes = new PrefixIndex();
  private readonly availabilityZone: string;
  private readonly strategy: RoutingStrategy;
  private readonly limits = new Map<string, ConcurrencyLimit>();
  private readonly sessionEndpoints = new Map<string, string>();

  constructor(options: FleetViewOptions) {
    this.availabilityZone = options.availabilityZone;
    this.endpoints = new EndpointDirectory({ leaseMs: options.endpointLeaseMs });
    this.strategy = options.strategy ?? new CostRouting({ random: options.random });
  }

  /** Applies an announcement; returns false if a newer one is known. */
  applyAnnouncement(announcement: Announcement, ageMs: number, nowMs: number): boolean {
    if (!this.endpoints.observe(announcement, ageMs, nowMs)) return false;
    const { endpointId, load, cachedPrefixes } = announcement;
    this.loads.applyReport(endpointId, load.running + load.waiting, load.capacity, ageMs, nowMs);
    if (cachedPrefixes !== undefined) this.prefixes.record(endpointId, cachedPrefixes);
    return true;
  }

  /** Applies a short heartbeat. */
  applyHeartbeat(heartbeat: Heartbeat, ageMs: number, nowMs: number): void {
    if (!this.endpoints.applyHeartbeat(heartbeat, ageMs, nowMs)) return;
    const { endpointId, running, waiting } = heartbeat;
    const capacity = this.loads.capacity(endpointId);
    this.loads.applyReport(endpointId, running + waiting, capacity, ageMs, nowMs);
  }

  /** Returns the endpoints to which new requests of a row may be sent. */
  endpointsOf(row: ServiceRow, nowMs: number): KnownEndpoint[] {
    if (row.kind === 'plain') {
      return this.endpoints.forService(`${row.workspace}/${row.service}`, nowMs);
    }
    const found = new Map<string, KnownEndpoint>();
    for (const model of row.models) {
      for (const endpoint of this.endpoints.forModel(model, nowMs)) {
        found.set(endpoint.announcement.endpointId, endpoint);
      }
    }
    return [...found.values()];
  }

  /** Chooses an endpoint for a request; undefined if none is usable. */
  route(query: RouteQuery, nowMs: number): KnownEndpoint | undefined {
    const usable = this.endpointsOf(query.row, nowMs).filter(
      ({ announcement }) => !query.excluded.has(announcement.endpointId),
    );
    const chosen = this.strategy.choose({
      candidates: usable.map((endpoint) => this.candidateOf(endpoint, nowMs)),
      heldBlocks: this.prefixes.matchingBlocks(query.prefixes),
      promptBlocks: query.prefixes.length,
      availabilityZone: this.availabilityZone,
      ...this.sessionHint(query.sessionId, usable),
    });
    return usable.find(({ announcement }) => announcement.endpointId === chosen?.endpointId);
  }

  /** Records the endpoint that executed the latest request of a session. */
  recordSession(sessionId: string, endpointId: string): void {
    this.sessionEndpoints.delete(sessionId);
    this.sessionEndpoints.set(sessionId, endpointId);
    if (this.sessionEndpoints.size <= MAX_REMEMBERED_SESSIONS) return;
    const oldest = this.sessionEndpoints.keys().next().value;
    if (oldest !== undefined) this.sessionEndpoints.delete(oldest);
  }

  /** Removes a closed session. */
  closeSession(sessionId: string): void {
    this.sessionEndpoints.delete(sessionId);
  }

  /** Returns the endpoint of the latest known request of a session. */
  sessionEndpoint(sessionId: string): string | undefined {
    return this.sessionEndpoints.get(sessionId);
  }

  /** Returns the sessions and their endpoints, for the peers that take them over. */
  sessionHints(): [string, string][] {
    return [...this.sessionEndpoints];
  }

  /** Returns the total online load and learned capacity of the endpoints of a row. */
  loadAndCapacityOf(row: ServiceRow, nowMs: number): { load: number; capacity: number } {
    let load = 0;
    let capacity = 0;
    for (const { announcement } of this.endpointsOf(row, nowMs)) {
      load += this.loads.online(announcement.endpointId, nowMs);
      capacity += this.limitOf(announcement.endpointId, row).value;
    }
    return { load, capacity };
  }

  /** Returns the learned concurrency limit of an endpoint. */
  limitOf(endpointId: string, row: ServiceRow): ConcurrencyLimit {
    const known = this.limits.get(endpointId);
    if (known !== undefined) return known;
    const capacity = this.loads.capacity(endpointId);
    const limit = new ConcurrencyLimit({
      targetMs: row.targets.firstTokenMs,
      initial: capacity,
      max: capacity * 2,
    });
    this.limits.set(endpointId, limit);
    return limit;
  }

  /** Returns the utilization of the endpoints that this entry observes, from 0 to 1. */
  utilization(nowMs: number): number {
    let load = 0;
    let capacity = 0;
    for (const { announcement } of this.endpoints.live(nowMs)) {
      load += this.loads.online(announcement.endpointId, nowMs);
      capacity += announcement.load.capacity;
    }
    return capacity === 0 ? 1 : Math.min(1, load / capacity);
  }

  /** Removes endpoints from which nothing was received for long, with their learned state. */
  removeExpired(nowMs: number): void {
    this.endpoints.forgetExpired(nowMs);
    for (const endpointId of this.limits.keys()) {
      if (this.endpoints.get(endpointId) !== undefined) continue;
      this.limits.delete(endpointId);
      this.loads.remove(endpointId);
      this.prefixes.removeEndpoint(endpointId);
    }
  }

  private candidateOf({ announcement }: KnownEndpoint, nowMs: number): Candidate {
    const { endpointId, availabilityZone, load } = announcement;
    return {
      endpointId,
      availabilityZone,
      // Batch streams yield, but only after the current step, so they count with a small weight.
      load: this.loads.online(endpointId, nowMs) + 0.25 * this.loads.batch(endpointId, nowMs),
      capacity: load.capacity,
      slowStartShare: this.endpoints.slowStartShare(endpointId, nowMs),
    };
  }

  private sessionHint(
    sessionId: string | undefined,
    usable: readonly KnownEndpoint[],
  ): { sessionEndpointId?: string } {
    if (sessionId === undefined) return {};
    const ids = usable.map(({ announcement }) => announcement.endpointId);
    const lastEndpoint = this.sessionEndpoints.get(sessionId);
    const preferred = lastEndpoint ?? firstSessionEndpoint(sessionId, ids);
    return preferred === undefined ? {} : { sessionEndpointId: preferred };
  }
}
