/**
 * The control process of a fleet with dynamic membership. With a disk it is a member of the fleet
 * group; without a disk it forwards queries and commands to the members of the group.
 */
import type { FleetSettings } from '@shedline/config';
import { GroupNode, findCluster } from '@shedline/control';
import type { ClusterDocument, GroupHost, HelloAnswer } from '@shedline/control';
import { instanceOf } from '@shedline/consensus';
import { LeaderCaller } from '@shedline/control-client';
import type { CallPort } from '@shedline/control-client';
import { EndpointRegistry, UNKNOWN_START_MS, configurationProblem, runIdOf } from '@shedline/fleet';
import type {
  AgedHeartbeat,
  Configuration,
  EndpointHeartbeat,
  EndpointRun,
  FleetAnswer,
  FleetCommand,
  FleetDelta,
  FleetPosition,
} from '@shedline/fleet';
import type { Logger } from '@shedline/logger';
import { ProcessMetrics } from '@shedline/metrics';
import type { Link, PeerAddress, PeerConnections } from '@shedline/transport';
import { SavedEndpoints } from './saved-endpoints.js';
import type { QuotaRequest, UsageReport } from '@shedline/quota';
import type { OriginRecord, OriginRequest } from '@shedline/stream-origins';
import { FleetStateMachine, FLEET_GROUP } from './group-state-machines.js';
import { forwardingUrgency } from './forwarding-urgency.js';
import { groupSettings } from './group-settings.js';
import { HeartbeatBatcher } from './heartbeat-batcher.js';
import { OriginRegistry } from './origin-registry.js';
import { callPortsOf, ownCallPort } from './peer-ports.js';
import { peerAddressFromName, seedAddresses } from './ports.js';
import { ProcessCore } from './process-core.js';
import { RetirementCalls } from './retirement-calls.js';
import { StoreLifecycle } from './store-lifecycle.js';
import { QuotaCounter } from './quota-counter.js';
import { quotaTolerance } from './quota-settings.js';
import type { RefreshAnswer, RefreshRequest, StateAnswer } from './protocol.js';

/** Operators and endpoints time out after one second; a reply must arrive earlier. */
const CALL_TIMEOUT_MS = 850;
/** Maximum wait for one process while searching for the leader. */
const MAX_ATTEMPT_MS = 400;
const EXPIRY_INTERVAL_MS = 5000;

/** Options of {@link ControlProcess}. */
export interface ControlProcessOptions {
  readonly settings: FleetSettings;
  readonly logger: Logger;
  readonly random?: () => number;
  readonly nowMs?: () => number;
}

/** Outcome of putting a configuration. */
export interface PutAnswer {
  readonly outcome: 'stored' | 'held' | 'invalid';
  readonly message: string;
}

/** Runs a control process; start it with {@link start}. */
export class ControlProcess {
  readonly core: ProcessCore;
  readonly metrics = new ProcessMetrics();
  private readonly settings: FleetSettings;
  private readonly logger: Logger;
  private readonly nowMs: () => number;
  private readonly registry: EndpointRegistry;
  private readonly origins: OriginRegistry;
  private readonly heartbeatBatcher: HeartbeatBatcher;
  private readonly savedEndpoints: SavedEndpoints | undefined;
  private readonly groups: GroupNode | undefined;
  private readonly stateMachine: FleetStateMachine;
  private readonly caller: LeaderCaller;
  private readonly quotas: QuotaCounter;
  /** Formation and retirement of stores. */
  readonly storeLifecycle: StoreLifecycle;
  /** Operators' calls about the retirement of a store. */
  readonly retirements: RetirementCalls;
  /** Connections to the stores, opened when the progress of a retirement is queried. */
  private readonly stores: PeerConnections;
  /** Position up to which changes were pushed to the connected processes. */
  private pushedPosition: FleetPosition = { version: -1, leaveCount: 0 };
  private timer: NodeJS.Timeout | undefined;
  private isPushDue = false;
  private stopped = false;

