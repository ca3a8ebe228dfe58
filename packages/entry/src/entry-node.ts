/**
 * The entry process: connects the components of one entry to its HTTP server, peers and timers.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { randomBytes } from 'node:crypto';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { serve } from '@hono/node-server';
import type { ServerType } from '@hono/node-server';
import type { EntrySettings, Settings } from '@shedline/config';
import type { ControlClient } from '@shedline/control-client';
import { OpenCalls, trackCalls } from '@shedline/draining';
import type { Logger } from '@shedline/logger';
import { ShedlineError } from '@shedline/errors';
import { BurnRecorder, EntryMetrics, LatencyRecorder } from '@shedline/metrics';
import { chooseAddresses } from '@shedline/routing';
import type { AddressCandidate, RoutingStrategy } from '@shedline/routing';
import type { EntryStatus } from '@shedline/table';
import type { Announcement } from '@shedline/types';
import { AdmissionController } from './admission-controller.js';
import { Authenticator } from './auth.js';
import { BatchRunner } from './batch-runner.js';
import { CallClaimer } from './call-claimer.js';
import { Completions } from './completions.js';
import { OpenAiDriver } from './endpoint-driver.js';
import { EntryPeers } from './entry-peers.js';
import { FleetView } from './fleet-view.js';
import { JobsApi } from './jobs-api.js';
import type { OnlineContext } from './online-run.js';
import { OperatorApi } from './operator-api.js';
import { createRoutes } from './routes.js';
import { ServiceCalls } from './service-calls.js';
import { TableReader } from './table-reader.js';

const CLEANUP_INTERVAL_MS = 30_000;
const POLL_INTERVAL_MS = 20;
/** Time without any request after which a draining entry closes its connections. */
const QUIET_PERIOD_MS = 250;
const HEADERS_TIMEOUT_MS = 10_000;
/** Time until every entry that returns addresses has received the change to draining. */
const DRAIN_PROPAGATION_MS = 1500;
const EPOCH_BYTES = 6;

/** Options of {@link EntryNode}. */
export interface EntryNodeOptions {
  readonly settings: Settings;
  readonly entry: EntrySettings;
  readonly control: ControlClient;
  readonly logger: Logger;
  readonly random?: () => number;
  readonly nowMs?: () => number;
  readonly strategy?: RoutingStrategy;
}

/** One entry instance. */
export class EntryNode {
  readonly fleet: FleetView;
  readonly batch: BatchRunner;
  private readonly settings: Settings;
  private readonly entry: EntrySettings;
  private readonly control: ControlClient;
  private readonly logger: Logger;
  private readonly random: () => number;
  private readonly nowMs: () => number;
  private readonly epoch = randomBytes(EPOCH_BYTES).toString('hex');
  private readonly latencies = new LatencyRecorder();
  private readonly burn = new BurnRecorder();
  private readonly metrics: EntryMetrics;
  private readonly peers: EntryPeers;
  private readonly admission: AdmissionController;
  private readonly driver = new OpenAiDriver();
  private readonly reader: TableReader;
  private server: ServerType | undefined;
  private url = '';
  private isDraining = false;
  private isReady = false;
  /** Calls of every kind in progress, also those of operators and endpoints. */
  private readonly openCalls = new OpenCalls();
  private callerRequests = 0;
  private startedRequests = 0;
  private lastRequestNumber = 0;
  private timers: NodeJS.Timeout[] = [];
  private drainPromise: Promise<void> | undefined;

