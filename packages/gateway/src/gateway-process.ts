/**
 * The entry process of a fleet with automatic member discovery: it forwards callers' requests
 * unchanged to endpoints, accepts batch jobs and runs their items.
 */
import type { FleetSettings } from '@shedline/config';
import { LeaderCaller } from '@shedline/control-client';
import type { ZonedName } from '@shedline/directory';
import { OpenCalls } from '@shedline/draining';
import type { AgedHeartbeat, CallerLimits, FleetDelta, RouteTable } from '@shedline/fleet';
import { ProcessCore, callPortsOf, quotaTolerance } from '@shedline/fleet-control';
import type { JobEndedMessage } from '@shedline/fleet-control';
import { ConnectionProbe, EndpointSender, Forwarder } from '@shedline/forwarding';
import type { EndpointProtocol, ResponseSink } from '@shedline/forwarding';
import type { LogFields, Logger } from '@shedline/logger';
import { ProcessMetrics } from '@shedline/metrics';
import type { MemberRecord } from '@shedline/mesh';
import type { PeerConnections } from '@shedline/transport';
import { callerAddresses } from './caller-addresses.js';
import { CrashGuard } from './crash-guard.js';
import { CrashReporter } from './crash-reporter.js';
import { CrashDetector } from './crash-detector.js';
import { EndpointPool } from './endpoint-pool.js';
import type { LoadCount } from './endpoint-pool.js';
import { EntryConnections } from './entry-connections.js';
import { FleetFollower } from './fleet-follower.js';
import { ApiKeyAuthenticator } from './api-key-authenticator.js';
import { ItemRunner } from './item-runner.js';
import { JobAccess } from './job-access.js';
import { JobService, jobGroupsOf } from './job-service.js';
import { LoadReporter } from './load-reporter.js';
import { GracefulShutdown } from './graceful-shutdown.js';
import { QuotaEnforcer } from './quota-enforcer.js';
import { PeriodicTasks, TICK_INTERVAL_MS } from './periodic-tasks.js';
import { ThrottledTask } from './throttled-task.js';
import { SubsetTracker } from './subset-tracker.js';
import { RequestHandler } from './request-handler.js';
import type { IncomingRequest } from './request-handler.js';
import { StartupGate } from './startup-gate.js';
import type { DisconnectNotifier } from './startup-gate.js';
import { STORE_LINGER_MS, StoreConnections } from './store-connections.js';
import { StreamOrigins } from './stream-origins.js';

/** Ticks between sweeps: one second. */
const TICKS_PER_SWEEP = 1000 / TICK_INTERVAL_MS;
/**
 * Minimum time between two computations of the endpoint subsets. Their cost is proportional to the
 * number of endpoints, which all appear one after another when the fleet starts.
 */
const SUBSET_REFRESH_INTERVAL_MS = 50;
/**
 * Time for which the connection to an entry is kept after they stop sharing endpoints: in a large
 * fleet each restart changes the subsets slightly, and the next one often reverts the change.
 */
const PEER_LINGER_MS = 10_000;
/**
 * Delay before reconnecting to another entry. A restarting entry needs at least 400 ms, and failed
 * attempts used 5 of 29 ms of CPU time per second while all peers were stopping.
 */
const PEER_RETRY_MS = 400;
/** Maximum wait for one control process during the initial read before the next one is tried. */
const MAX_CONTROL_ATTEMPT_MS = 500;
/** Maximum pause between attempts of the initial read; callers held during startup wait for it. */
const MAX_CONTROL_PAUSE_MS = 40;
/**
 * Maximum wait for one store before the next one is tried, since a store without power never
 * replies. Callers wait 3.7 s for the reply to a submission, and up to 1 s for results.
 */
const MAX_STORE_ATTEMPT_MS = 1500;

/**
 * Time for which a missing control process counts towards the majority that rules out other software
 * versions: it may be on the other side of a partition, or be replaced for good.
 */
const CORE_MEMORY_MS = 600_000;

/** Options of {@link GatewayProcess}. */
export interface GatewayProcessOptions {
  readonly settings: FleetSettings;
  readonly protocol: EndpointProtocol;
  readonly logger: Logger;
  readonly random?: () => number;
  readonly nowMs?: () => number;
}

