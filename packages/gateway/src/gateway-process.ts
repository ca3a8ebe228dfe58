/**
 * The caller-facing process of a fleet that finds its members itself: it forwards requests as
 * they are, takes batch jobs and runs their items.
 */
import type { FleetSettings } from '@shedline/config';
import { LeaderCaller } from '@shedline/control-client';
import type { ZonedName } from '@shedline/directory';
import type { AgedHeartbeat, CallerLimits, FleetDelta, RouteTable } from '@shedline/fleet';
import { ProcessCore, portsOf, quotaTolerance } from '@shedline/fleet-control';
import type { JobEndedMessage } from '@shedline/fleet-control';
import { ConnectionProbe, EndpointSender, Forwarder } from '@shedline/forwarding';
import type { ResponseSink, EndpointProtocol } from '@shedline/forwarding';
import type { Logger } from '@shedline/logger';
import { ProcessMetrics } from '@shedline/metrics';
import type { MemberRecord } from '@shedline/mesh';
import type { PeerConnections } from '@shedline/transport';
import { callerAddresses } from './caller-addresses.js';
import { CrashGuard } from './crash-guard.js';
import { CrashReporter } from './crash-reporter.js';
import { EndWatch } from './end-watch.js';
import { EndpointPool } from './endpoint-pool.js';
import type { LoadCount } from './endpoint-pool.js';
import { EntryLinks } from './entry-links.js';
import { FleetFollower } from './fleet-follower.js';
import { KeyCheck } from './key-check.js';
import { ItemRunner } from './item-runner.js';
import { JobService, jobGroupsOf } from './job-service.js';
import { LoadExchange } from './load-exchange.js';
import { PlannedStop } from './planned-stop.js';
import { QuotaEnforcer } from './quota-enforcer.js';
import { PacedJob } from './paced-job.js';
import { SubsetTracker } from './subset-tracker.js';
import { RequestIntake } from './request-intake.js';
import type { IncomingRequest } from './request-intake.js';
import { StartGate } from './start-gate.js';
import type { DisconnectNotifier } from './start-gate.js';
import { STORE_LINGER_MS, StoreLinks } from './store-links.js';

const SWEEP_INTERVAL_MS = 1000;
/**
 * Least time between two divisions of the fleet, each of which costs as much as there are endpoints: after a start
 * all of them come one after the other.
 */
const REACH_INTERVAL_MS = 50;
/**
 * Time that the connection to an entry outlives their sharing of endpoints: each restart in a
 * large fleet moves the division a little, and the next one moves it back.
 */
const PEER_LINGER_MS = 10_000;
/**
 * Pause before a lost connection to another entry is opened again: whoever restarts is up after 400
 * ms and more, and tries in vain took 5 of 29 ms a second while all peers ended (one profile).
 */
const PEER_RETRY_MS = 400;
/** Longest wait for one control process at the first read before another is asked. */
const MAX_CONTROL_ATTEMPT_MS = 500;
/** Longest pause between questions at the first read: callers wait for its answer. */
const MAX_CONTROL_PAUSE_MS = 40;
/**
 * Longest wait for one store before another is asked: callers wait 3.7 s for the answer to a submission,
 * a reader for up to a second, and one that lost power answers nothing.
 */
const MAX_STORE_ATTEMPT_MS = 1500;
/** Options of {@link GatewayProcess}. */
export interface GatewayProcessOptions {
  readonly settings: FleetSettings;
  readonly protocol: EndpointProtocol;
  readonly logger: Logger;
  readonly random?: () => number;
  readonly nowMs?: () => number;
}

/** One entry. */
export class GatewayProcess {
  readonly core: ProcessCore;
  readonly jobs: JobService;
  readonly keys: KeyCheck;
  readonly metrics = new ProcessMetrics();
  private readonly settings: FleetSettings;
  private readonly logger: Logger;
  private readonly random: () => number;
  private readonly nowMs: () => number;
  private readonly controlCaller: LeaderCaller;
  private readonly follower: FleetFollower;
  private readonly endWatch: EndWatch;
  private readonly crashReporter: CrashReporter;
  private readonly guard: CrashGuard;
  private readonly pool: EndpointPool;
  private readonly sender: EndpointSender;
  private readonly forwarder: Forwarder;
  private readonly intake: RequestIntake;
  private readonly quotas: QuotaEnforcer;
  private readonly entries: EntryLinks;
  private readonly stores: PeerConnections;
  private readonly storeLinks: StoreLinks;
  private readonly exchange: LoadExchange;
  private readonly subsetTracker: SubsetTracker;
  private readonly subsetRefresh: PacedJob;
  private readonly runner: ItemRunner;
  private timer: NodeJS.Timeout | undefined;
  private readonly stop: PlannedStop;
  private seenEntries: readonly MemberRecord[] | undefined;
  private seenStores: readonly MemberRecord[] | undefined;
  private readonly startGate: StartGate;

