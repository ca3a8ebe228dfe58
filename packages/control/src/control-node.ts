/**
 * The control daemon: the table, orders and jobs of a fleet with listed peers.
 */
import type { ControlSettings, Settings } from '@shedline/config';
import type { ControlPort, ControlStatus } from '@shedline/control-client';
import type { Logger } from '@shedline/logger';
import { PeerConnections, PeerServer } from '@shedline/transport';
import { TABLE_GROUP } from '@shedline/types';
import { findCluster } from './cluster-finder.js';
import { ControlRequests } from './control-requests.js';
import { GroupNode } from './group-node.js';
import { JobDuties } from './job-duties.js';
import { JobGroup, TableGroup } from './state-machine.js';
import { TableDuties } from './table-duties.js';

/** Options of {@link ControlNode}. */
export interface ControlNodeOptions {
  readonly settings: Settings;
  readonly control: ControlSettings;
  readonly logger: Logger;
  readonly random?: () => number;
  /** Monotonic milliseconds. */
  readonly nowMs?: () => number;
}

/** One control instance. */
export class ControlNode {
  readonly port: ControlPort;
  private readonly settings: Settings;
  private readonly control: ControlSettings;
  private readonly logger: Logger;
  private readonly server: PeerServer;
  private readonly peers: PeerConnections;
  private readonly groups: GroupNode;
  private readonly jobDuties: JobDuties;
  private readonly tableDuties: TableDuties;
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
    this.jobDuties = new JobDuties({ control, inBackground });
    this.tableDuties = new TableDuties({ control, logger, nowMs, random, inBackground });
    this.peers = new PeerConnections({ name: settings.name, secret: settings.instanceSecret });
    this.groups = this.createGroups(random, nowMs);
    this.requests = new ControlRequests({
      instance: settings.name,
      hosts: this.groups.hosts,
      jobDuties: this.jobDuties,
      tableDuties: this.tableDuties,
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

  /** Opens the data folder, finds or forms the cluster and starts the groups. */
  async start(): Promise<void> {
    await this.groups.open();
    await this.server.listen(this.control.listenHost, this.control.listenPort);
    for (const peer of this.control.peers) this.peers.add(peer);
    await this.groups.join();
    this.logger.info('control ready', { memberId: this.groups.memberId, step: 'start' });
  }

  /** Hands leaderships over, then stops. */
  async stop(): Promise<void> {
    await this.groups.stop();
    this.peers.close();
    await this.server.close();
  }

  /** Ends at once, as a lost instance would; what is synced stays. */
  kill(): void {
    this.groups.kill();
    this.peers.close();
  }

  /** State of this instance. */
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
    const { settings, control, logger, peers, jobDuties, tableDuties } = this;
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
          jobDuties.roleChanged(host.group);
          if (host.machine instanceof TableGroup) {
            tableDuties.roleChanged(host, host.machine, memberId);
          }
        },
        leaderTick: (host, tickMs, intervalMs) => {
          const { machine } = host;
          if (machine instanceof JobGroup) jobDuties.tick(host, machine, tickMs, intervalMs);
          else tableDuties.tick(host, tickMs);
        },
        housekeep: (host) => {
          if (host.machine instanceof JobGroup) jobDuties.housekeep(host);
        },
      },
    });
  }

  private async onRequest(method: string, payload: unknown): Promise<unknown> {
    if (method === 'status') return this.status();
    return (await this.groups.answer(method, payload)) ?? this.requests.answer(method, payload);
  }
}