  constructor(options: EntryNodeOptions) {
    this.settings = options.settings;
    this.entry = options.entry;
    this.control = options.control;
    this.logger = options.logger;
    this.random = options.random ?? Math.random;
    this.nowMs = options.nowMs ?? (() => performance.now());
    this.metrics = new EntryMetrics(this.latencies);
    this.fleet = new FleetView({
      availabilityZone: this.settings.availabilityZone,
      endpointLeaseMs: this.entry.endpointLeaseMs,
      random: this.random,
      ...(options.strategy === undefined ? {} : { strategy: options.strategy }),
    });
    this.reader = new TableReader({
      control: this.control,
      table: this.fleet.table,
      logger: this.logger,
      staleAfterMs: this.entry.staleAfterMs,
      nowMs: this.nowMs,
      ownStatus: () => this.ownStatus(),
      requestFromPeer: (fromRevision) => this.peers.requestTable(fromRevision),
    });
    this.peers = new EntryPeers({
      settings: this.settings,
      entry: this.entry,
      fleet: this.fleet,
      burn: this.burn,
      logger: this.logger,
      random: this.random,
      nowMs: this.nowMs,
      epoch: this.epoch,
      tableForPeer: (fromRevision) => this.reader.tableForPeer(fromRevision),
      onYield: (endpointId) => {
        this.batch.yieldToOnline(endpointId);
      },
    });
    this.admission = new AdmissionController({
      fleet: this.fleet,
      holder: this.peers.quotaHolder,
      metrics: this.metrics,
      nowMs: this.nowMs,
    });
    this.batch = this.createBatch();
  }

  /** URL at which callers reach this entry. */
  get address(): string {
    return this.entry.publicUrl ?? this.url;
  }

  /** Reads the table from a quorum and the endpoints from a peer, then starts to serve. */
  async start(): Promise<void> {
    await this.waitForFirstRefresh();
    await this.peers.start(this.admission.limits);
    await this.peers.learnEndpoints();
    const listening = await this.listen();
    this.url = `http://${this.entry.listenHost}:${listening.port}`;
    this.isReady = true;
    await this.reader.refresh();
    this.batch.start();
    this.every(this.entry.tableRefreshIntervalMs, () => {
      void this.reader.refresh();
    });
    this.every(CLEANUP_INTERVAL_MS, () => {
      this.fleet.removeExpired(this.nowMs());
    });
    this.logger.info('entry ready', { step: 'start', url: this.address });
  }

  /**
   * Stops gracefully: removes this entry from the lists of addresses, waits until the lists that
   * callers have cached expire, waits for running requests, returns batch work, then stops.
   */
  drain(): Promise<void> {
    this.drainPromise ??= this.runDrain();
    return this.drainPromise;
  }

  /** Stops immediately, like a crashed instance. */
  async kill(): Promise<void> {
    for (const timer of this.timers) clearInterval(timer);
    this.batch.stop();
    (this.server as Server | undefined)?.closeAllConnections();
    this.server?.close();
    await this.peers.stop();
    await this.driver.close();
  }

  private async runDrain(): Promise<void> {
    this.isDraining = true;
    this.logger.info('draining', { step: 'drain' });
    const batchDrained = this.batch.drain(this.entry.drainTimeoutMs);
    this.peers.handOverSessions();
    await this.reader.refresh();
    const { keepForMs, drainTimeoutMs } = this.entry;
    if (this.hasOtherEntries()) {
      const withdrawalMs = keepForMs + DRAIN_PROPAGATION_MS;
      this.admission.closeAt(this.nowMs() + withdrawalMs + drainTimeoutMs);
      await pause(withdrawalMs);
    }
    await this.waitUntilQuiet(this.nowMs() + drainTimeoutMs);
    await batchDrained;
    this.logger.info('drained', { step: 'drain', cutCalls: this.openCalls.byKind });
    await this.kill();
  }

  /**
   * Waits until there was no request for `QUIET_PERIOD_MS`. The listener stays open
   * until then: closing it would reset connections that are not yet accepted, and idle connections
   * whose next request was sent but not yet read.
   */
  private async waitUntilQuiet(deadlineMs: number): Promise<void> {
    let quietSinceMs = this.nowMs();
    let lastStartedRequests = this.startedRequests;
    while (this.nowMs() < deadlineMs && this.nowMs() - quietSinceMs < QUIET_PERIOD_MS) {
      await pause(POLL_INTERVAL_MS);
      const isQuiet = this.openCalls.count === 0 && this.startedRequests === lastStartedRequests;
      if (!isQuiet) quietSinceMs = this.nowMs();
      lastStartedRequests = this.startedRequests;
    }
  }

