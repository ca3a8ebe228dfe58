/**
 * What entries tell each other: who is up, announcements of endpoints, counts of requests
 * under way, shares of limits, and calls to yield.
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
import { AnnouncementSpreader, heartbeatOf } from './announcement-spreader.js';
import type { SpreadMessage } from './announcement-spreader.js';
import type { FleetView } from './fleet-view.js';
import type { PeerTable } from './table-reader.js';

const MEMBERSHIP_TICK_MS = 100;
const COUNTS_INTERVAL_MS = 250;
const QUOTA_INTERVAL_MS = 200;
const QUOTA_TIMEOUT_MS = 400;
const SPREAD_INTERVAL_MS = 200;
const BURN_TIMEOUT_MS = 1000;
const ASK_TIMEOUT_MS = 500;
/** Peers asked one after another until one answers. */
const MAX_ASKED = 3;
/** A connection that was not used for this long is closed. */
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
  /** Differs between any two processes. */
  readonly epoch: string;
  readonly onYield: (endpointId: string) => void;
  readonly tableForPeer: (fromRevision: number) => PeerTable | undefined;
}

/** The other entries as one entry knows them. */
export class EntryPeers {
  readonly holder: QuotaHolder;
  private readonly options: EntryPeersOptions;
  private readonly self: string;
  private readonly membership: EntryMembership;
  private readonly owner: QuotaOwner;
  private readonly server: PeerServer;
  private readonly links = new Map<string, { client: PeerClient; usedAtMs: number }>();
  private readonly spreader: AnnouncementSpreader;
  private lastCounts = new Map<string, string>();
  private timers: NodeJS.Timeout[] = [];
  private limits: RowLimits | undefined;
  private askingQuota = false;

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
    this.spreader = new AnnouncementSpreader({
      self: this.self,
      cellSize: entry.observersPerEndpoint,
      entries: placedEntries(settings, entry),
    });
    this.owner = new QuotaOwner({ entryCount, epoch: options.epoch });
    this.holder = new QuotaHolder({ entryCount });
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

  /** Starts listening and talking. */
  async start(limits: RowLimits): Promise<void> {
    this.limits = limits;
    const { entry } = this.options;
    if (this.hasPeers) await this.server.listen(entry.listenHost, entry.peerListenPort);
    this.every(MEMBERSHIP_TICK_MS, () => {
      this.dispatch(this.membership.tick(this.options.nowMs()));
    });
    this.every(QUOTA_INTERVAL_MS, () => {
      void this.askQuota();
    });
    this.every(SPREAD_INTERVAL_MS, () => {
      this.spreadAnnouncements();
    });
    this.every(COUNTS_INTERVAL_MS, () => {
      this.shareCounts();
    });
    this.every(IDLE_LINK_MS, () => {
      this.closeIdleLinks();
    });
  }

  /** Stops. */
  async stop(): Promise<void> {
    for (const timer of this.timers) clearInterval(timer);
    this.timers = [];
    for (const { client } of this.links.values()) client.close();
    await this.server.close();
  }

  /** Entries that are up as far as known, this one included. */
  liveEntries(): string[] {
    return this.membership.liveEntries();
  }

  /** Live entries that observe the same endpoints as this one, itself included. */
  liveCell(): string[] {
    const members = new Set(this.spreader.cellMembers);
    return this.liveEntries().filter((name) => members.has(name) || name === this.self);
  }

  /** Takes an announcement from an endpoint; passes it on, at once where the endpoint leaves. */
  announced(announcement: Announcement): void {
    const nowMs = this.options.nowMs();
    const observes = this.spreader.observes(announcement);
    if (observes && !this.options.fleet.observe(announcement, 0, nowMs)) return;
    this.spreader.add(announcement, nowMs);
    if (announcement.leaving) this.spreadAnnouncements();
  }

