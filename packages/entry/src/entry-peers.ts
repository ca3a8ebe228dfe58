/**
 * Communication between entries: membership, announcements of endpoints, counts of requests in
 * progress, shares of limits, and notifications that batch work has to yield.
 */
import { QuotaHolder, QuotaOwner, limitKey } from '@shedline/admission';
import type { QuotaAnswer, QuotaRequest, RowLimits } from '@shedline/admission';
import type { EntrySettings, Settings } from '@shedline/config';
import { EntryMembership } from '@shedline/directory';
import type { MembershipMessage, OutgoingMessage, ZonedEntry } from '@shedline/directory';
import { ShedlineError } from '@shedline/errors';
import type { Logger } from '@shedline/logger';
import type { BurnRecorder, BurnSeries } from '@shedline/metrics';
import { PeerClient, PeerServer } from '@shedline/transport';
import { rendezvousOrder } from '@shedline/types';
import type { Announcement } from '@shedline/types';
import { AnnouncementForwarder, heartbeatOf } from './announcement-forwarder.js';
import type { AnnouncementsMessage } from './announcement-forwarder.js';
import type { FleetView } from './fleet-view.js';
import type { PeerTable } from './table-reader.js';

const MEMBERSHIP_TICK_MS = 100;
const COUNTS_INTERVAL_MS = 250;
const QUOTA_INTERVAL_MS = 200;
const QUOTA_TIMEOUT_MS = 400;
const ANNOUNCEMENTS_INTERVAL_MS = 200;
const BURN_TIMEOUT_MS = 1000;
const REQUEST_TIMEOUT_MS = 500;
/** Maximum number of peers to which a request is sent in turn until one replies. */
const MAX_PEERS_TRIED = 3;
/** Time without use after which a connection is closed. */
const IDLE_LINK_MS = 60_000;

type CountsMessage = [string, number, number][];

/** Options of {@link EntryPeers}. */
export interface EntryPeersOptions {
  readonly settings: Settings;
  readonly entry: EntrySettings;
  readonly fleet: FleetView;
  readonly burn: BurnRecorder;
  readonly logger: Logger;
  readonly random: () => number;
  readonly nowMs: () => number;
  /** Identifier of this process; differs between any two processes. */
  readonly epoch: string;
  readonly onYield: (endpointId: string) => void;
  readonly tableForPeer: (fromRevision: number) => PeerTable | undefined;
}

/** Connections of one entry to the other entries. */
export class EntryPeers {
  readonly quotaHolder: QuotaHolder;
  private readonly options: EntryPeersOptions;
  private readonly self: string;
  private readonly membership: EntryMembership;
  private readonly quotaOwner: QuotaOwner;
  private readonly server: PeerServer;
  private readonly links = new Map<string, { client: PeerClient; usedAtMs: number }>();
  private readonly forwarder: AnnouncementForwarder;
  private lastCounts = new Map<string, string>();
  private timers: NodeJS.Timeout[] = [];
  private limits: RowLimits | undefined;
  private isRequestingQuota = false;

  constructor(options: EntryPeersOptions) {
    this.options = options;
    const { settings, entry } = options;
    this.self = settings.name;
    const names = entry.peers.map((peer) => peer.name);
    const entryCount = Math.max(1, names.includes(this.self) ? names.length : names.length + 1);
    this.membership = new EntryMembership({
      self: this.self,
      peers: names,
      random: options.random,
      incarnation: Date.now(),
    });
    this.forwarder = new AnnouncementForwarder({
      self: this.self,
      observerSetSize: entry.observersPerEndpoint,
      entries: zonedEntries(settings, entry),
    });
    this.quotaOwner = new QuotaOwner({ entryCount, epoch: options.epoch });
    this.quotaHolder = new QuotaHolder({ entryCount });
    this.server = new PeerServer({
      name: this.self,
      secret: settings.instanceSecret,
      handlers: {
        onRequest: (method, payload) => this.onRequest(method, payload),
        onMessage: (method, payload, link) => {
          this.onMessage(method, payload, link.peerName);
        },
      },
    });
  }

