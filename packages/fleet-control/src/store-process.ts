/**
 * The store process: replicates whole jobs in consensus groups and grants their items to entries.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { FleetSettings } from '@shedline/config';
import { LeaderCaller } from '@shedline/control-client';
import { GroupNode } from '@shedline/control';
import type { ClusterDocument, GroupHost } from '@shedline/control';
import { ShedlineError } from '@shedline/errors';
import type { FleetDelta } from '@shedline/fleet';
import type { Logger } from '@shedline/logger';
import { ProcessMetrics } from '@shedline/metrics';
import type { PeerConnections } from '@shedline/transport';
import type { WholeJobCommand } from '@shedline/whole-jobs';
import { FLEET_GROUP, WholeJobStateMachine } from './group-state-machines.js';
import { groupSettings } from './group-settings.js';
import { ProcessCore } from './process-core.js';
import { storesToConnect } from './store-peers.js';
import { JobRequests } from './job-requests.js';
import { JobRoutes } from './job-routes.js';
import { callPortsOf } from './peer-ports.js';
import type { JobEndedMessage } from './protocol.js';
import { StateReader } from './state-reader.js';

const FIRST_JOB_GROUP = 1;
/** Methods that propose a command to a job group. */
const PROPOSAL_METHODS: ReadonlySet<string> = new Set(['submitJob', 'commitRuns', 'endJob']);
const JOIN_RETRY_MS = 200;
/** Interval of polling the fleet state; changes are also pushed. */
const REFRESH_INTERVAL_MS = 1000;
const STATE_READ_TIMEOUT_MS = 1500;
/** Maximum wait for one control process before the next one is tried. */
const MAX_CONTROL_ATTEMPT_MS = 500;
/** Covers clock differences and readers that are slightly late. */
const RETENTION_MARGIN_MS = 30_000;

/** Options of {@link StoreProcess}. */
export interface StoreProcessOptions {
  readonly settings: FleetSettings;
  readonly logger: Logger;
  readonly random?: () => number;
  readonly nowMs?: () => number;
}

/** A request to the leader of a group. */
interface GroupRequest<T> {
  readonly group: number;
  readonly body: T;
}

/** Runs a store process; start it with {@link start}. */
export class StoreProcess {
  readonly core: ProcessCore;
  readonly metrics = new ProcessMetrics();
  private readonly settings: FleetSettings;
  private readonly logger: Logger;
  private readonly nowMs: () => number;
  private readonly stores: PeerConnections;
  private readonly groups: GroupNode;
  private readonly state: StateReader;
  private readonly controlCaller: LeaderCaller;
  private readonly requests: JobRequests;
  private readonly random: () => number;
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;

  constructor(options: StoreProcessOptions) {
    this.settings = options.settings;
    this.logger = options.logger;
    this.nowMs = options.nowMs ?? (() => performance.now());
    this.state = new StateReader(this.logger);
    this.core = new ProcessCore({
      kind: 'store',
      settings: this.settings,
      logger: this.logger,
      nowMs: this.nowMs,
      handlers: {
        onRequest: (method, payload) => this.onRequest(method, payload),
        onMessage: (method, payload, link) => {
          if (method === 'fleetNews') this.state.fleet.applyDelta(payload as FleetDelta);
          else this.groups.onMessage(method, payload, link);
        },
      },
      onMembersChange: () => {
        this.connectStores();
      },
    });
    this.stores = this.core.createPeerConnections({ silenceDetection: 'fast' });
    this.controlCaller = new LeaderCaller({
      ports: () => callPortsOf(this.core.mesh.controls),
      maxAttemptMs: MAX_CONTROL_ATTEMPT_MS,
    });
    this.requests = new JobRequests({
      nowMs: this.nowMs,
      metrics: this.metrics,
      logger: this.logger,
      routes: new JobRoutes(this.state.fleet),
      readNewestConfiguration: () => this.readNewestState(),
      unavailable: (step, message, leader) => this.core.unavailable(step, message, leader),
    });
    this.random = options.random ?? Math.random;
    this.groups = this.createGroups();
    this.addGauges();
  }