  private hasOtherEntries(): boolean {
    return this.reader.entries.some(
      (status) => status.entry !== this.settings.name && !status.draining,
    );
  }

  private createBatch(): BatchRunner {
    return new BatchRunner({
      entry: this.settings.name,
      leaseOwner: `${this.settings.name}/${this.epoch}`,
      control: this.control,
      fleet: this.fleet,
      driver: this.driver,
      serviceCalls: this.createServiceCalls(),
      logger: this.logger,
      burn: this.burn,
      metrics: this.metrics,
      dial: this.entry.batchDial,
      random: this.random,
      nowMs: this.nowMs,
      liveEntries: () => this.peers.liveObserverSet(),
      nextRequestId: () => this.nextRequestId(),
    });
  }

  private createContext(): OnlineContext {
    return {
      fleet: this.fleet,
      reader: this.reader,
      admission: this.admission,
      driver: this.driver,
      logger: this.logger,
      latencies: this.latencies,
      burn: this.burn,
      nowMs: this.nowMs,
      onOnlineStart: (endpointId) => {
        this.yieldBatchWork(endpointId);
      },
    };
  }

  private createServiceCalls(): ServiceCalls {
    return new ServiceCalls({
      context: this.createContext(),
      claimer: new CallClaimer(this.control),
      maxBodyBytes: this.entry.maxBodyBytes,
      checkServing: () => {
        this.checkServing();
      },
    });
  }

  private yieldBatchWork(endpointId: string): void {
    if (this.fleet.loads.batch(endpointId, this.nowMs()) === 0) return;
    const owner = this.batch.ownerOf(endpointId);
    if (owner === undefined || owner === this.settings.name) {
      this.batch.yieldToOnline(endpointId);
      return;
    }
    this.peers.notifyOnlineStart(owner, endpointId);
  }

  private async listen(): Promise<AddressInfo> {
    const completions = new Completions({
      context: this.createContext(),
      claimer: new CallClaimer(this.control),
      sessionSecret: this.settings.instanceSecret,
      maxBodyBytes: this.entry.maxBodyBytes,
      nextRequestId: () => this.nextRequestId(),
      checkServing: () => {
        this.checkServing();
      },
    });
    const { control, fleet, reader } = this;
    const { maxChunkBytes, maxItemBytes } = this.entry;
    const routes = createRoutes({
      authenticator: new Authenticator(this.settings.tokens),
      completions,
      serviceCalls: this.createServiceCalls(),
      jobs: new JobsApi({ control, reader, maxChunkBytes, maxItemBytes }),
      operator: new OperatorApi({ control, fleet, reader }),
      sessionSecret: this.settings.instanceSecret,
      fleet,
      reader,
      onAnnouncement: (announcement) => {
        this.receiveAnnouncement(announcement);
      },
      addresses: (query) => this.addresses(query),
      status: () => this.status(),
      burnSeries: () => this.peers.burnSeries(),
      metricsText: () => this.metrics.text(),
      drain: () => {
        void this.drain();
      },
      isServing: () => !this.isDraining,
      trackOpenRequests: (change) => {
        this.callerRequests += change;
        if (change === 1) this.startedRequests += 1;
        this.metrics.setOpenRequests('online', this.callerRequests);
      },
      logger: this.logger,
    });
    const { listenHost, listenPort } = this.entry;
    return new Promise((resolve, reject) => {
      const server = serve(
        {
          fetch: routes.fetch,
          hostname: listenHost,
          port: listenPort,
          overrideGlobalObjects: false,
          serverOptions: { headersTimeout: HEADERS_TIMEOUT_MS, maxHeaderSize: 32 * 1024 },
        },
        resolve,
      );
      server.once('error', reject);
      trackCalls(server as Server, this.openCalls, ({ method = '', url = '' }) => {
        const [path = ''] = url.split('?');
        return `${method} ${path}`;
      });
      this.server = server;
    });
  }