  /** Starts listening and the periodic messages. */
  async start(limits: RowLimits): Promise<void> {
    this.limits = limits;
    const { entry } = this.options;
    if (this.hasPeers) await this.server.listen(entry.listenHost, entry.peerListenPort);
    this.every(MEMBERSHIP_TICK_MS, () => {
      this.sendMembershipMessages(this.membership.tick(this.options.nowMs()));
    });
    this.every(QUOTA_INTERVAL_MS, () => {
      void this.requestQuota();
    });
    this.every(ANNOUNCEMENTS_INTERVAL_MS, () => {
      this.sendAnnouncements();
    });
    this.every(COUNTS_INTERVAL_MS, () => {
      this.sendChangedCounts();
    });
    this.every(IDLE_LINK_MS, () => {
      this.closeIdleLinks();
    });
  }

  /** Stops the timers and closes all connections. */
  async stop(): Promise<void> {
    for (const timer of this.timers) clearInterval(timer);
    this.timers = [];
    for (const { client } of this.links.values()) client.close();
    await this.server.close();
  }

  /** Returns the entries that are considered live, this one included. */
  liveEntries(): string[] {
    return this.membership.liveEntries();
  }

  /** Returns the live entries that observe the same endpoints as this one, this one included. */
  liveObserverSet(): string[] {
    const members = new Set(this.forwarder.observerSetMembers);
    return this.liveEntries().filter((name) => members.has(name) || name === this.self);
  }

  /** Applies and forwards an announcement; immediately if the endpoint is leaving. */
  receiveAnnouncement(announcement: Announcement): void {
    const nowMs = this.options.nowMs();
    const observes = this.forwarder.observes(announcement);
    if (observes && !this.options.fleet.applyAnnouncement(announcement, 0, nowMs)) return;
    this.forwarder.add(announcement, nowMs);
    if (announcement.leaving) this.sendAnnouncements();
  }

  /** Notifies the owner of the batch work on an endpoint that online work starts there. */
  notifyOnlineStart(owner: string, endpointId: string): void {
    const counts = this.options.fleet.loads
      .ownCounts()
      .find((own) => own.endpointId === endpointId);
    this.send(owner, 'yield', {
      endpointId,
      online: counts?.online ?? 1,
      batch: counts?.batch ?? 0,
    });
  }

  /** Sends the latest endpoints of the sessions of this entry to all peers. */
  handOverSessions(): void {
    const hints = this.options.fleet.sessionHints();
    for (const peer of this.otherEntries()) this.send(peer, 'sessions', hints);
  }

  /** Returns the burn-rate counts of all live entries that reply. */
  async burnSeries(): Promise<BurnSeries[]> {
    const own = this.options.burn.export(this.options.nowMs());
    const others = this.otherEntries().map(async (peer) => {
      try {
        return (await this.linkTo(peer)?.request('burn', {}, BURN_TIMEOUT_MS)) as
          BurnSeries[] | undefined;
      } catch {
        return undefined;
      }
    });
    return [...own, ...(await Promise.all(others)).flatMap((series) => series ?? [])];
  }

  /** Requests the known endpoints from a peer of the observer set before serving. */
  async learnEndpoints(): Promise<void> {
    const known = await this.requestFromAny(this.liveObserverSet(), 'endpoints', {});
    if (known !== undefined) this.applyAnnouncements(known as AnnouncementsMessage);
  }

  /** Requests the table from a peer whose table is fresh. */
  async requestTable(fromRevision: number): Promise<PeerTable | undefined> {
    return (await this.requestFromAny(this.liveEntries(), 'table', fromRevision)) as
      PeerTable | undefined;
  }

  /** Sends a request to up to `MAX_PEERS_TRIED` random entries; returns the first reply. */
  private async requestFromAny(
    names: readonly string[],
    method: string,
    payload: unknown,
  ): Promise<unknown> {
    const others = names.filter((name) => name !== this.self);
    others.sort(() => this.options.random() - 0.5);
    for (const name of others.slice(0, MAX_PEERS_TRIED)) {
      try {
        const reply = await this.linkTo(name)?.request(method, payload, REQUEST_TIMEOUT_MS);
        if (reply !== undefined && reply !== null) return reply;
      } catch {
        // Tries the next entry, which may be reachable.
      }
    }
    return undefined;
  }