  /** Joins the store cluster. */
  async start(): Promise<void> {
    await this.groups.open();
    await this.core.listen();
    this.core.mesh.update({
      memberId: this.groups.memberId,
      isFounding: this.settings.isFounding,
    });
    this.core.start();
    await this.groups.join();
    this.timer = setInterval(() => {
      this.refresh();
      this.announceGroups();
    }, REFRESH_INTERVAL_MS);
    this.core.mesh.setState('ready');
    this.logger.info('store process ready', { step: 'start' });
  }

  /** Transfers leaderships to other members, then stops. */
  async stop(): Promise<void> {
    this.stopped = true;
    clearInterval(this.timer);
    this.core.mesh.setState('draining');
    await this.groups.stop();
    this.stores.close();
    await this.core.stop();
  }

  private createGroups(): GroupNode {
    const { dataDir, toleratedLosses } = this.settings;
    if (dataDir === undefined) {
      const message = 'dataDir: a store needs a directory for its state';
      throw new ShedlineError({ type: 'invalid_request', message, step: 'read settings' });
    }
    return new GroupNode({
      name: this.core.name,
      settings: groupSettings(dataDir, toleratedLosses),
      peers: this.stores,
      wantsPresenceReplies: true,
      logger: this.logger,
      random: this.random,
      nowMs: this.nowMs,
      role: {
        firstGroup: FIRST_JOB_GROUP,
        createMachine: (group, files) =>
          new WholeJobStateMachine(files, (command) => {
            this.applied(group, command);
          }),
        findCluster: () => this.findCluster(),
        roleChanged: (host) => {
          if (host.isLeader) this.requests.becameLeader(host.group);
          this.announceGroups();
        },
        leaderTick: (host) => {
          const { machine } = host;
          if (!(machine instanceof WholeJobStateMachine)) return;
          this.requests.removeExpiredLeases(host.group, machine);
          this.groups.inBackground(this.requests.endItemsWithoutRoute(host, machine));
        },
        isRetiring: (store) => this.state.fleet.isRetiring(store),
        housekeep: (host) => {
          this.removeExpiredJobs(host);
        },
      },
    });
  }

  /** Waits until a control process reports which stores formed the cluster. */
  private async findCluster(): Promise<ClusterDocument | undefined> {
    while (!this.stopped) {
      for (const control of this.core.mesh.controls.ready) {
        await this.state.readFrom(control);
        if (this.state.fleet.storeCluster !== undefined) return this.state.fleet.storeCluster;
      }
      await pause(JOIN_RETRY_MS);
    }
    return undefined;
  }

  /** Reads the changes that were pushed while no connection was up. */
  private refresh(): void {
    const ready = this.core.mesh.controls.ready;
    const control = ready[Math.floor(this.random() * ready.length)];
    if (control !== undefined) void this.state.readFrom(control);
  }

  /** Reads the state through the quorum of the fleet group, so that no acknowledged change is missing. */
  private async readNewestState(): Promise<void> {
    const { position } = this.state.fleet;
    const read = this.controlCaller.call(
      'fleetDelta',
      FLEET_GROUP,
      position,
      STATE_READ_TIMEOUT_MS,
    );
    this.state.fleet.applyDelta((await read) as FleetDelta);
  }

  /** Announces the groups that this store holds and leads, by which entries find them. */
  private announceGroups(): void {
    const hosts = [...this.groups.hosts.values()];
    const { memberId } = this.groups;
    const held = hosts.filter(({ consensus }) => consensus.config.voters.includes(memberId));
    const holds = held.map(({ group }) => group).sort();
    const leads = held.filter(({ isLeader }) => isLeader).map(({ group }) => group);
    const { self } = this.core.mesh;
    const announced = `${self.holds?.join()}|${self.leads?.join()}`;
    if (announced !== `${holds.join()}|${leads.join()}`) this.core.mesh.update({ holds, leads });
  }

