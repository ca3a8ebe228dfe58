/**
 * The control process of a fleet that finds its members itself. With a disk it is a member of
 * the fleet group; without one it passes questions and commands on to those that are.
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
import { EndpointMemory } from './endpoint-memory.js';
import type { QuotaRequest, UsageReport } from '@shedline/quota';
import { FleetGroup, FLEET_GROUP } from './machines.js';
import { groupSettings } from './group-settings.js';
import { HeartbeatOutbox } from './heartbeat-outbox.js';
import { portsOf } from './peer-ports.js';
import { peerAddressFromName, seedAddresses } from './ports.js';
import { ProcessCore } from './process-core.js';
import { StoreLifecycle } from './store-lifecycle.js';
import { QuotaCounter } from './quota-counter.js';
import { quotaTolerance } from './quota-settings.js';
import type { RetireOutcome, RetireProgress } from './store-lifecycle.js';
import type { RefreshAnswer, RefreshRequest, StateAnswer } from './protocol.js';

/** Operators and endpoints wait a second; an answer must come before that. */
const CALL_TIMEOUT_MS = 850;
/** Longest wait for one process while looking for the leader. */
const MAX_ATTEMPT_MS = 400;
const FORGET_INTERVAL_MS = 5000;

/** Options of {@link ControlProcess}. */
export interface ControlProcessOptions {
  readonly settings: FleetSettings;
  readonly logger: Logger;
  readonly random?: () => number;
  readonly nowMs?: () => number;
}

/** Answer to a configuration that was put. */
export interface PutAnswer {
  readonly outcome: 'stored' | 'held' | 'invalid';
  readonly message: string;
}