  private get hasPeers(): boolean {
    return this.options.entry.peers.some((peer) => peer.name !== this.self);
  }

  private otherEntries(): string[] {
    return this.liveEntries().filter((name) => name !== this.self);
  }

  private every(intervalMs: number, work: () => void): void {
    this.timers.push(setInterval(work, intervalMs));
  }

  private linkTo(name: string): PeerClient | undefined {
    const nowMs = this.options.nowMs();
    const known = this.links.get(name);
    if (known !== undefined) {
      known.usedAtMs = nowMs;
      return known.client;
    }
    const peer = this.options.entry.peers.find((candidate) => candidate.name === name);
    if (peer === undefined) return undefined;
    const client = new PeerClient({
      name: this.self,
      peerName: name,
      secret: this.options.settings.instanceSecret,
      url: `ws://${peer.host}:${peer.port}`,
    });
    this.links.set(name, { client, usedAtMs: nowMs });
    return client;
  }

  private closeIdleLinks(): void {
    const nowMs = this.options.nowMs();
    for (const [name, link] of this.links) {
      if (nowMs - link.usedAtMs < IDLE_LINK_MS) continue;
      link.client.close();
      this.links.delete(name);
    }
  }

  private send(name: string, method: string, payload: unknown): void {
    this.linkTo(name)?.send(method, payload);
  }

  private sendMembershipMessages(messages: readonly OutgoingMessage[]): void {
    for (const { to, message } of messages) this.send(to, 'membership', message);
  }

  private onMessage(method: string, payload: unknown, peer: string): void {
    const nowMs = this.options.nowMs();
    const { fleet, onYield } = this.options;
    if (method === 'membership') {
      this.sendMembershipMessages(this.membership.receive(payload as MembershipMessage, nowMs));
    }
    if (method === 'announcements') {
      this.applyAnnouncements(payload as AnnouncementsMessage);
    }
    if (method === 'counts') this.applyCounts(payload as CountsMessage, peer, nowMs);
    if (method === 'yield') {
      const { endpointId, online, batch } = payload as {
        endpointId: string;
        online: number;
        batch: number;
      };
      fleet.loads.recordPeerCounts(endpointId, peer, { online, batch }, nowMs);
      onYield(endpointId);
    }
    if (method === 'sessions') {
      for (const [sessionId, endpointId] of payload as [string, string][]) {
        fleet.recordSession(sessionId, endpointId);
      }
    }
  }

  private onRequest(method: string, payload: unknown): Promise<unknown> {
    const nowMs = this.options.nowMs();
    if (method === 'quota') {
      const requests = payload as QuotaRequest[];
      return Promise.resolve(requests.map((request) => this.quotaOwner.grant(request, nowMs)));
    }
    if (method === 'table') return Promise.resolve(this.options.tableForPeer(payload as number));
    if (method === 'endpoints') return Promise.resolve(this.knownEndpoints());
    if (method === 'burn') return Promise.resolve(this.options.burn.export(nowMs));
    const message = `entries do not support the method ${method}`;
    const error = new ShedlineError({
      type: 'invalid_request',
      message,
      step: method,
      peer: this.self,
    });
    return Promise.reject(error);
  }

  private applyAnnouncements({ whole, short }: AnnouncementsMessage): void {
    const nowMs = this.options.nowMs();
    for (const [announcement, ageMs] of whole)
      this.options.fleet.applyAnnouncement(announcement, ageMs, nowMs);
    for (const shortForm of short) {
      const { heartbeat, ageMs } = heartbeatOf(shortForm);
      this.options.fleet.applyHeartbeat(heartbeat, ageMs, nowMs);
    }
  }

  private knownEndpoints(): AnnouncementsMessage {
    const nowMs = this.options.nowMs();
    const live = this.options.fleet.endpoints.live(nowMs);
    const whole = live.map(
      ({ announcement, announcedAtMs }) => [announcement, nowMs - announcedAtMs] as const,
    );
    return { whole, short: [] };
  }