  private connectStores(): void {
    const groups = [...this.groups.hosts.values()].map((host) => host.consensus.config);
    const peers = storesToConnect(this.core.mesh.live('store'), groups);
    for (const store of peers) this.stores.add(store);
    this.stores.keepOnly(new Set(peers.map(({ name }) => name)));
  }

  private removeExpiredJobs(host: GroupHost): void {
    const retentionMs = this.settings.jobRetentionS * 1000 + RETENTION_MARGIN_MS;
    this.groups.inBackground(host.propose({ type: 'sweep', atMs: Date.now(), retentionMs }));
  }

  /** Resumes the readers of jobs that a command changed, and notifies entries of ended jobs. */
  private applied(group: number, command: WholeJobCommand): void {
    if (command.type === 'commitRuns') this.requests.runsCommitted(group, command);
    if (command.type !== 'endJob') return;
    this.requests.resumeReaders(command.jobId);
    if (this.groups.hosts.get(group)?.isLeader !== true) return;
    this.core.broadcast('jobEnded', { jobId: command.jobId } satisfies JobEndedMessage);
  }

  private async onRequest(method: string, payload: unknown): Promise<unknown> {
    const answer = this.groups.handle(method, payload);
    if (answer !== undefined) return answer;
    if (method === 'groupStatuses') return this.groups.groupStatuses();
    const { group, body } = payload as GroupRequest<unknown>;
    const host = this.groups.hosts.get(group);
    if (host === undefined || !(host.machine instanceof WholeJobStateMachine)) {
      throw this.core.unavailable(method, `group ${group} is not open here`);
    }
    if (PROPOSAL_METHODS.has(method)) return this.propose(host, method, body);
    const handled = this.requests.handle(method, host, host.machine, body);
    if (handled !== undefined) return handled;
    throw this.core.unavailable(method, `${this.core.name} does not support the method ${method}`);
  }

  private async propose(host: GroupHost, method: string, body: unknown): Promise<unknown> {
    const startMs = this.nowMs();
    let outcome = 'failed';
    try {
      const command = { ...(body as object), type: method, atMs: Date.now() };
      const answer = await host.propose(command);
      outcome = 'complete';
      return answer;
    } finally {
      this.metrics.count('shedline_commands_total', { method, outcome });
      this.metrics.recordDuration(
        'shedline_command_milliseconds',
        { method },
        this.nowMs() - startMs,
      );
    }
  }

  /** Sums a number of items over the groups that this store leads. */
  private ledItems(count: (host: GroupHost) => number): number {
    const led = [...this.groups.hosts.values()].filter(({ isLeader }) => isLeader);
    return led.reduce((sum, host) => sum + count(host), 0);
  }

  private addGauges(): void {
    this.metrics.gauge('shedline_groups_led', () => this.groups.ledGroups().length);
    this.metrics.gauge('shedline_rebuilding_groups', () => this.groups.rebuildingGroups().length);
    this.metrics.gauge('shedline_unfinished_items', () => this.ledItems(unfinishedItems));
    this.metrics.gauge('shedline_leased_items', () =>
      this.ledItems((host) => this.requests.leasedItems(host.group)),
    );
    this.metrics.gauge('shedline_syncs', () => this.groups.syncCount);
    this.metrics.gauge('shedline_disk_refuses_writes', () =>
      this.groups.diskFailure === '' ? 0 : 1,
    );
  }
}

/** Number of items of a group that are owed a result. */
function unfinishedItems({ machine }: GroupHost): number {
  if (!(machine instanceof WholeJobStateMachine)) return 0;
  let count = 0;
  for (const job of machine.jobs.all) if (job.isOpen) count += job.total - job.resultCount;
  return count;
}