/** An entry process. */
export class GatewayProcess {
  readonly core: ProcessCore;
  readonly jobs: JobService;
  readonly jobAccess: JobAccess;
  readonly authenticator: ApiKeyAuthenticator;
  readonly metrics = new ProcessMetrics();
  /** Calls in progress at all servers of this entry. */
  readonly openCalls = new OpenCalls();
  private readonly settings: FleetSettings;
  private readonly logger: Logger;
  private readonly random: () => number;
  private readonly nowMs: () => number;
  private readonly controlCaller: LeaderCaller;
  private readonly follower: FleetFollower;
  private readonly crashDetector: CrashDetector;
  private readonly crashReporter: CrashReporter;
  private readonly crashGuard: CrashGuard;
  private readonly pool: EndpointPool;
  private readonly sender: EndpointSender;
  private readonly forwarder: Forwarder;
  private readonly requestHandler: RequestHandler;
  private readonly quotas: QuotaEnforcer;
  private readonly streamOrigins: StreamOrigins;
  private readonly entryConnections: EntryConnections;
  private readonly stores: PeerConnections;
  private readonly storeConnections: StoreConnections;
  private readonly loadReporter: LoadReporter;
  private readonly subsetTracker: SubsetTracker;
  private readonly subsetRefresh: ThrottledTask;
  private readonly itemRunner: ItemRunner;
  private readonly tasks = new PeriodicTasks();
  private tickTimer: NodeJS.Timeout | undefined;
  private readonly shutdown: GracefulShutdown;
  private lastEntries: readonly MemberRecord[] | undefined;
  private lastStores: readonly MemberRecord[] | undefined;
  private readonly startupGate: StartupGate;

  constructor(options: GatewayProcessOptions) {
    const { settings, protocol, logger } = options;
    this.settings = settings;
    this.logger = logger;
    this.random = options.random ?? Math.random;
    this.nowMs = options.nowMs ?? (() => performance.now());
    this.core = this.createCore();
    this.shutdown = new GracefulShutdown({
      nowMs: this.nowMs,
      stopWithinMs: settings.stopWithinS * 1000,
      addressKeepMs: settings.addressKeepS * 1000,
      openCalls: this.openCalls,
    });
    this.startupGate = new StartupGate({
      nowMs: this.nowMs,
      othersReady: () => this.servingEntries().length > 1,
    });
    const { name } = this.core;
    this.entryConnections = this.createEntryConnections();
    this.stores = this.core.createPeerConnections({
      lingerMs: STORE_LINGER_MS,
      handlers: {
        onMessage: (method, payload) => {
          if (method === 'jobEnded') this.itemRunner.stopJob((payload as JobEndedMessage).jobId);
        },
      },
    });
    this.subsetTracker = new SubsetTracker({
      self: name,
      entries: () => this.servingEntries(),
      endpoints: () => this.pool.activeEndpoints(),
    });
    this.subsetRefresh = new ThrottledTask({
      intervalMs: SUBSET_REFRESH_INTERVAL_MS,
      run: () => {
        this.refreshSubsets();
      },
    });
    const usersOf = (endpointId: string): readonly string[] =>
      this.subsetTracker.usersOf(endpointId);
    this.loadReporter = new LoadReporter({
      entries: this.entryConnections,
      pool: () => this.pool,
      usersOf,
    });
    this.controlCaller = new LeaderCaller({
      ports: () => callPortsOf(this.core.mesh.controls),
      maxAttemptMs: MAX_CONTROL_ATTEMPT_MS,
      maxPauseMs: MAX_CONTROL_PAUSE_MS,
    });
    this.follower = this.createFollower();
    this.pool = this.createPool();
    this.crashDetector = this.createCrashDetector();
    this.crashReporter = new CrashReporter({
      fleet: this.controlCaller,
      logger,
      nowMs: this.nowMs,
    });
    this.crashGuard = this.createCrashGuard();
    this.sender = this.createSender(protocol);
    this.forwarder = new Forwarder({
      sender: this.sender,
      protocol,
      chooser: this.pool,
      guard: this.crashGuard,
      logger,
      nowMs: this.nowMs,
    });
    const { fleet } = this.follower;
    this.quotas = new QuotaEnforcer({
      self: name,
      tolerance: quotaTolerance(settings),
      controls: this.core.mesh.controls,
      entryCount: () => this.core.mesh.live('entry').length,
      tasks: this.tasks,
      metrics: this.metrics,
      logger,
      nowMs: this.nowMs,
    });
    this.streamOrigins = new StreamOrigins({
      isWriterCertain: (endpointId, atMs) => this.pool.isWriterCertain(endpointId, atMs),
      controls: this.core.mesh.controls,
      controlCount: () => this.core.mesh.coreListedWithin(CORE_MEMORY_MS).length,
      metrics: this.metrics,
      logger,
      nowMs: this.nowMs,
    });
    this.requestHandler = new RequestHandler({
      fleet,
      forwarder: this.forwarder,
      quotas: this.quotas,
      origins: this.streamOrigins,
      stop: this.shutdown,
      metrics: this.metrics,
      logger,
      random: this.random,
      nowMs: this.nowMs,
    });
    this.storeConnections = new StoreConnections({
      connections: this.stores,
      stores: () => this.core.mesh.live('store'),
      groups: () => jobGroupsOf(fleet),
    });
    const storeCaller = new LeaderCaller({
      ports: (group) => this.storeConnections.ports(group),
      maxAttemptMs: MAX_STORE_ATTEMPT_MS,
    });
    this.jobs = new JobService({ stores: storeCaller, fleet, stop: this.shutdown, logger });
    this.itemRunner = new ItemRunner({
      holder: `${name}/${this.core.epoch}`,
      self: name,
      stores: storeCaller,
      fleet,
      pool: this.pool,
      crashDetector: this.crashDetector,
      sender: this.sender,
      protocol,
      logger,
      nowMs: this.nowMs,
      usersOf: (endpointId) => this.subsetTracker.batchUsersOf(endpointId),
      entryCount: () => this.subsetTracker.batchEntryCount,
    });
    this.authenticator = new ApiKeyAuthenticator({
      controlSilenceMs: () => this.follower.controlSilenceMs,
      metrics: this.metrics,
      logger,
    });
    this.jobAccess = new JobAccess({
      fleet,
      authenticator: this.authenticator,
      isStateFresh: () => this.follower.isStateFresh,
    });
    this.shutdown.onClosing(() => {
      this.startupGate.open();
      this.forwarder.endAll();
    });
    this.addGauges();
  }