  constructor(options: GatewayProcessOptions) {
    const { settings, protocol, logger } = options;
    this.settings = settings;
    this.logger = logger;
    this.random = options.random ?? Math.random;
    this.nowMs = options.nowMs ?? (() => performance.now());
    this.core = this.createCore();
    this.stop = new PlannedStop({
      nowMs: this.nowMs,
      stopWithinMs: settings.stopWithinS * 1000,
      addressKeepMs: settings.addressKeepS * 1000,
      openRequests: () => this.intake.openRequests,
    });
    this.startGate = new StartGate({
      nowMs: this.nowMs,
      othersReady: () => this.servingEntries().length > 1,
    });
    const { name } = this.core;
    this.entries = this.createEntryLinks();
    this.stores = this.core.createPeerConnections({
      lingerMs: STORE_LINGER_MS,
      handlers: {
        onMessage: (method, payload) => {
          if (method === 'jobEnded') this.runner.jobEnded((payload as JobEndedMessage).jobId);
        },
      },
    });
    this.subsetTracker = new SubsetTracker({
      self: name,
      entries: () => this.servingEntries(),
      endpoints: () => this.pool.present(),
    });
    this.subsetRefresh = new PacedJob({
      intervalMs: REACH_INTERVAL_MS,
      run: () => {
        this.refreshSubset();
      },
    });
    const usersOf = (endpointId: string): readonly string[] =>
      this.subsetTracker.usersOf(endpointId);
    this.exchange = new LoadExchange({ entries: this.entries, pool: () => this.pool, usersOf });
    this.controlCaller = new LeaderCaller({
      ports: () => portsOf(this.core.mesh.controls),
      maxAttemptMs: MAX_CONTROL_ATTEMPT_MS,
      maxPauseMs: MAX_CONTROL_PAUSE_MS,
    });
    this.follower = this.createFollower();
    this.pool = this.createPool();
    this.endWatch = this.createEndWatch();
    this.crashReporter = new CrashReporter({
      fleet: this.controlCaller,
      logger,
      nowMs: this.nowMs,
    });
    this.guard = this.createGuard();
    this.sender = new EndpointSender({ protocol });
    this.forwarder = new Forwarder({
      sender: this.sender,
      protocol,
      chooser: this.pool,
      guard: this.guard,
      logger,
      nowMs: this.nowMs,
    });
    const { fleet } = this.follower;
    this.quotas = new QuotaEnforcer({
      self: name,
      tolerance: quotaTolerance(settings),
      controls: this.core.mesh.controls,
      entryCount: () => this.core.mesh.live('entry').length,
      metrics: this.metrics,
      logger,
      nowMs: this.nowMs,
    });
    this.intake = new RequestIntake({
      fleet,
      forwarder: this.forwarder,
      quotas: this.quotas,
      stop: this.stop,
      metrics: this.metrics,
      logger,
      random: this.random,
      nowMs: this.nowMs,
    });
    this.storeLinks = new StoreLinks({
      connections: this.stores,
      stores: () => this.core.mesh.live('store'),
      groups: () => jobGroupsOf(fleet),
    });
    const storeCaller = new LeaderCaller({
      ports: (group) => this.storeLinks.ports(group),
      maxAttemptMs: MAX_STORE_ATTEMPT_MS,
    });
    this.jobs = new JobService({ stores: storeCaller, fleet, logger });
    this.runner = new ItemRunner({
      holder: `${name}/${this.core.epoch}`,
      self: name,
      stores: storeCaller,
      fleet,
      pool: this.pool,
      endWatch: this.endWatch,
      sender: this.sender,
      protocol,
      logger,
      nowMs: this.nowMs,
      usersOf: (endpointId) => this.subsetTracker.batchUsersOf(endpointId),
      entryCount: () => this.subsetTracker.batchEntryCount,
    });
    this.keys = new KeyCheck({
      silentMs: () => this.follower.silentMs,
      metrics: this.metrics,
      logger,
    });
    this.addGauges();
  }

  /** Joins the fleet and learns its state; callers may connect before that and are refused. */
  async start(): Promise<void> {
    await this.core.listen();
    this.core.start();
    this.exchange.start();
    this.quotas.start();
    await this.follower.start();
    this.runner.start();
    this.timer = setInterval(() => {
      this.sweep();
    }, SWEEP_INTERVAL_MS);
    this.logger.info('entry ready', {
      step: 'start',
      version: this.follower.fleet.position.version,
    });
  }

  /** Whether callers should be sent here. */
  get isReady(): boolean {
    return !this.isDraining && this.follower.fleet.routes !== undefined;
  }