  constructor(options: ControlProcessOptions) {
    this.settings = options.settings;
    this.logger = options.logger;
    this.nowMs = options.nowMs ?? (() => performance.now());
    this.core = new ProcessCore({
      kind: 'control',
      settings: this.settings,
      logger: this.logger,
      nowMs: this.nowMs,
      record: controlRecord(this.settings),
      handlers: {
        onRequest: (method, payload) => this.onRequest(method, payload),
        onMessage: (method, payload, link) => {
          this.onMessage(method, payload, link);
        },
      },
      coreMembers: () => this.coreMembers(),
    });
    this.stores = this.core.createPeerConnections();
    this.registry = new EndpointRegistry(this.core.epoch);
    this.origins = new OriginRegistry({ endpoints: this.registry, nowMs: this.nowMs });
    this.heartbeatBatcher = this.createHeartbeatBatcher();
    this.savedEndpoints = this.createSavedEndpoints();
    this.stateMachine = new FleetStateMachine(() => {
      this.schedulePush();
    });
    this.storeLifecycle = new StoreLifecycle({
      state: this.stateMachine.state,
      toleratedLosses: this.settings.toleratedLosses,
      logger: this.logger,
      liveStores: () => this.core.mesh.live('store'),
      stores: this.stores,
      propose: (command) => this.propose(command),
    });
    this.groups = this.createGroups(options.random ?? Math.random);
    this.retirements = new RetirementCalls({
      lifecycle: this.groups === undefined ? undefined : this.storeLifecycle,
      callLeader: (method, instance) => this.callLeader(method, instance),
    });
    this.caller = new LeaderCaller({
      ports: () => this.ports(),
      maxAttemptMs: MAX_ATTEMPT_MS,
      onFailure: ({ method, attempts }) => {
        this.logger.info('call to the leader failed', { step: method, attempts });
      },
    });
    this.quotas = this.createQuotas();
    this.addGauges();
  }

  /** Joins the fleet, or forms it with the other seeds if it is new. */
  async start(): Promise<void> {
    await this.groups?.open();
    await this.restoreEndpoints();
    this.savedEndpoints?.start();
    await this.core.listen();
    if (this.groups !== undefined) this.core.mesh.update({ memberId: this.groups.memberId });
    this.core.start();
    this.quotas.start();
    this.timer = setInterval(() => {
      this.registry.forgetExpired(this.nowMs());
    }, EXPIRY_INTERVAL_MS);
    await this.groups?.join();
    this.core.mesh.setState('ready');
    this.logger.info('control process ready', { step: 'start' });
  }

  /** Transfers leaderships to other members, then stops. */
  async stop(): Promise<void> {
    this.stopped = true;
    this.core.mesh.setState('draining');
    await this.groups?.stop();
    this.savedEndpoints?.stop();
    this.heartbeatBatcher.close();
    this.quotas.stop();
    clearInterval(this.timer);
    this.stores.close();
    await this.core.stop();
  }

  /** Puts a configuration in force; `document` is its text as the operator sent it. */
  async putConfiguration(configuration: Configuration, document: string): Promise<PutAnswer> {
    const problem = configurationProblem(configuration);
    const { version } = configuration;
    if (problem !== undefined) {
      this.logger.info('configuration refused', { step: 'configure', version, reason: problem });
      return { outcome: 'invalid', message: problem };
    }
    const answer = await this.propose({ type: 'putConfiguration', configuration, document });
    this.logger.info('configuration acknowledged', {
      step: 'configure',
      version,
      outcome: answer.outcome,
      inForce: answer.version,
    });
    return { outcome: answer.outcome, message: `version ${answer.version} is in force` };
  }

  /** Reads the configuration in force, linearizably; returns an empty text if there is none. */
  async readDocument(): Promise<string> {
    return (await this.callLeader('fleetDocument', {})) as string;
  }