/** One control process. */
export class ControlProcess {
  readonly core: ProcessCore;
  readonly metrics = new ProcessMetrics();
  private readonly settings: FleetSettings;
  private readonly logger: Logger;
  private readonly nowMs: () => number;
  private readonly registry: EndpointRegistry;
  private readonly outbox: HeartbeatOutbox;
  private readonly memory: EndpointMemory | undefined;
  private readonly groups: GroupNode | undefined;
  private readonly machine: FleetGroup;
  private readonly caller: LeaderCaller;
  private readonly quotas: QuotaCounter;
  /** Formation and retirement of stores. */
  readonly storeLifecycle: StoreLifecycle;
  /** Connections to the stores, made when one of them retires. */
  private readonly stores: PeerConnections;
  private pushed: FleetPosition = { version: -1, leaveCount: 0 };
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
    this.outbox = this.createOutbox();
    this.memory = this.createMemory();
    this.machine = new FleetGroup(() => {
      this.pushSoon();
    });
    this.storeLifecycle = new StoreLifecycle({
      state: this.machine.state,
      toleratedLosses: this.settings.toleratedLosses,
      logger: this.logger,
      liveStores: () => this.core.mesh.live('store'),
      stores: this.stores,
      propose: (command) => this.propose(command),
    });
    this.groups = this.createGroups(options.random ?? Math.random);
    this.caller = new LeaderCaller({ ports: () => this.ports(), maxAttemptMs: MAX_ATTEMPT_MS });
    this.quotas = this.createQuotas();
    this.addGauges();
  }

  /** Joins the fleet, or forms it with the other seeds. */
  async start(): Promise<void> {
    await this.groups?.open();
    await this.memory?.restore();
    this.memory?.start();
    await this.core.listen();
    if (this.groups !== undefined) this.core.mesh.update({ memberId: this.groups.memberId });
    this.core.start();
    this.quotas.start();
    this.timer = setInterval(() => {
      this.registry.forgetSilent(this.nowMs());
    }, FORGET_INTERVAL_MS);
    await this.groups?.join();
    this.core.mesh.setState('ready');
    this.logger.info('control process ready', { step: 'start' });
  }

  /** Hands leaderships over, then ends. */
  async stop(): Promise<void> {
    this.stopped = true;
    this.core.mesh.setState('draining');
    await this.groups?.stop();
    this.memory?.stop();
    this.outbox.close();
    this.quotas.stop();
    clearInterval(this.timer);
    this.stores.close();
    await this.core.stop();
  }

  /** Puts a configuration in force; `document` is its text as sent. */
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

  /** The configuration in force, as of a moment after the question; empty where there is none. */
  async readDocument(): Promise<string> {
    return (await this.callLeader('fleetDocument', {})) as string;
  }

  /** Takes a heartbeat of an endpoint and passes it on. */
  takeHeartbeat(heartbeat: EndpointHeartbeat): void {
    const known = this.registry.runOf(heartbeat.endpointId);
    const isNew = known?.startedAtMs !== heartbeat.startedAtMs;
    if (!this.registry.hear(heartbeat, 0, this.nowMs())) return;
    // Others ask for what is known at short intervals; only news is worth a message to each.
    this.outbox.add(heartbeat, isNew);
  }

  /** Records that a run of an endpoint leaves; resolves once a quorum holds the record. */
  async takeLeave({ endpointId, startedAtMs }: EndpointRun): Promise<void> {
    if (this.machine.state.isLeaving({ endpointId, startedAtMs })) return;
    const answer = await this.propose({ type: 'recordLeave', endpointId, startedAtMs });
    this.logger.info('endpoint leaves', {
      step: 'leave',
      endpoint: runIdOf({ endpointId, startedAtMs }),
      outcome: answer.outcome,
    });
  }

  /**
   * The latest run of an endpoint that was heard of here, or else at another control process: one
   * that has just started may be told of a leave before it hears a heartbeat.
   */
  async runOf(endpointId: string): Promise<EndpointRun> {
    const known = this.registry.runOf(endpointId);
    if (known !== undefined) return known;
    const asked = this.core.mesh.controls.ready.map(async (control) => {
      try {
        const answer = await control.request('endpointRun', endpointId, MAX_ATTEMPT_MS);
        return answer as EndpointRun | null;
      } catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        this.logger.debug('run not known', { step: 'leave', peer: control.peerName, reason });
        return null;
      }
    });
    const runs = (await Promise.all(asked)).flatMap((run) => run ?? []);
    const unknownStart = { endpointId, startedAtMs: UNKNOWN_START_MS };
    return runs.reduce(
      (last, run) => (run.startedAtMs > last.startedAtMs ? run : last),
      unknownStart,
    );
  }

  /** Has the store of an instance emptied; see {@link StoreLifecycle.retire}. */
  retire(instance: string): Promise<RetireOutcome> {
    if (this.groups !== undefined) return this.storeLifecycle.retire(instance);
    return this.callLeader('retire', instance) as Promise<RetireOutcome>;
  }

  /**
   * How far the emptying of a store is; undefined where none was asked for. A process without a disk
   * does not know what was asked for: it answered that nothing was.
   */
  async retirement(instance: string): Promise<RetireProgress | undefined> {
    if (this.groups !== undefined) return this.storeLifecycle.retirement(instance);
    return ((await this.callLeader('retirement', instance)) as RetireProgress | null) ?? undefined;
  }

  private propose(command: FleetCommand): Promise<FleetAnswer> {
    return this.callLeader('fleetPropose', command) as Promise<FleetAnswer>;
  }

  private async callLeader(method: string, payload: unknown): Promise<unknown> {
    const beganMs = this.nowMs();
    let outcome = 'failed';
    try {
      const answer = await this.caller.call(method, FLEET_GROUP, payload, CALL_TIMEOUT_MS);
      outcome = 'complete';
      return answer;
    } finally {
      this.metrics.count('shedline_leader_calls_total', { method, outcome });
      this.metrics.took('shedline_leader_call_milliseconds', { method }, this.nowMs() - beganMs);
    }
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
    const { state } = this.machine;
    this.metrics.gauge('shedline_configuration_version', () => state.position.version);
    this.metrics.gauge('shedline_leave_records', () => state.position.leaveCount);
    this.metrics.gauge('shedline_groups_led', () => this.groups?.leading().length ?? 0);
    this.metrics.gauge('shedline_silent_control_processes', () => this.core.mesh.silentCore.length);
    this.metrics.gauge('shedline_live_entries', () => this.core.mesh.live('entry').length);
    this.metrics.gauge('shedline_live_stores', () => this.core.mesh.live('store').length);
  }

  /** Processes that may lead the fleet group; this one first. */
  private ports(): CallPort[] {
    const remote = portsOf(this.core.mesh.controls);
    if (this.groups === undefined) return remote;
    const own: CallPort = {
      name: this.core.name,
      isReady: true,
      call: (method, payload) => this.onRequest(method, payload),
    };
    return [own, ...remote];
  }

  private createOutbox(): HeartbeatOutbox {
    return new HeartbeatOutbox({
      nowMs: this.nowMs,
      tellControls: (heartbeats) => {
        for (const control of this.core.mesh.controls.ready) control.send('heartbeats', heartbeats);
      },
      tellAll: (heartbeats) => {
        this.core.broadcast('heartbeats', heartbeats);
      },
    });
  }

  private createMemory(): EndpointMemory | undefined {
    const { dataDir, heartbeatMs } = this.settings;
    if (dataDir === undefined) return undefined;
    const { registry, logger, nowMs } = this;
    return new EndpointMemory({ dataDir, registry, heartbeatMs, logger, nowMs });
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
        createMachine: () => this.machine,
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
   * Tells the connected processes what is new, once for all that is applied in one turn: a start
   * applies the whole log. They ask again later in any case.
   */
  private pushSoon(): void {
    if (this.isPushDue) return;
    this.isPushDue = true;
    setImmediate(() => {
      this.isPushDue = false;
      this.pushChanges();
    });
  }

  private pushChanges(): void {
    const delta = this.machine.state.deltaSince(this.pushed);
    this.pushed = delta.position;
    this.core.broadcast('fleetNews', delta);
  }

  private async onRequest(method: string, payload: unknown): Promise<unknown> {
    const answer = this.groups?.answer(method, payload);
    if (answer !== undefined) return answer;
    switch (method) {
      case 'fleetRefresh':
        return this.refresh(payload as RefreshRequest);
      case 'fleetState':
        return this.stateSince(payload as FleetPosition);
      case 'retire':
        return this.leaderStoreLifecycle(method).retire(payload as string);
      case 'retirement':
        return (await this.leaderStoreLifecycle(method).retirement(payload as string)) ?? null;
      case 'endpointRun':
        return this.registry.runOf(payload as string) ?? null;
      case 'quotaAsk':
        return this.quotas.answer(payload as QuotaRequest);
      case 'fleetPropose':
        return this.leader(method).propose(payload);
      case 'fleetDelta':
        return this.currentDelta(payload as FleetPosition);
      case 'fleetDocument':
        await this.leader(method).confirmLeadership();
        return this.machine.state.configurationDocument;
      default:
        throw this.core.unavailable(method, `${this.core.name} answers no ${method}`);
    }
  }

  /** What this process knows, which may lag; never asked for where it must be current. */
  private refresh(request: RefreshRequest): RefreshAnswer {
    return {
      ...this.stateSince(request.position),
      endpoints: this.registry.since(request.epoch, request.cursor, this.nowMs()),
    };
  }

  private stateSince(position: FleetPosition): StateAnswer {
    const confirmedAgeMs = this.fleetGroup?.consensus.contactAgeMs(this.nowMs());
    return {
      delta: this.machine.state.deltaSince(position),
      ...(confirmedAgeMs === undefined ? {} : { confirmedAgeMs }),
    };
  }

  /**
   * The members of the fleet group as they stand on the disk here: one that starts again behind a cut has heard
   * of nobody yet, and its seeds may all stand on its own side.
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
    await this.leader('fleetDelta').confirmLeadership();
    return this.machine.state.deltaSince(position);
  }

  private leaderStoreLifecycle(step: string): StoreLifecycle {
    if (!this.leader(step).isLeading) throw this.core.unavailable(step, 'does not lead');
    return this.storeLifecycle;
  }

  private leader(step: string): GroupHost {
    const host = this.fleetGroup;
    if (host === undefined) throw this.core.unavailable(step, 'this process holds no group');
    return host;
  }

  private takeUsage(reports: readonly UsageReport[], link: Pick<Link, 'send'>): void {
    const near = this.quotas.take(reports);
    if (near.length > 0) link.send('quotaNear', near);
  }

  private onMessage(method: string, payload: unknown, link: Pick<Link, 'send'>): void {
    if (this.groups?.onMessage(method, payload) === true) return;
    if (method === 'quotaUse') this.takeUsage(payload as UsageReport[], link);
    if (method !== 'heartbeats') return;
    for (const { heartbeat, ageMs } of payload as AgedHeartbeat[]) {
      this.registry.hear(heartbeat, ageMs, this.nowMs());
    }
  }
}

function controlRecord(settings: FleetSettings): { controlAddress?: string } {
  const { control } = settings.listeners;
  return control === undefined ? {} : { controlAddress: control };
}