  /** Whether the process has begun to stop. */
  get isDraining(): boolean {
    return this.stop.hasBegun;
  }

  /** Limits on what callers may send; undefined before the first configuration. */
  get limits(): CallerLimits | undefined {
    return this.follower.fleet.routes?.configuration.limits;
  }

  /** Addresses for a caller, see {@link callerAddresses}. */
  addresses(availabilityZone: string): string[] {
    return callerAddresses(this.core.mesh.live('entry'), availabilityZone);
  }

  /** The routes in force here; undefined before the first configuration. */
  get routes(): RouteTable | undefined {
    return this.follower.fleet.routes;
  }

  /** Holds a caller's request while the entry starts; gives the time that it was held. */
  async untilStarted(caller: DisconnectNotifier): Promise<number> {
    return this.knowsRoutes ? 0 : this.startGate.pass(caller);
  }

  /** Whether the routes are known. */
  get knowsRoutes(): boolean {
    return this.follower.fleet.routes !== undefined;
  }

  /** Forwards a request; its answer goes into the sink. */
  forward(incoming: IncomingRequest, sink: ResponseSink): Promise<void> {
    return this.intake.forward(incoming, sink);
  }

  /** Takes settings that changed. */
  reload(settings: FleetSettings): void {
    this.core.reload(settings);
  }

  /**
   * Planned stop: leaves the address answers, serves on while callers still hold them, hands
   * batch work back. Resolves when the caller-facing connections may close.
   */
  async drain(): Promise<void> {
    this.core.mesh.setState('draining');
    this.logger.info('draining', { step: 'stop', openRequests: this.intake.openRequests });
    await this.stop.run(this.runner.drain());
    this.logger.info('drained', { step: 'stop', cutRequests: this.intake.openRequests });
  }

  /** Ends all connections to the fleet and the endpoints. */
  async close(): Promise<void> {
    clearInterval(this.timer);
    this.follower.stop();
    this.subsetRefresh.close();
    this.runner.close();
    this.crashReporter.close();
    this.exchange.stop();
    this.quotas.stop();
    this.entries.close();
    this.stores.close();
    await this.sender.destroy();
    await this.core.stop();
  }

  private createCore(): ProcessCore {
    const { caller } = this.settings.listeners;
    return new ProcessCore({
      kind: 'entry',
      settings: this.settings,
      logger: this.logger,
      nowMs: this.nowMs,
      record: caller === undefined ? {} : { callerAddress: caller },
      handlers: {
        onRequest: (method) => Promise.reject(new Error(`an entry answers no ${method}`)),
        onMessage: (method, payload, link) => {
          this.onMessage(method, payload, link.peerName);
        },
      },
      onMembersChange: () => {
        this.membersChanged();
      },
      onControlConnected: (control) => {
        this.follower.controlConnected(control);
      },
    });
  }

  private createEntryLinks(): EntryLinks {
    const { core } = this;
    const opened = core.createPeerConnections({
      lingerMs: PEER_LINGER_MS,
      firstRetryMs: PEER_RETRY_MS,
      handlers: {
        onMessage: (method, payload, link) => {
          this.onMessage(method, payload, link.peerName);
        },
      },
    });
    return new EntryLinks({
      self: core.name,
      opened,
      accepted: (peerName) => core.server.linkOf(peerName),
    });
  }

  private createFollower(): FleetFollower {
    return new FleetFollower({
      controls: this.core.mesh.controls,
      caller: this.controlCaller,
      isNear: (control) => this.isNear(control),
      logger: this.logger,
      nowMs: this.nowMs,
      onHeartbeats: (heartbeats) => {
        if (this.pool.hear(heartbeats)) this.subsetRefresh.ask();
      },
      onCrashes: (changes, from) => {
        this.guard.take(changes, from);
      },
      onRoutes: () => {
        this.startGate.open();
      },
      onLeaving: (endpointIds) => {
        this.pool.markLeaving(endpointIds);
        this.subsetRefresh.ask();
      },
    });
  }

  private isNear(control: string): boolean {
    const { availabilityZone } = this.settings;
    const record = this.core.mesh.live('control').find(({ name }) => name === control);
    return record?.availabilityZone === availabilityZone;
  }