  /** Records a heartbeat of an endpoint and forwards it to other processes. */
  receiveHeartbeat(heartbeat: EndpointHeartbeat): void {
    const nowMs = this.nowMs();
    const known = this.registry.latestOf(heartbeat.endpointId, nowMs);
    const urgency = forwardingUrgency(heartbeat, known, this.settings.heartbeatMs);
    this.origins.observe(heartbeat, 0);
    if (!this.registry.record(heartbeat, 0, nowMs)) return;
    // Other processes poll at short intervals; only new incarnations are pushed to all of them.
    this.heartbeatBatcher.add(heartbeat, urgency);
  }

  /** Records that an endpoint incarnation drains; resolves once a quorum has stored the record. */
  async recordLeave({ endpointId, startedAtMs }: EndpointRun): Promise<void> {
    if (this.stateMachine.state.isLeaving({ endpointId, startedAtMs })) return;
    const answer = await this.propose({ type: 'recordLeave', endpointId, startedAtMs });
    this.logger.info('endpoint drain recorded', {
      step: 'leave',
      endpoint: runIdOf({ endpointId, startedAtMs }),
      outcome: answer.outcome,
    });
  }

  /**
   * Returns the latest incarnation of an endpoint that this control process knows, or else that
   * another one knows: a process that has just started may be asked to record a drain before it
   * receives a heartbeat.
   */
  async runOf(endpointId: string): Promise<EndpointRun> {
    const known = this.registry.runOf(endpointId);
    if (known !== undefined) return known;
    const replies = this.core.mesh.controls.ready.map(async (control) => {
      try {
        const answer = await control.request('endpointRun', endpointId, MAX_ATTEMPT_MS);
        return answer as EndpointRun | null;
      } catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        this.logger.debug('could not query the latest run of an endpoint', {
          step: 'leave',
          peer: control.peerName,
          reason,
        });
        return null;
      }
    });
    const runs = (await Promise.all(replies)).flatMap((run) => run ?? []);
    const unknownStart = { endpointId, startedAtMs: UNKNOWN_START_MS };
    return runs.reduce(
      (latest, run) => (run.startedAtMs > latest.startedAtMs ? run : latest),
      unknownStart,
    );
  }

  private propose(command: FleetCommand): Promise<FleetAnswer> {
    return this.callLeader('fleetPropose', command) as Promise<FleetAnswer>;
  }

  private async callLeader(method: string, payload: unknown): Promise<unknown> {
    const startMs = this.nowMs();
    let outcome = 'failed';
    try {
      const answer = await this.caller.call(method, FLEET_GROUP, payload, CALL_TIMEOUT_MS);
      outcome = 'complete';
      return answer;
    } finally {
      this.metrics.count('shedline_leader_calls_total', { method, outcome });
      this.metrics.recordDuration(
        'shedline_leader_call_milliseconds',
        { method },
        this.nowMs() - startMs,
      );
    }
  }

  /** Restores the endpoints of before the start, and with them the software versions that served. */
  private async restoreEndpoints(): Promise<void> {
    const heartbeats = (await this.savedEndpoints?.restore()) ?? [];
    for (const heartbeat of heartbeats) this.origins.observe(heartbeat, 0);
    if (heartbeats.length > 0 || this.settings.isFounding) this.origins.markEarlierVersionsKnown();
  }

  private createQuotas(): QuotaCounter {
    const { logger, nowMs, core } = this;
    return new QuotaCounter({
      tolerance: quotaTolerance(this.settings),
      logger,
      nowMs,
      announce: (workspaces) => {
        core.broadcast('quotaNear', workspaces);
      },
    });
  }

  private addGauges(): void {
    this.metrics.gauge('shedline_quota_counts', () => this.quotas.size);
    this.metrics.gauge('shedline_stream_origins', () => this.origins.size);
    const { state } = this.stateMachine;
    this.metrics.gauge('shedline_configuration_version', () => state.position.version);
    this.metrics.gauge('shedline_leave_records', () => state.position.leaveCount);
    this.metrics.gauge('shedline_groups_led', () => this.groups?.ledGroups().length ?? 0);
    this.metrics.gauge(
      'shedline_silent_control_processes',
      () => this.core.mesh.missingCore.length,
    );
    this.metrics.gauge('shedline_live_entries', () => this.core.mesh.live('entry').length);
    this.metrics.gauge('shedline_live_stores', () => this.core.mesh.live('store').length);
  }

  /** Returns the processes that may lead the fleet group, this process first. */
  private ports(): CallPort[] {
    const remote = callPortsOf(this.core.mesh.controls);
    if (this.groups === undefined) return remote;
    const own = ownCallPort(this.core.name, (method, payload) => this.onRequest(method, payload));
    return [own, ...remote];
  }

  private createHeartbeatBatcher(): HeartbeatBatcher {
    return new HeartbeatBatcher({
      heartbeatMs: this.settings.heartbeatMs,
      nowMs: this.nowMs,
      sendToControls: (heartbeats) => {
        for (const control of this.core.mesh.controls.ready) control.send('heartbeats', heartbeats);
      },
      sendToAll: (heartbeats) => {
        this.core.broadcast('heartbeats', heartbeats);
      },
    });
  }

  private createSavedEndpoints(): SavedEndpoints | undefined {
    const { dataDir, heartbeatMs } = this.settings;
    if (dataDir === undefined) return undefined;
    const { registry, logger, nowMs } = this;
    return new SavedEndpoints({ dataDir, registry, heartbeatMs, logger, nowMs });
  }

  private createGroups(random: () => number): GroupNode | undefined {
    const { dataDir, toleratedLosses } = this.settings;
    if (dataDir === undefined) return undefined;
    return new GroupNode({
      name: this.core.name,
      settings: groupSettings(dataDir, toleratedLosses),
      peers: this.core.mesh.controls,
      logger: this.logger,
      random,
      nowMs: this.nowMs,
      role: {
        firstGroup: FLEET_GROUP,
        createMachine: () => this.stateMachine,
        findCluster: (hello) => this.findCluster(hello),
        roleChanged: () => undefined,
        leaderTick: (host, nowMs) => {
          const command = this.storeLifecycle.clusterToForm(nowMs);
          if (command !== undefined) this.groups?.inBackground(host.propose(command));
        },
        housekeep: () => undefined,
      },
    });
  }

  /** Only the seeds of a fleet that starts for the first time may form its cluster. */
  private findCluster(hello: HelloAnswer): Promise<ClusterDocument | undefined> {
    const { isFounding, seeds, firstPeerPort, toleratedLosses } = this.settings;
    const founders = isFounding ? seedAddresses(seeds, firstPeerPort) : [];
    return findCluster({
      hello,
      peers: this.core.mesh.controls,
      bootstrapMembers: founders.map(({ name }) => name),
      sizes: { jobGroupCount: 0, voterCount: 2 * toleratedLosses + 1 },
      logger: this.logger,
      isStopped: () => this.stopped,
    });
  }

  /**
   * Schedules one push of all changes that are applied in the same iteration of the event loop: a
   * start applies the whole log. Processes that miss a push poll for changes anyway.
   */
  private schedulePush(): void {
    if (this.isPushDue) return;
    this.isPushDue = true;
    setImmediate(() => {
      this.isPushDue = false;
      this.pushChanges();
    });
  }

  private pushChanges(): void {
    const delta = this.stateMachine.state.deltaSince(this.pushedPosition);
    this.pushedPosition = delta.position;
    this.core.broadcast('fleetNews', delta);
  }

  private async onRequest(method: string, payload: unknown): Promise<unknown> {
    const answer = this.groups?.handle(method, payload);
    if (answer !== undefined) return answer;
    switch (method) {
      case 'fleetRefresh':
        return this.refresh(payload as RefreshRequest);
      case 'endpointDescriptions':
        return this.registry.withFingerprints(payload as number[], this.nowMs());
      case 'fleetState':
        return this.stateSince(payload as FleetPosition);
      case 'retire':
        return this.requireLeadingLifecycle(method).retire(payload as string);
      case 'retirement':
        return (await this.requireLeadingLifecycle(method).retirement(payload as string)) ?? null;
      case 'endpointRun':
        return this.registry.runOf(payload as string) ?? null;
      case 'streamOrigin':
        return this.origins.reply(payload as OriginRequest);
      case 'quotaAsk':
        return this.quotas.grant(payload as QuotaRequest);
      case 'fleetPropose':
        return this.requireFleetGroup(method).propose(payload);
      case 'fleetDelta':
        return this.currentDelta(payload as FleetPosition);
      case 'fleetDocument':
        await this.requireFleetGroup(method).confirmLeadership();
        return this.stateMachine.state.configurationDocument;
      default:
        throw this.core.unavailable(
          method,
          `${this.core.name} does not support the method ${method}`,
        );
    }
  }

  /** Returns the state known to this process, which may lag; not for linearizable reads. */
  private refresh(request: RefreshRequest): RefreshAnswer {
    const { epoch, cursor, maxHeartbeats = Infinity, wantsDigests = false } = request;
    const nowMs = this.nowMs();
    return {
      ...this.stateSince(request.position),
      endpoints: wantsDigests
        ? this.registry.digestsSince({ epoch, cursor }, nowMs, maxHeartbeats)
        : this.registry.since(epoch, cursor, nowMs, maxHeartbeats),
    };
  }

  private stateSince(position: FleetPosition): StateAnswer {
    const confirmedAgeMs = this.fleetGroup?.consensus.quorumContactAgeMs(this.nowMs());
    return {
      delta: this.stateMachine.state.deltaSince(position),
      ...(confirmedAgeMs === undefined ? {} : { confirmedAgeMs }),
    };
  }

  /**
   * Returns the members of the fleet group as stored on the disk of this process. A process that
   * restarts during a network partition has no other record of the members on the other side, and its
   * seeds may all be on its own side.
   */
  private coreMembers(): PeerAddress[] {
    const config = this.fleetGroup?.consensus.config;
    const members =
      config === undefined
        ? (this.groups?.cluster?.initialMembers ?? [])
        : [...config.voters, ...config.learners];
    return members.map((memberId) => peerAddressFromName(instanceOf(memberId)));
  }

  private get fleetGroup(): GroupHost | undefined {
    return this.groups?.hosts.get(FLEET_GROUP);
  }

  private async currentDelta(position: FleetPosition): Promise<FleetDelta> {
    await this.requireFleetGroup('fleetDelta').confirmLeadership();
    return this.stateMachine.state.deltaSince(position);
  }

  private requireLeadingLifecycle(step: string): StoreLifecycle {
    if (!this.requireFleetGroup(step).isLeader)
      throw this.core.unavailable(step, 'this process does not lead the fleet group');
    return this.storeLifecycle;
  }

  private requireFleetGroup(step: string): GroupHost {
    const host = this.fleetGroup;
    if (host === undefined)
      throw this.core.unavailable(step, 'this process has no member of the fleet group');
    return host;
  }

  private recordUsage(reports: readonly UsageReport[], link: Pick<Link, 'send'>): void {
    const near = this.quotas.recordUsage(reports);
    if (near.length > 0) link.send('quotaNear', near);
  }

  private onMessage(method: string, payload: unknown, link: Pick<Link, 'send'>): void {
    if (this.groups?.onMessage(method, payload, link) === true) return;
    if (method === 'quotaUse') this.recordUsage(payload as UsageReport[], link);
    if (method === 'streamOrigins') this.origins.record(payload as OriginRecord[]);
    if (method === 'streamOriginsInDoubt') this.origins.remove(payload as string[]);
    if (method !== 'heartbeats') return;
    for (const { heartbeat, ageMs } of payload as AgedHeartbeat[]) {
      this.origins.observe(heartbeat, ageMs);
      this.registry.record(heartbeat, ageMs, this.nowMs());
    }
  }
}

function controlRecord(settings: FleetSettings): { controlAddress?: string } {
  const { control } = settings.listeners;
  return control === undefined ? {} : { controlAddress: control };
}