  private every(intervalMs: number, work: () => void): void {
    this.timers.push(setInterval(work, intervalMs));
  }

  private nextRequestId(): string {
    this.lastRequestNumber += 1;
    return `${this.epoch}-${this.lastRequestNumber.toString(36)}`;
  }

  private receiveAnnouncement(announcement: Announcement): void {
    this.peers.receiveAnnouncement(announcement);
  }

  /** Waits for the first refresh: a new entry serves nothing until a quorum sent it the table. */
  private async waitForFirstRefresh(): Promise<void> {
    while (!(await this.reader.refresh())) await pause(POLL_INTERVAL_MS);
  }

  private ownStatus(): EntryStatus {
    return {
      entry: this.settings.name,
      url: this.address,
      availabilityZone: this.settings.availabilityZone,
      revision: this.fleet.table.revision,
      // Keeps callers from being directed to an entry that does not listen yet.
      draining: this.isDraining || !this.isReady,
      load: this.fleet.utilization(this.nowMs()),
    };
  }

  /**
   * Throws if this entry is partitioned from the fleet. The table is stale if neither control nor a
   * peer with a fresh table could be reached. If most entries are reachable nevertheless, the fleet
   * has no quorum: no edit can be accepted, and this table is still in force. If not, this entry is
   * partitioned and its table may be outdated.
   */
  private checkServing(): void {
    if (this.reader.isFresh) return;
    const reachableCount = this.peers.liveEntries().length;
    const knownCount = this.entry.peers.length;
    if (knownCount <= 1 || reachableCount > knownCount / 2) return;
    throw new ShedlineError({
      type: 'unavailable',
      message: 'this entry is partitioned from the other entries; use another address',
      step: 'check table',
      peer: this.settings.name,
      ran: 'no',
      retryAfterMs: 1000,
    });
  }

  private addresses(query: {
    readonly availabilityZone?: string;
    readonly session?: string;
  }): unknown {
    const liveEntries = new Set(this.peers.liveEntries());
    const others = this.reader.entries.filter(
      (status) => status.entry !== this.settings.name && liveEntries.has(status.entry),
    );
    const candidates = [this.ownStatus(), ...others].map((status): AddressCandidate => ({
      entry: status.entry,
      url: status.url,
      availabilityZone: status.availabilityZone,
      draining: status.draining,
      fresh: status.entry === this.settings.name ? this.reader.isFresh : true,
      load: status.load,
    }));
    const chosen = chooseAddresses({ candidates, random: this.random, ...query });
    return {
      addresses: chosen.map(({ url, availabilityZone }) => ({ url, availabilityZone })),
      keepForMs: this.entry.keepForMs,
      revision: this.fleet.table.revision,
    };
  }

  private async status(): Promise<unknown> {
    const nowMs = this.nowMs();
    const endpoints = this.fleet.endpoints.live(nowMs).map(({ announcement, announcedAtMs }) => ({
      endpointId: announcement.endpointId,
      kind: announcement.kind,
      availabilityZone: announcement.availabilityZone,
      usable: this.fleet.endpoints.isUsable(announcement.endpointId, nowMs),
      leaving: announcement.leaving,
      online: Math.round(this.fleet.loads.online(announcement.endpointId, nowMs)),
      batch: this.fleet.loads.batch(announcement.endpointId, nowMs),
      capacity: announcement.load.capacity,
      heardAgoMs: Math.round(nowMs - announcedAtMs),
    }));
    return {
      instance: this.settings.name,
      revision: this.fleet.table.revision,
      fresh: this.reader.isFresh,
      draining: this.isDraining,
      openRequests: this.callerRequests,
      batchStreams: this.batch.running,
      latencies: this.latencies.summaries(),
      entries: this.reader.entries,
      liveEntries: this.peers.liveEntries(),
      endpoints,
      control: await this.control.statuses(),
    };
  }
}