  private createPool(): EndpointPool {
    return new EndpointPool({
      availabilityZone: this.settings.availabilityZone,
      heartbeatMs: this.settings.heartbeatMs,
      random: this.random,
      nowMs: this.nowMs,
      isLeaving: (endpointId) => this.follower.fleet.isLeaving(endpointId),
      inSubset: () => this.subsetTracker.endpoints,
      userCount: (endpointId) => this.subsetTracker.usersOf(endpointId).length,
      entryCount: () => this.subsetTracker.entryCount,
      onLoadChange: (endpointId) => {
        this.exchange.note(endpointId);
      },
      onSlotWanted: (endpointId) => {
        this.wantSlot(endpointId);
      },
      onRunGone: (endpointId, address, goneForMs) => {
        this.endWatch.hasRestarted(endpointId);
        this.endpointRestarted(address, goneForMs);
      },
      onSilence: (moment) => {
        this.metrics.count('shedline_silent_sends_total', { moment });
      },
    });
  }

  private createEndWatch(): EndWatch {
    return new EndWatch({
      probe: new ConnectionProbe(),
      isLeaving: (endpointId) => this.follower.fleet.isLeaving(endpointId),
      onEnded: (endpointId) => {
        this.pool.markEnded(endpointId);
        this.metrics.count('shedline_endpoint_ends_total', {});
      },
      logger: this.logger,
      nowMs: this.nowMs,
    });
  }

  private createGuard(): CrashGuard {
    const { crashReporter: reporter, endWatch, logger, nowMs } = this;
    return new CrashGuard({ endWatch, reporter, logger, nowMs });
  }

  private addGauges(): void {
    this.metrics.gauge('shedline_held_contents', () => this.guard.heldCount);
    this.metrics.gauge('shedline_open_requests', () => this.intake.openRequests);
    this.metrics.gauge('shedline_waiting_requests', () => this.forwarder.waitingCount);
    this.metrics.gauge('shedline_held_at_start', () => this.startGate.waitingCount);
    this.metrics.gauge('shedline_running_items', () => this.runner.runningCount);
    this.metrics.gauge(
      'shedline_configuration_version',
      () => this.follower.fleet.position.version,
    );
    this.metrics.gauge('shedline_control_silence_milliseconds', () => this.follower.silentMs);
    this.metrics.gauge('shedline_state_age_milliseconds', () => this.follower.unconfirmedMs);
    this.metrics.gauge('shedline_silent_control_processes', () => this.core.mesh.silentCore.length);
  }

  /** What was under way at the earlier run of an endpoint is lost. */
  private endpointRestarted(address: string, goneForMs: number): void {
    const lostSends = this.sender.loseUnheard(address, performance.now() - goneForMs);
    this.logger.info('endpoint has started again', { step: 'endpoint', peer: address, lostSends });
  }

  /** The entry that runs batch work at the endpoint makes room there. */
  private wantSlot(endpointId: string): void {
    const owner = this.runner.ownerOf(endpointId);
    if (owner === undefined || owner === this.core.name) this.runner.slotWanted(endpointId);
    else this.entries.send(owner, 'slotWanted', endpointId);
  }

  private onMessage(method: string, payload: unknown, from: string): void {
    if (method === 'fleetNews') this.follower.takePushed(payload as FleetDelta, from);
    if (method === 'heartbeats') this.follower.takeHeartbeats(payload as AgedHeartbeat[]);
    if (method === 'loads') this.pool.hearLoads(from, payload as LoadCount[]);
    if (method === 'slotWanted') this.runner.slotWanted(payload as string);
    if (method === 'quotaNear') this.quotas.hearNear(payload as string[]);
  }

  /** Entries that take callers, and this one in any case. */
  private servingEntries(): ZonedName[] {
    const { mesh } = this.core;
    const { self } = mesh;
    const ready = mesh.live('entry').filter((entry) => entry.state === 'ready');
    const others = ready.filter((entry) => entry.name !== self.name);
    return [...others, self].map(({ name, availabilityZone }) => ({ name, availabilityZone }));
  }

  /** Called 2.5 times a second and more; a list without changes is the same object as before. */
  private membersChanged(): void {
    const entries = this.core.mesh.live('entry');
    const stores = this.core.mesh.live('store');
    if (entries !== this.seenEntries) this.subsetRefresh.ask();
    if (stores !== this.seenStores) this.storeLinks.update();
    this.seenEntries = entries;
    this.seenStores = stores;
    if (this.isReady && this.core.mesh.self.state === 'starting') this.core.mesh.setState('ready');
  }

  /** Keeps connections to the entries that share endpoints with this one. */
  private refreshSubset(): void {
    this.subsetTracker.refresh();
    const peers = new Set(this.subsetTracker.peers);
    const sharing = this.core.mesh.live('entry').filter((entry) => peers.has(entry.name));
    this.entries.keepOnly(sharing);
  }

  private sweep(): void {
    this.subsetRefresh.ask();
    this.endWatch.sweep();
    this.storeLinks.update();
    const inUse = this.pool.sweep();
    for (const address of this.sender.addresses) {
      if (!inUse.has(address)) this.sender.forget(address);
    }
  }
}
