/**
 * The control daemon: hosts the members of the log groups of one instance.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { mkdirSync } from 'node:fs';
import { join } from 'node:path';
import { Consensus, instanceOf } from '@shedline/consensus';
import type { ControlSettings, Settings } from '@shedline/config';
import type { ControlPort, ControlStatus } from '@shedline/control-client';
import type { ShedlineError } from '@shedline/errors';
import type { Logger } from '@shedline/logger';
import { DiskItemFiles, NodeFileSystem, Storage, lockFolder } from '@shedline/storage';
import type { RecoveredGroup, ReleaseLock } from '@shedline/storage';
import { PeerClient, PeerServer } from '@shedline/transport';
import { TABLE_GROUP } from '@shedline/types';
import type { HelloAnswer } from './bootstrap.js';
import { findCluster } from './cluster-finder.js';
import { ControlRequests } from './control-requests.js';
import { GroupHost } from './group-host.js';
import { initialConfig, loadCluster, loadMemberId, saveCluster } from './identity.js';
import type { ClusterDocument } from './identity.js';
import { JobDuties } from './job-duties.js';
import { repairMembers, spreadLeader } from './member-duties.js';
import type { MemberDutiesOptions } from './member-duties.js';
import { MemberMailbox, detached } from './member-mailbox.js';
import type { ConsensusBatch } from './member-mailbox.js';
import { SnapshotExchange } from './snapshot-exchange.js';
import { JobGroup, TableGroup } from './state-machine.js';
import type { GroupStateMachine } from './state-machine.js';
import { TableDuties } from './table-duties.js';

const TICK_MS = 50;
const PRESENCE_INTERVAL_MS = 500;
const PRESENCE_LEASE_MS = 3000;
const DUTY_INTERVAL_MS = 500;
const HOUSEKEEP_INTERVAL_MS = 10_000;
const SPREAD_INTERVAL_MS = 5000;
const TRANSFER_WAIT_MS = 1500;
const MAX_WAL_SEGMENTS = 6;

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
  private readonly random: () => number;
  private readonly nowMs: () => number;
  private readonly server: PeerServer;
  private readonly peers = new Map<string, PeerClient>();
  private readonly hosts = new Map<number, GroupHost>();
  private readonly presence = new Map<string, { memberId: string; heardAtMs: number }>();
  private readonly mailbox: MemberMailbox;
  private readonly snapshots: SnapshotExchange;
  private readonly jobDuties: JobDuties;
  private readonly tableDuties: TableDuties;
  private readonly requests: ControlRequests;
  private readonly itemFiles = new Map<number, DiskItemFiles>();
  private recovered: ReadonlyMap<number, RecoveredGroup> = new Map();
  private storage: Storage | undefined;
  private releaseLock: ReleaseLock | undefined;
  private memberId = '';
  private cluster: ClusterDocument | undefined;
  private timers: NodeJS.Timeout[] = [];
  private stopped = false;

  constructor(options: ControlNodeOptions) {
    this.settings = options.settings;
    this.control = options.control;
    this.logger = options.logger;
    this.random = options.random ?? Math.random;
    this.nowMs = options.nowMs ?? (() => performance.now());
    const peer = (instance: string): PeerClient | undefined => this.peers.get(instance);
    const inBackground = (work: Promise<unknown>): void => {
      this.inBackground(work);
    };
    const { control, logger, nowMs, random } = this;
    this.mailbox = new MemberMailbox(peer);
    this.jobDuties = new JobDuties({ control, inBackground });
    this.tableDuties = new TableDuties({ control, logger, nowMs, random, inBackground });
    this.requests = new ControlRequests({
      instance: this.settings.name,
      hosts: this.hosts,
      jobDuties: this.jobDuties,
      tableDuties: this.tableDuties,
      filesOf: (group) => this.filesOf(group),
      nowMs,
      groupCount: () => (this.stopped ? undefined : this.cluster?.jobGroupCount),
    });
    this.snapshots = new SnapshotExchange({
      logger,
      nowMs,
      peer,
      hostFor: (group) => this.hosts.get(group) ?? this.openGroup(group),
      filesOf: (group) => this.filesOf(group),
      isStopped: () => this.stopped,
    });
    this.server = new PeerServer({
      name: this.settings.name,
      secret: this.settings.instanceSecret,
      handlers: {
        onRequest: (method, payload) => this.onRequest(method, payload),
        onMessage: (method, payload) => {
          this.onMessage(method, payload);
        },
      },
    });
    this.port = {
      name: this.settings.name,
      isReady: true,
      call: (method, payload) => this.onRequest(method, payload),
      close: () => undefined,
    };
  }

  /** Opens the data folder, finds or forms the cluster and starts the groups. */
  async start(): Promise<void> {
    const files = new NodeFileSystem(this.control.dataDir);
    await files.prepare();
    this.releaseLock = await lockFolder(this.control.dataDir);
    const storage = await Storage.open({
      files,
      onHealth: (failure) => {
        this.noteDisk(failure);
      },
    });
    this.storage = storage;
    this.memberId = await loadMemberId(storage, this.settings.name);
    this.cluster = await loadCluster(storage);
    this.recovered = storage.takeRecovered();
    await this.server.listen(this.control.listenHost, this.control.listenPort);
    this.connectPeers();
    this.cluster ??= await this.joinCluster(storage);
    if (this.cluster === undefined) return;
    this.openGroups(this.cluster);
    this.startTimers();
    this.logger.info('control ready', { memberId: this.memberId, step: 'start' });
  }

  /** Hands leaderships over, then stops. */
  async stop(): Promise<void> {
    // Still answering its peers: a transfer needs their replies.
    await this.handOver();
    this.kill();
    await this.server.close();
    await this.storage?.close();
    await this.releaseLock?.();
    for (const files of this.itemFiles.values()) files.closeAll();
  }

  /** Ends at once, as a lost instance would; what is synced stays. */
  kill(): void {
    this.stopped = true;
    for (const timer of this.timers) clearInterval(timer);
    this.timers = [];
    for (const host of this.hosts.values()) host.close();
    for (const peer of this.peers.values()) peer.close();
  }

  /** State of this instance. */
  status(): ControlStatus {
    const groups = [...this.hosts.values()].map((host) => ({
      group: host.group,
      role: host.consensus.role,
      leader: instanceOf(host.consensus.leaderId),
      term: host.consensus.currentTerm,
      commitIndex: host.consensus.commitIndex,
      appliedIndex: host.appliedIndex,
      voters: host.consensus.config.voters,
      learners: host.consensus.config.learners,
    }));
    return {
      instance: this.settings.name,
      memberId: this.memberId,
      clusterId: this.cluster?.clusterId ?? '',
      diskFailure: this.storage?.health?.message ?? '',
      syncs: this.storage?.counters.syncs ?? 0,
      memoryBytes: process.memoryUsage().rss,
      groups,
    };
  }

  private noteDisk(failure: ShedlineError | undefined): void {
    if (failure === undefined) this.logger.info('disk takes writes again', { step: 'sync' });
    else this.logger.error('disk refuses writes', { step: 'sync', reason: failure.message });
  }

  private connectPeers(): void {
    for (const peer of this.control.peers) {
      if (peer.name === this.settings.name) continue;
      const client = new PeerClient({
        name: this.settings.name,
        peerName: peer.name,
        secret: this.settings.instanceSecret,
        url: `ws://${peer.host}:${peer.port}`,
      });
      this.peers.set(peer.name, client);
    }
  }

  private async joinCluster(storage: Storage): Promise<ClusterDocument | undefined> {
    const { peers, control, logger } = this;
    const isStopped = (): boolean => this.stopped;
    const cluster = await findCluster({ hello: this.hello(), peers, control, logger, isStopped });
    if (cluster !== undefined) await saveCluster(storage, cluster);
    return cluster;
  }

  private hello(): HelloAnswer {
    return { instance: this.settings.name, memberId: this.memberId, cluster: this.cluster };
  }

  private openGroups(cluster: ClusterDocument): void {
    for (let group = TABLE_GROUP; group <= cluster.jobGroupCount; group += 1) {
      const config = initialConfig(cluster, group, this.memberId);
      const known = this.recovered.has(group) || config.voters.includes(this.memberId);
      if (known) this.openGroup(group);
    }
  }

  /** Opens a group from what is synced, or empty where the instance joins it. */
  private openGroup(group: number): GroupHost | undefined {
    const { cluster, storage } = this;
    if (cluster === undefined || storage === undefined || this.stopped) return undefined;
    if (group > cluster.jobGroupCount) return undefined;
    const recovered = this.recovered.get(group);
    const snapshot = recovered?.snapshot;
    const machine = this.createMachine(group);
    const hasSnapshot = snapshot !== undefined && snapshot.position.index > 0;
    if (hasSnapshot) machine.restore(snapshot.state);
    const position = hasSnapshot
      ? snapshot.position
      : { index: 0, term: 0, config: initialConfig(cluster, group, this.memberId) };
    const consensus = new Consensus({
      memberId: this.memberId,
      random: this.random,
      nowMs: this.nowMs(),
      snapshot: position,
      entries: recovered?.entries ?? [],
      electionTimeoutMs: this.control.electionTimeoutMs,
      heartbeatIntervalMs: this.control.heartbeatIntervalMs,
      ...(recovered === undefined ? {} : { hardState: recovered.hardState }),
    });
    const host = new GroupHost({
      group,
      consensus,
      machine,
      storage,
      itemFiles: this.filesOf(group),
      logger: this.logger,
      appliedIndex: position.index,
      snapshotAfterBytes: this.control.snapshotAfterBytes,
      send: (from, message) => {
        this.mailbox.add(from, message);
      },
      offerSnapshot: (from, memberId) => {
        this.snapshots.offer(from, memberId, this.memberId);
      },
      onRoleChange: (changed, leading) => {
        this.onRoleChange(changed, leading);
      },
    });
    this.hosts.set(group, host);
    return host;
  }

  private createMachine(group: number): GroupStateMachine {
    return group === TABLE_GROUP ? new TableGroup() : new JobGroup(this.filesOf(group));
  }

  private filesOf(group: number): DiskItemFiles {
    const known = this.itemFiles.get(group);
    if (known !== undefined) return known;
    const folder = join(this.control.dataDir, `items-${group}`);
    mkdirSync(folder, { recursive: true });
    const files = new DiskItemFiles(folder);
    this.itemFiles.set(group, files);
    return files;
  }

  private startTimers(): void {
    this.every(TICK_MS, () => {
      this.tick();
    });
    this.every(PRESENCE_INTERVAL_MS, () => {
      this.announcePresence();
    });
    this.every(DUTY_INTERVAL_MS, () => {
      this.leaderDuties();
    });
    this.every(HOUSEKEEP_INTERVAL_MS, () => {
      this.housekeep();
    });
    this.every(SPREAD_INTERVAL_MS, () => {
      this.spreadLeaders();
    });
    this.announcePresence();
  }

  private every(intervalMs: number, work: () => void): void {
    this.timers.push(setInterval(work, intervalMs));
  }

  private tick(): void {
    const nowMs = this.nowMs();
    for (const host of this.hosts.values()) host.tick(nowMs);
  }

  private announcePresence(): void {
    const message = {
      instance: this.settings.name,
      memberId: this.memberId,
      clusterId: this.cluster?.clusterId,
    };
    for (const peer of this.peers.values()) peer.send('presence', message);
    this.presence.set(this.settings.name, { memberId: this.memberId, heardAtMs: this.nowMs() });
  }

  /** Identities of the control instances that are up. */
  private liveIds(): string[] {
    const nowMs = this.nowMs();
    const live = [...this.presence.values()].filter(
      (entry) => nowMs - entry.heardAtMs < PRESENCE_LEASE_MS,
    );
    return live.map((entry) => entry.memberId);
  }

  private leaderDuties(): void {
    const nowMs = this.nowMs();
    for (const host of this.leading()) {
      repairMembers(this.dutiesOf(host));
      const { machine } = host;
      if (machine instanceof JobGroup) this.jobDuties.tick(host, machine, nowMs, DUTY_INTERVAL_MS);
      else this.tableDuties.tick(host, nowMs);
    }
    this.relieveWal();
  }

  private leading(): GroupHost[] {
    return [...this.hosts.values()].filter((host) => host.isLeading);
  }

  private dutiesOf(host: GroupHost): MemberDutiesOptions {
    const { memberId, control, logger } = this;
    return { host, memberId, liveIds: this.liveIds(), control, logger };
  }

  private relieveWal(): void {
    const storage = this.storage;
    if (storage === undefined || storage.segmentCount <= MAX_WAL_SEGMENTS) return;
    for (const group of storage.groupsHoldingOldest()) {
      this.inBackground(this.hosts.get(group)?.takeSnapshot() ?? Promise.resolve());
    }
  }

  private housekeep(): void {
    for (const host of this.leading()) {
      if (host.machine instanceof JobGroup) this.jobDuties.housekeep(host);
    }
  }

  private spreadLeaders(): void {
    for (const host of this.leading()) spreadLeader(this.dutiesOf(host), this.nowMs());
  }

  private async handOver(): Promise<void> {
    const others = this.leading().filter((host) => host.consensus.config.voters.length > 1);
    for (const host of others) host.transferLeadership(this.nowMs());
    const deadlineMs = this.nowMs() + TRANSFER_WAIT_MS;
    while (others.some((host) => host.isLeading) && this.nowMs() < deadlineMs) {
      await pause(TICK_MS);
    }
  }

  private onRoleChange(host: GroupHost, leading: boolean): void {
    const { group, machine } = host;
    this.logger.info(leading ? 'leads group' : 'follows in group', { group, step: 'election' });
    this.jobDuties.roleChanged(group);
    if (machine instanceof TableGroup) this.tableDuties.roleChanged(host, machine, this.memberId);
  }

  private onMessage(method: string, payload: unknown): void {
    if (this.stopped) return;
    if (method === 'presence') this.onPresence(payload);
    if (method === 'consensus') this.onConsensus(payload as ConsensusBatch);
    if (method === 'snapshotOffer') {
      const { group, leaderId } = payload as { group: number; leaderId: string };
      this.inBackground(this.snapshots.copy(group, leaderId, this.memberId));
    }
    if (method === 'snapshotDone') {
      const { group, memberId } = payload as { group: number; memberId: string };
      this.snapshots.done(group, memberId);
    }
  }

  private onPresence(payload: unknown): void {
    const { instance, memberId, clusterId } = payload as {
      instance: string;
      memberId: string;
      clusterId: string | undefined;
    };
    // An instance that still looks for its cluster belongs to none yet.
    if (clusterId === undefined || this.cluster === undefined) return;
    if (clusterId !== this.cluster.clusterId) {
      this.logger.error('peer belongs to another cluster', { peer: instance, step: 'presence' });
      return;
    }
    this.presence.set(instance, { memberId, heardAtMs: this.nowMs() });
  }

  private onConsensus(batch: ConsensusBatch): void {
    const nowMs = this.nowMs();
    for (const [group, message] of batch) {
      if (message.to !== this.memberId) continue;
      const host = this.hosts.get(group) ?? this.openGroup(group);
      host?.receive(detached(message), nowMs);
    }
  }

  private async onRequest(method: string, payload: unknown): Promise<unknown> {
    if (method === 'hello') return this.hello();
    if (method === 'status') return this.status();
    return this.requests.answer(method, payload);
  }

  private inBackground(work: Promise<unknown>): void {
    work.catch((error: unknown) => {
      if (this.stopped) return;
      const reason = error instanceof Error ? error.message : String(error);
      this.logger.debug('background work failed', { step: 'background', reason });
    });
  }
}