  /** Joins the fleet and reads its state; callers that connect earlier are held or refused. */
  async start(): Promise<void> {
    await this.core.listen();
    this.core.start();
    this.tickTimer = setInterval(() => {
      this.tasks.tick();
    }, TICK_INTERVAL_MS);
    this.loadReporter.start();
    this.quotas.start();
    await this.follower.start();
    this.itemRunner.start();
    this.tasks.add({
      everyTicks: TICKS_PER_SWEEP,
      run: () => {
        this.sweep();
      },
    });
    this.logger.info('entry ready', {
      step: 'start',
      version: this.follower.fleet.position.version,
    });
  }

  /** Whether this entry accepts new callers: it knows the routes and is not draining. */
  get isReady(): boolean {
    return !this.isDraining && this.follower.fleet.routes !== undefined;
  }

  /** Whether the graceful shutdown has begun. */
  get isDraining(): boolean {
    return this.shutdown.hasBegun;
  }

  /** Whether new calls are refused, as the process is about to exit. */
  get isClosing(): boolean {
    return this.shutdown.isClosing;
  }

  /** See {@link GracefulShutdown.onClosing}. */
  onClosing(listener: () => void): () => void {
    return this.shutdown.onClosing(listener);
  }

  /** Size and time limits for callers' requests; undefined before the first configuration. */
  get limits(): CallerLimits | undefined {
    return this.follower.fleet.routes?.configuration.limits;
  }

  /** Addresses of entries for a caller in a zone, see {@link callerAddresses}. */
  addresses(availabilityZone: string): string[] {
    return callerAddresses(this.core.mesh.live('entry'), availabilityZone);
  }

  /** Routes of the current configuration; undefined before the first one is received. */
  get routes(): RouteTable | undefined {
    return this.follower.fleet.routes;
  }

  /** Holds a request until the routes are known; returns the time in ms for which it was held. */
  async waitUntilStarted(caller: DisconnectNotifier): Promise<number> {
    return this.knowsRoutes ? 0 : this.startupGate.pass(caller);
  }

  /** Whether a configuration has been received. */
  get knowsRoutes(): boolean {
    return this.follower.fleet.routes !== undefined;
  }

  /** Forwards a request and writes the response to the sink. */
  forward(incoming: IncomingRequest, sink: ResponseSink): Promise<void> {
    return this.requestHandler.forward(incoming, sink);
  }

  /** Applies changed settings. */
  reload(settings: FleetSettings): void {
    this.core.reload(settings);
  }

  /**
   * Shuts down gracefully: withdraws this entry's address, keeps serving while callers may still
   * have it cached, and returns batch items. Resolves when all calls have been answered, or when
   * there is no time left for that.
   */
  async drain(): Promise<void> {
    this.core.mesh.setState('draining');
    this.openCalls.stop();
    this.logger.info('draining', { step: 'stop', ...this.openWork() });
    await this.shutdown.run(this.itemRunner.drain());
    this.logger.info('drained', { step: 'stop', ...this.openWork() });
  }