  private applyCounts(counts: CountsMessage, peer: string, nowMs: number): void {
    for (const [endpointId, online, batch] of counts) {
      this.options.fleet.loads.recordPeerCounts(endpointId, peer, { online, batch }, nowMs);
    }
  }

  private sendAnnouncements(): void {
    const live = new Set(this.liveEntries());
    for (const { to, message } of this.forwarder.takeMessages(this.options.nowMs())) {
      for (const name of to) {
        if (live.has(name)) this.send(name, 'announcements', message);
      }
    }
  }

  /** Sends the counts that have changed, and repeats nonzero counts before they expire at peers. */
  private sendChangedCounts(): void {
    const peers = this.liveObserverSet().filter((name) => name !== this.self);
    if (peers.length === 0) return;
    const changed: CountsMessage = [];
    const current = new Map<string, string>();
    const round = Math.floor(this.options.nowMs() / COUNTS_INTERVAL_MS);
    for (const { endpointId, online, batch } of this.options.fleet.loads.ownCounts()) {
      const text = `${online}|${batch}`;
      current.set(endpointId, text);
      const isRefresh = online + batch > 0 && round % 4 === 0;
      if (isRefresh || (this.lastCounts.get(endpointId) ?? '0|0') !== text) {
        changed.push([endpointId, online, batch]);
      }
    }
    this.lastCounts = current;
    if (changed.length === 0) return;
    for (const peer of peers) this.send(peer, 'counts', changed);
  }

  private async requestQuota(): Promise<void> {
    if (this.isRequestingQuota || this.limits === undefined) return;
    this.isRequestingQuota = true;
    try {
      await this.requestFromOwner(this.limits);
    } finally {
      this.isRequestingQuota = false;
    }
    this.quotaOwner.removeIdle(this.options.nowMs());
  }

  private async requestFromOwner(limits: RowLimits): Promise<void> {
    const requestedAtMs = this.options.nowMs();
    const preferred = rendezvousOrder('quota', this.liveEntries(), 1)[0] ?? this.self;
    const owner = this.quotaHolder.selectOwner(preferred, requestedAtMs);
    if (owner === undefined) return;
    const requests = this.quotaRequestsFor(limits, requestedAtMs);
    const replies = await this.sendQuotaRequests(owner, requests, requestedAtMs);
    for (const [position, reply] of replies.entries()) {
      const request = requests[position];
      if (request !== undefined)
        this.quotaHolder.recordReply(owner, request.row, reply, requestedAtMs);
    }
  }

  private quotaRequestsFor(limits: RowLimits, nowMs: number): QuotaRequest[] {
    const { table } = this.options.fleet;
    const token = this.quotaHolder.lastToken;
    const common = { entry: this.self, ...(token === undefined ? {} : { token }) };
    const requests = limits.demands(nowMs).flatMap(({ row, kind, demand }): QuotaRequest[] => {
      const known = table.row(row);
      if (known === undefined) return [];
      const { revision } = known;
      return [{ ...common, row: limitKey(row, kind), demand, limit: known.limits[kind], revision }];
    });
    // An empty request renews the support without which the owner may not grant anything.
    return requests.length > 0
      ? requests
      : [{ ...common, row: '', demand: 0, limit: 0, revision: 0 }];
  }

  private async sendQuotaRequests(
    owner: string,
    requests: readonly QuotaRequest[],
    nowMs: number,
  ): Promise<QuotaAnswer[]> {
    if (owner === this.self)
      return requests.map((request) => this.quotaOwner.grant(request, nowMs));
    try {
      return ((await this.linkTo(owner)?.request('quota', requests, QUOTA_TIMEOUT_MS)) ??
        []) as QuotaAnswer[];
    } catch {
      return [];
    }
  }
}

/** Returns all entries of the settings; an entry without a zone is assumed to be in this one's. */
function zonedEntries(settings: Settings, entry: EntrySettings): ZonedEntry[] {
  const own = { name: settings.name, availabilityZone: settings.availabilityZone };
  const others = entry.peers
    .filter((peer) => peer.name !== settings.name)
    .map(({ name, availabilityZone }) => ({
      name,
      availabilityZone: availabilityZone ?? settings.availabilityZone,
    }));
  return [own, ...others];
}