  /** Tells the owner of the batch work on an endpoint that online work begins there. */
  sayOnline(owner: string, endpointId: string): void {
    const online = this.options.fleet.loads.own().find((own) => own.endpointId === endpointId);
    this.send(owner, 'yield', {
      endpointId,
      online: online?.online ?? 1,
      batch: online?.batch ?? 0,
    });
  }

  /** Tells peers where the sessions of this entry last ran. */
  handOverSessions(): void {
    const hints = this.options.fleet.sessionHints();
    for (const peer of this.otherEntries()) this.send(peer, 'sessions', hints);
  }

  /** Counts of service-level events of all live entries. */
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

  /** Learns from a peer of the cell which endpoints there are, so as not to start blind. */
  async learnEndpoints(): Promise<void> {
    const known = await this.askSome(this.liveCell(), 'endpoints', {});
    if (known !== undefined) this.takeAnnouncements(known as SpreadMessage);
  }

  /** The table of some peer that has reached control lately. */
  async askTable(fromRevision: number): Promise<PeerTable | undefined> {
    return (await this.askSome(this.liveEntries(), 'table', fromRevision)) as PeerTable | undefined;
  }

  /** The first answer that any of a few others gives. */
  private async askSome(
    names: readonly string[],
    method: string,
    payload: unknown,
  ): Promise<unknown> {
    const others = names.filter((name) => name !== this.self);
    others.sort(() => this.options.random() - 0.5);
    for (const name of others.slice(0, MAX_ASKED)) {
      try {
        const answer = await this.linkTo(name)?.request(method, payload, ASK_TIMEOUT_MS);
        if (answer !== undefined && answer !== null) return answer;
      } catch {
        // The next one may be reachable.
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

  private dispatch(messages: readonly OutgoingMessage[]): void {
    for (const { to, message } of messages) this.send(to, 'membership', message);
  }

  private onMessage(method: string, payload: unknown, peer: string): void {
    const nowMs = this.options.nowMs();
    const { fleet, onYield } = this.options;
    if (method === 'membership') {
      this.dispatch(this.membership.receive(payload as MembershipMessage, nowMs));
    }
    if (method === 'announcements') {
      this.takeAnnouncements(payload as SpreadMessage);
    }
    if (method === 'counts') this.takeCounts(payload as CountsMessage, peer, nowMs);
    if (method === 'yield') {
      const { endpointId, online, batch } = payload as {
        endpointId: string;
        online: number;
        batch: number;
      };
      fleet.loads.peerCount(endpointId, peer, { online, batch }, nowMs);
      onYield(endpointId);
    }
    if (method === 'sessions') {
      for (const [sessionId, endpointId] of payload as [string, string][]) {
        fleet.noteSession(sessionId, endpointId);
      }
    }
  }

  private onRequest(method: string, payload: unknown): Promise<unknown> {
    const nowMs = this.options.nowMs();
    if (method === 'quota') {
      const asks = payload as QuotaRequest[];
      return Promise.resolve(asks.map((ask) => this.owner.ask(ask, nowMs)));
    }
    if (method === 'table') return Promise.resolve(this.options.tableForPeer(payload as number));
    if (method === 'endpoints') return Promise.resolve(this.knownEndpoints());
    if (method === 'burn') return Promise.resolve(this.options.burn.export(nowMs));
    const message = `entries answer no ${method}`;
    const error = new ShedlineError({
      type: 'invalid_request',
      message,
      step: method,
      peer: this.self,
    });
    return Promise.reject(error);
  }

  private takeAnnouncements({ whole, short }: SpreadMessage): void {
    const nowMs = this.options.nowMs();
    for (const [announcement, ageMs] of whole)
      this.options.fleet.observe(announcement, ageMs, nowMs);
    for (const one of short) {
      const { beat, ageMs } = heartbeatOf(one);
      this.options.fleet.beat(beat, ageMs, nowMs);
    }
  }

  private knownEndpoints(): SpreadMessage {
    const nowMs = this.options.nowMs();
    const live = this.options.fleet.endpoints.live(nowMs);
    const whole = live.map(
      ({ announcement, announcedAtMs }) => [announcement, nowMs - announcedAtMs] as const,
    );
    return { whole, short: [] };
  }

  private takeCounts(counts: CountsMessage, peer: string, nowMs: number): void {
    for (const [endpointId, online, batch] of counts) {
      this.options.fleet.loads.peerCount(endpointId, peer, { online, batch }, nowMs);
    }
  }

  private spreadAnnouncements(): void {
    const live = new Set(this.liveEntries());
    for (const { to, message } of this.spreader.take(this.options.nowMs())) {
      for (const name of to) {
        if (live.has(name)) this.send(name, 'announcements', message);
      }
    }
  }

  /** Only counts that changed are sent, and those that are not zero again before they lapse. */
  private shareCounts(): void {
    const peers = this.liveCell().filter((name) => name !== this.self);
    if (peers.length === 0) return;
    const changed: CountsMessage = [];
    const current = new Map<string, string>();
    const round = Math.floor(this.options.nowMs() / COUNTS_INTERVAL_MS);
    for (const { endpointId, online, batch } of this.options.fleet.loads.own()) {
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

  private async askQuota(): Promise<void> {
    if (this.askingQuota || this.limits === undefined) return;
    this.askingQuota = true;
    try {
      await this.askOwner(this.limits);
    } finally {
      this.askingQuota = false;
    }
    this.owner.forgetIdle(this.options.nowMs());
  }

  private async askOwner(limits: RowLimits): Promise<void> {
    const askedAtMs = this.options.nowMs();
    const preferred = rendezvousOrder('quota', this.liveEntries(), 1)[0] ?? this.self;
    const owner = this.holder.ownerToAsk(preferred, askedAtMs);
    if (owner === undefined) return;
    const asks = this.asksFor(limits, askedAtMs);
    const answers = await this.sendAsks(owner, asks, askedAtMs);
    for (const [position, answer] of answers.entries()) {
      const ask = asks[position];
      if (ask !== undefined) this.holder.answered(owner, ask.row, answer, askedAtMs);
    }
  }

  private asksFor(limits: RowLimits, nowMs: number): QuotaRequest[] {
    const { table } = this.options.fleet;
    const token = this.holder.lastToken;
    const common = { entry: this.self, ...(token === undefined ? {} : { token }) };
    const asks = limits.demands(nowMs).flatMap(({ row, kind, demand }): QuotaRequest[] => {
      const known = table.row(row);
      if (known === undefined) return [];
      const { revision } = known;
      return [{ ...common, row: limitKey(row, kind), demand, limit: known.limits[kind], revision }];
    });
    // An empty ask keeps up the support without which the owner may grant nobody anything.
    return asks.length > 0 ? asks : [{ ...common, row: '', demand: 0, limit: 0, revision: 0 }];
  }

  private async sendAsks(
    owner: string,
    asks: readonly QuotaRequest[],
    nowMs: number,
  ): Promise<QuotaAnswer[]> {
    if (owner === this.self) return asks.map((ask) => this.owner.ask(ask, nowMs));
    try {
      return ((await this.linkTo(owner)?.request('quota', asks, QUOTA_TIMEOUT_MS)) ??
        []) as QuotaAnswer[];
    } catch {
      return [];
    }
  }
}

/** All entries of the settings; one without a zone of its own stands in this one's. */
function placedEntries(settings: Settings, entry: EntrySettings): ZonedEntry[] {
  const own = { name: settings.name, availabilityZone: settings.availabilityZone };
  const others = entry.peers
    .filter((peer) => peer.name !== settings.name)
    .map(({ name, availabilityZone }) => ({
      name,
      availabilityZone: availabilityZone ?? settings.availabilityZone,
    }));
  return [own, ...others];
}