  /** Returns the work in progress, for the log. */
  private openWork(): LogFields {
    const { openCalls, requestHandler, itemRunner } = this;
    return {
      openCalls: openCalls.byKind,
      openRequests: requestHandler.openRequests,
      runningItems: itemRunner.runningCount,
    };
  }

  /** Refuses the calls that wait for the start, and all later ones: the process is to stop. */
  refuseCalls(): void {
    this.openCalls.stop();
    this.shutdown.refuseCalls();
  }

  /** Closes all connections to the fleet and to the endpoints. */
  async close(): Promise<void> {
    clearInterval(this.tickTimer);
    this.follower.stop();
    this.subsetRefresh.close();
    this.itemRunner.close();
    this.crashReporter.close();
    this.loadReporter.stop();
    this.quotas.stop();
    this.entryConnections.close();
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
        onRequest: (method) =>
          Promise.reject(new Error(`an entry does not handle ${method} requests`)),
        onMessage: (method, payload, link) => {
          this.onMessage(method, payload, link.peerName);
        },
      },
      onMembersChange: () => {
        this.onMembersChange();
      },
      onControlConnected: (control) => {
        this.follower.onControlConnected(control);
        this.streamOrigins.onControlConnected(control);
      },
    });
  }

  private createEntryConnections(): EntryConnections {
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
    return new EntryConnections({
      self: core.name,
      opened,
      accepted: (peerName) => core.server.linkOf(peerName),
    });
  }

  private createFollower(): FleetFollower {
    return new FleetFollower({
      controls: this.core.mesh.controls,
      caller: this.controlCaller,
      isInOwnZone: (control) => this.isNear(control),
      tasks: this.tasks,
      logger: this.logger,
      nowMs: this.nowMs,
      onHeartbeats: (heartbeats) => {
        this.streamOrigins.observeHeartbeats(heartbeats);
        if (this.pool.observeHeartbeats(heartbeats)) this.subsetRefresh.schedule();
      },
      onCrashes: (changes, from) => {
        this.crashGuard.applyChanges(changes, from);
      },
      onRoutes: () => {
        this.startupGate.open();
        this.announceReadiness();
      },
      onLeaving: (endpointIds) => {
        this.pool.markLeaving(endpointIds);
        this.subsetRefresh.schedule();
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
      sameProcessSinceMs: (address) => this.sender.sameProcessSinceMs(address),
      onLoadChange: (endpointId) => {
        this.loadReporter.markChanged(endpointId);
      },
      onSlotWanted: (endpointId) => {
        this.requestSlot(endpointId);
      },
      onRunReplaced: (endpointId, address, heartbeatAgeMs) => {
        this.crashDetector.noteRestart(endpointId);
        this.onEndpointRestarted(address, heartbeatAgeMs);
      },
      onWriterInDoubt: (endpointId, sinceMs) => {
        this.streamOrigins.writerInDoubt(endpointId, sinceMs);
      },
      onTimeout: (moment) => {
        this.metrics.count('shedline_silent_sends_total', { moment });
      },
    });
  }

  private createSender(protocol: EndpointProtocol): EndpointSender {
    return new EndpointSender({
      protocol,
      isLeaving: (endpointId) => this.follower.fleet.isLeaving(endpointId),
      healthPathOf: (endpointId) => this.healthPathOf(endpointId),
      onUnframedEnd: ({ requestId, endpointId }, verdict) => {
        this.metrics.count('shedline_unframed_responses_total', { endpoint: verdict });
        if (verdict === 'alive') return;
        this.logger.info('response without a length counts as truncated', {
          step: 'forward',
          request: requestId,
          endpoint: endpointId,
          evidence: verdict,
        });
      },
    });
  }

  /** Returns the health check of an endpoint's service; undefined if the endpoint is unknown. */
  private healthPathOf(endpointId: string): string | undefined {
    const service = this.pool.serviceOf(endpointId);
    const services = this.follower.fleet.routes?.configuration.services ?? [];
    return services.find(({ name }) => name === service)?.healthPath;
  }

  private createCrashDetector(): CrashDetector {
    return new CrashDetector({
      probe: new ConnectionProbe(),
      isLeaving: (endpointId) => this.follower.fleet.isLeaving(endpointId),
      onCrashed: (endpointId) => {
        this.pool.markDown(endpointId);
        this.metrics.count('shedline_endpoint_ends_total', {});
      },
      logger: this.logger,
      nowMs: this.nowMs,
    });
  }

  private createCrashGuard(): CrashGuard {
    const { crashReporter: reporter, crashDetector, logger, nowMs } = this;
    return new CrashGuard({ crashDetector, reporter, logger, nowMs });
  }

  private addGauges(): void {
    this.metrics.gauge('shedline_held_contents', () => this.crashGuard.heldCount);
    this.metrics.gauge('shedline_open_calls', () => this.openCalls.count);
    this.metrics.gauge('shedline_open_requests', () => this.requestHandler.openRequests);
    this.metrics.gauge('shedline_waiting_requests', () => this.forwarder.waitingCount);
    this.metrics.gauge('shedline_held_at_start', () => this.startupGate.waitingCount);
    this.metrics.gauge('shedline_stream_origins', () => this.streamOrigins.recordCount);
    this.metrics.gauge('shedline_running_items', () => this.itemRunner.runningCount);
    this.metrics.gauge(
      'shedline_configuration_version',
      () => this.follower.fleet.position.version,
    );
    this.metrics.gauge(
      'shedline_control_silence_milliseconds',
      () => this.follower.controlSilenceMs,
    );
    this.metrics.gauge('shedline_state_age_milliseconds', () => this.follower.stateAgeMs);
    this.metrics.gauge(
      'shedline_silent_control_processes',
      () => this.core.mesh.missingCore.length,
    );
  }

  /** Fails the requests that were in progress at the previous incarnation of an endpoint. */
  private onEndpointRestarted(address: string, heartbeatAgeMs: number): void {
    const lostSends = this.sender.failUnresponsiveSends(
      address,
      performance.now() - heartbeatAgeMs,
    );
    this.logger.info('endpoint restarted', { step: 'endpoint', peer: address, lostSends });
  }

  /** Asks the entry that runs batch work at the endpoint to free a slot. */
  private requestSlot(endpointId: string): void {
    const owner = this.itemRunner.ownerOf(endpointId);
    if (owner === undefined || owner === this.core.name) this.itemRunner.yieldSlot(endpointId);
    else this.entryConnections.send(owner, 'slotWanted', endpointId);
  }

  private onMessage(method: string, payload: unknown, from: string): void {
    if (method === 'fleetNews') this.follower.handleDelta(payload as FleetDelta, from);
    if (method === 'heartbeats') this.follower.handleHeartbeats(payload as AgedHeartbeat[]);
    if (method === 'loads') this.onLoads(payload as LoadCount[], from);
    if (method === 'slotWanted') this.itemRunner.yieldSlot(payload as string);
    if (method === 'quotaNear') this.quotas.markNearLimit(payload as string[]);
  }

  private onLoads(counts: readonly LoadCount[], from: string): void {
    this.pool.observePeerLoads(from, counts);
    this.itemRunner.noteLoads(counts);
  }

  /** Entries that accept callers; always includes this one. */
  private servingEntries(): ZonedName[] {
    const { mesh } = this.core;
    const { self } = mesh;
    const ready = mesh.live('entry').filter((entry) => entry.state === 'ready');
    const others = ready.filter((entry) => entry.name !== self.name);
    return [...others, self].map(({ name, availabilityZone }) => ({ name, availabilityZone }));
  }

  /** Called at least every 800 ms; an unchanged list is the same object as before. */
  private onMembersChange(): void {
    const entries = this.core.mesh.live('entry');
    const stores = this.core.mesh.live('store');
    if (entries !== this.lastEntries) this.subsetRefresh.schedule();
    if (stores !== this.lastStores) this.storeConnections.update();
    this.lastEntries = entries;
    this.lastStores = stores;
    this.announceReadiness();
  }

  private announceReadiness(): void {
    if (this.isReady && this.core.mesh.self.state === 'starting') this.core.mesh.setState('ready');
  }

  /**
   * Recomputes the subsets and connects to exactly the entries that share endpoints with this one.
   */
  private refreshSubsets(): void {
    this.subsetTracker.refresh();
    const peers = new Set(this.subsetTracker.peers);
    const sharing = this.core.mesh.live('entry').filter((entry) => peers.has(entry.name));
    this.entryConnections.keepOnly(sharing);
  }

  private sweep(): void {
    this.subsetRefresh.schedule();
    this.crashDetector.sweep();
    this.storeConnections.update();
    const inUse = this.pool.sweep();
    for (const address of this.sender.addresses) {
      if (!inUse.has(address)) this.sender.closeConnectionsTo(address);
    }
  }
}
