/**
 * Control node: hosts the table, orders and jobs of a fleet whose peers are listed in its settings.
 */
import type { ControlSettings, Settings } from '@shedline/config';
import type { ControlPort, ControlStatus } from '@shedline/control-client';
import type { Logger } from '@shedline/logger';
import { PeerConnections, PeerServer } from '@shedline/transport';
import { TABLE_GROUP } from '@shedline/types';
import { findCluster } from './cluster-finder.js';
import { ControlRequests } from './control-requests.js';
import { GroupNode } from './group-node.js';
import { JobLeaderTasks } from './job-leader-tasks.js';
import { JobGroup, TableGroup } from './state-machine.js';
import { TableLeaderTasks } from './table-leader-tasks.js';

/** Options of {@link ControlNode}. */
export interface ControlNodeOptions {
  readonly settings: Settings;
  readonly control: ControlSettings;
  readonly logger: Logger;
  readonly random?: () => number;
  /** Returns monotonic time in milliseconds. */
  readonly nowMs?: () => number;
}

/** Control node of one instance. */
export class ControlNode {
  /** Port for callers in the same process. */
  readonly port: ControlPort;
  private readonly settings: Settings;
  private readonly control: ControlSettings;
  private readonly logger: Logger;
  private readonly server: PeerServer;
  private readonly peers: PeerConnections;
  private readonly groups: GroupNode;
  private readonly jobTasks: JobLeaderTasks;
  private readonly tableTasks: TableLeaderTasks;
  private readonly requests: ControlRequests;

  constructor(options: ControlNodeOptions) {
    const { settings, control, logger } = options;
    this.settings = settings;
    this.control = control;
    this.logger = logger;
    const random = options.random ?? Math.random;
    const nowMs = options.nowMs ?? (() => performance.now());
    const inBackground = (work: Promise<unknown>): void => {
      this.groups.inBackground(work);
    };
    this.jobTasks = new JobLeaderTasks({ control, inBackground });
    this.tableTasks = new TableLeaderTasks({ control, logger, nowMs, random, inBackground });
    this.peers = new PeerConnections({ name: settings.name, secret: settings.instanceSecret });
    this.groups = this.createGroups(random, nowMs);
    this.requests = new ControlRequests({
      instance: settings.name,
      hosts: this.groups.hosts,
      jobTasks: this.jobTasks,
      tableTasks: this.tableTasks,
      nowMs,
      groupCount: () => this.groups.cluster?.jobGroupCount,
    });
    this.server = new PeerServer({
      name: settings.name,
      secret: settings.instanceSecret,
      handlers: {
        onRequest: (method, payload) => this.onRequest(method, payload),
        onMessage: (method, payload) => {
          this.groups.onMessage(method, payload);
        },
      },
    });
    this.port = {
      name: settings.name,
      isReady: true,
      call: (method, payload) => this.onRequest(method, payload),
      close: () => undefined,
    };
  }

  /** Opens the data folder, finds or forms the cluster, and starts the groups. */
  async start(): Promise<void> {
    await this.groups.open();
    await this.server.listen(this.control.listenHost, this.control.listenPort);
    for (const peer of this.control.peers) this.peers.add(peer);
    await this.groups.join();
    this.logger.info('control node ready', { memberId: this.groups.memberId, step: 'start' });
  }

  /** Transfers leadership to other members, then stops. */
  async stop(): Promise<void> {
    await this.groups.stop();
    this.peers.close();
    await this.server.close();
  }

  /** Stops immediately, as in a crash; synced data stays on disk. */
  kill(): void {
    this.groups.kill();
    this.peers.close();
  }

  /** Returns the status of this instance and its groups. */
  status(): ControlStatus {
    return {
      instance: this.settings.name,
      memberId: this.groups.memberId,
      clusterId: this.groups.cluster?.clusterId ?? '',
      diskFailure: this.groups.diskFailure,
      syncs: this.groups.syncCount,
      memoryBytes: process.memoryUsage().rss,
      groups: this.groups.groupStatuses(),
    };
  }

  private createGroups(random: () => number, nowMs: () => number): GroupNode {
    const { settings, control, logger, peers, jobTasks, tableTasks } = this;
    const voterCount = Math.min(control.voterCount, control.peers.length);
    return new GroupNode({
      name: settings.name,
      settings: { ...control, voterCount },
      peers,
      logger,
      random,
      nowMs,
      role: {
        firstGroup: TABLE_GROUP,
        createMachine: (group, files) =>
          group === TABLE_GROUP ? new TableGroup() : new JobGroup(files),
        findCluster: (hello) =>
          findCluster({
            hello,
            peers,
            bootstrapMembers: control.bootstrapMembers,
            sizes: control,
            logger,
            isStopped: () => this.groups.isStopped,
          }),
        roleChanged: (host, memberId) => {
          jobTasks.roleChanged(host.group);
          if (host.machine instanceof TableGroup) {
            tableTasks.roleChanged(host, host.machine, memberId);
          }
        },
        leaderTick: (host, tickMs, intervalMs) => {
          const { machine } = host;
          if (machine instanceof JobGroup) jobTasks.tick(host, machine, tickMs, intervalMs);
          else tableTasks.tick(host, tickMs);
        },
        housekeep: (host) => {
          if (host.machine instanceof JobGroup) jobTasks.housekeep(host);
        },
      },
    });
  }

  private async onRequest(method: string, payload: unknown): Promise<unknown> {
    if (method === 'status') return this.status();
    return (await this.groups.handle(method, payload)) ?? this.requests.handle(method, payload);
  }
}
