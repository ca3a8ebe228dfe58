/**
 * Hosts the group members of one process: storage, consensus, messages between members, snapshots
 * and membership changes. The {@link GroupNodeRole} defines the state of the groups.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { closeSync, existsSync, fsyncSync, mkdirSync, openSync } from 'node:fs';
import { join } from 'node:path';
import { Consensus, instanceOf } from '@shedline/consensus';
import type { GroupStatus } from '@shedline/control-client';
import type { ShedlineError } from '@shedline/errors';
import type { Logger } from '@shedline/logger';
import { DiskItemFiles, NodeFileSystem, Storage, lockFolder } from '@shedline/storage';
import type { RecoveredGroup, ReleaseLock } from '@shedline/storage';
import type { Link, PeerConnections } from '@shedline/transport';
import type { HelloAnswer } from './bootstrap.js';
import { GroupHost } from './group-host.js';
import { initialConfig, loadCluster, loadMemberId, saveCluster } from './identity.js';
import type { ClusterDocument } from './identity.js';
import { repairMembers, transferToPreferredLeader } from './membership-tasks.js';
import type { MembershipTaskOptions } from './membership-tasks.js';
import { MessageBatcher } from './message-batcher.js';
import type { ConsensusBatch } from './message-batcher.js';
import { PeerPresence } from './peer-presence.js';
import type { PresenceMessage } from './peer-presence.js';
import { PRESENCE_CHECK_INTERVAL_MS } from './presence-schedule.js';
import { SnapshotExchange } from './snapshot-exchange.js';
import type { GroupStateMachine } from './state-machine.js';
import { TickSchedule } from './tick-schedule.js';

const TRANSFER_CHECK_MS = 20;
const LEADER_TASK_INTERVAL_MS = 250;
const HOUSEKEEP_INTERVAL_MS = 10_000;
const LEADER_BALANCE_INTERVAL_MS = 5000;
const MAX_TRANSFER_WAIT_MS = 1500;
const MAX_WAL_SEGMENTS = 6;
/** Valid names of item files; excludes paths that lead out of their folder. */
const FILE_NAME = /^[a-zA-Z0-9][a-zA-Z0-9.-]*$/;

/** Timings and sizes of the groups. */
export interface GroupNodeSettings {
  readonly dataDir: string;
  /** Target number of voters in each group. */
  readonly voterCount: number;
  readonly electionTimeoutMs: number;
  /** Minimum time from the start to the first election; defaults to the election timeout. */
  readonly firstElectionTimeoutMs?: number;
  readonly heartbeatIntervalMs: number;
  /** Interval of the heartbeats of a group whose log is idle; defaults to the other interval. */
  readonly idleHeartbeatIntervalMs?: number;
  /** Time after which an unresponsive voter is replaced or removed. */
  readonly replaceAfterMs: number;
  /** Log bytes after which a group takes a snapshot. */
  readonly snapshotAfterBytes: number;
  /** Size at which a new segment of the write-ahead log is started. */
  readonly maxSegmentBytes?: number;
}

/** State machines and tasks of the groups of a process. */
export interface GroupNodeRole {
  /** Lowest group number of the cluster. */
  readonly firstGroup: number;
  createMachine(group: number, files: DiskItemFiles): GroupStateMachine;
  /** Finds or forms the cluster; resolves with undefined if the process stops first. */
  findCluster(hello: HelloAnswer): Promise<ClusterDocument | undefined>;
  /** Called when a member has gained or lost leadership. */
  roleChanged(host: GroupHost, memberId: string): void;
  /** Runs the frequent tasks of a leader; `intervalMs` is the time since the last call. */
  leaderTick(host: GroupHost, nowMs: number, intervalMs: number): void;
  /** Whether a process is retiring, so that its members are replaced. */
  isRetiring?(instance: string): boolean;
  /** Runs the infrequent tasks of a leader. */
  housekeep(host: GroupHost): void;
}

/** Options of {@link GroupNode}. */
export interface GroupNodeOptions {
  readonly name: string;
  readonly settings: GroupNodeSettings;
  readonly role: GroupNodeRole;
  /** Connections to the other processes of the cluster. */
  readonly peers: PeerConnections;
  /**
   * Whether peers reply to announcements. For connections on which only this process sends: without
   * replies, each of them is pinged.
   */
  readonly wantsPresenceReplies?: boolean;
  readonly logger: Logger;
  readonly random: () => number;
  /** Returns monotonic time in milliseconds. */
  readonly nowMs: () => number;
}

interface ChunkRequest {
  readonly group: number;
  readonly file: string;
  readonly offset: number;
  readonly sizeBytes: number;
}

/** Group members of one process. */
export class GroupNode {
  readonly hosts = new Map<number, GroupHost>();
  private readonly options: GroupNodeOptions;
  private readonly presence: PeerPresence;
  private readonly messageBatcher: MessageBatcher;
  private readonly snapshots: SnapshotExchange;
  private readonly itemFiles = new Map<number, DiskItemFiles>();
  private recovered: ReadonlyMap<number, RecoveredGroup> = new Map();
  private storage: Storage | undefined;
  private releaseLock: ReleaseLock | undefined;
  private ownMemberId = '';
  private clusterDocument: ClusterDocument | undefined;
  private timers: NodeJS.Timeout[] = [];
  private readonly tickSchedule = new TickSchedule();
  private tickTimer: NodeJS.Timeout | undefined;
  private stopped = false;

  constructor(options: GroupNodeOptions) {
    this.options = options;
    const { logger, nowMs, peers } = options;
    const peer = (instance: string) => peers.get(instance);
    this.presence = new PeerPresence({ peers, logger, nowMs });
    this.messageBatcher = new MessageBatcher(peer);
    this.snapshots = new SnapshotExchange({
      logger,
      nowMs,
      peer,
      hostFor: (group) => this.hosts.get(group) ?? this.openGroup(group),
      filesOf: (group) => this.filesOf(group),
      isStopped: () => this.stopped,
    });
  }

  /** Member id of this process, `instance#incarnation`; empty before {@link GroupNode.open}. */
  get memberId(): string {
    return this.ownMemberId;
  }

  /** Cluster of this process; undefined before it has joined and after it has stopped. */
  get cluster(): ClusterDocument | undefined {
    return this.stopped ? undefined : this.clusterDocument;
  }

  /** Whether the process is stopping or has stopped. */
  get isStopped(): boolean {
    return this.stopped;
  }

  /** Error message of the failing disk writes; empty if writes succeed. */
  get diskFailure(): string {
    return this.storage?.diskFailure?.message ?? '';
  }

  /** Number of syncs since the start. */
  get syncCount(): number {
    return this.storage?.counters.syncs ?? 0;
  }

  /** Locks and opens the data folder and loads the member id and the cluster. */
  async open(): Promise<void> {
    const { settings, name } = this.options;
    const files = new NodeFileSystem(settings.dataDir);
    await files.prepare();
    this.releaseLock = await lockFolder(settings.dataDir, () => {
      const reason = 'abstract sockets are not supported on this system';
      this.options.logger.warn('data folder not locked', { step: 'lock data folder', reason });
    });
    const storage = await Storage.open({
      files,
      onHealthChange: (failure) => {
        this.logDiskHealth(failure);
      },
      ...(settings.maxSegmentBytes === undefined
        ? {}
        : { maxSegmentBytes: settings.maxSegmentBytes }),
    });
    this.storage = storage;
    this.ownMemberId = await loadMemberId(storage, name);
    this.clusterDocument = await loadCluster(storage);
    this.recovered = storage.takeRecovered();
  }

  /** Finds or forms the cluster and starts the groups. Call after {@link GroupNode.open}. */
  async join(): Promise<void> {
    const { storage } = this;
    if (storage === undefined) return;
    if (this.clusterDocument === undefined) {
      const found = await this.options.role.findCluster(this.hello());
      if (found === undefined) return;
      await saveCluster(storage, found);
      this.clusterDocument = found;
    }
    this.presence.recordJoin();
    this.openGroups(this.clusterDocument);
    this.startTimers();
    this.options.logger.info('groups opened', { memberId: this.ownMemberId, step: 'start' });
  }

  /** Transfers leadership to other members, then stops. */
  async stop(): Promise<void> {
    // The groups still run here, because a transfer needs the replies of the peers.
    await this.transferLeaderships();
    this.kill();
    await this.storage?.close();
    await this.releaseLock?.();
    for (const files of this.itemFiles.values()) files.closeAll();
  }

  /** Stops immediately, as in a crash; synced data stays on disk. */
  kill(): void {
    this.stopped = true;
    for (const timer of this.timers) clearInterval(timer);
    this.timers = [];
    clearTimeout(this.tickTimer);
    for (const host of this.hosts.values()) host.close();
  }

  /** Returns the status of the groups of this process. */
  groupStatuses(): GroupStatus[] {
    return [...this.hosts.values()].map((host) => ({
      group: host.group,
      role: host.consensus.role,
      leader: instanceOf(host.consensus.leaderId),
      term: host.consensus.currentTerm,
      commitIndex: host.consensus.commitIndex,
      appliedIndex: host.appliedIndex,
      voters: host.consensus.config.voters,
      learners: host.consensus.config.learners,
      isConfigCommitted: !host.consensus.isConfigChangePending,
    }));
  }

  /** Returns the reply to a process that is looking for its cluster. */
  hello(): HelloAnswer {
    const { name } = this.options;
    return { instance: name, memberId: this.ownMemberId, cluster: this.clusterDocument };
  }

  /** Returns the groups that this process leads. */
  ledGroups(): GroupHost[] {
    return [...this.hosts.values()].filter((host) => host.isLeader);
  }

  /** Returns the groups that serve nothing here, because a command could not be applied. */
  rebuildingGroups(): GroupHost[] {
    return [...this.hosts.values()].filter((host) => host.isRebuilding);
  }

  /** Returns the item files of a group; creates their folder if needed. */
  filesOf(group: number): DiskItemFiles {
    const known = this.itemFiles.get(group);
    if (known !== undefined) return known;
    const folder = join(this.options.settings.dataDir, `items-${group}`);
    if (!existsSync(folder)) {
      mkdirSync(folder, { recursive: true });
      syncFolder(this.options.settings.dataDir);
    }
    const files = new DiskItemFiles(folder);
    this.itemFiles.set(group, files);
    return files;
  }

  /** Handles a one-way message of a peer; returns false if the method does not concern groups. */
  onMessage(method: string, payload: unknown, link?: Pick<Link, 'send'>): boolean {
    if (this.stopped) return true;
    switch (method) {
      case 'presence':
        this.presence.receive(payload as PresenceMessage, this.clusterDocument?.clusterId, link);
        return true;
      case 'consensus':
        this.onConsensus(payload as ConsensusBatch);
        return true;
      case 'snapshotOffer': {
        const { group, leaderId } = payload as { group: number; leaderId: string };
        this.inBackground(this.snapshots.copy(group, leaderId, this.ownMemberId));
        return true;
      }
      case 'snapshotDone': {
        const { group, memberId } = payload as { group: number; memberId: string };
        this.snapshots.finish(group, memberId);
        return true;
      }
      default:
        return false;
    }
  }

  /** Handles a request of a peer; returns undefined if the method does not concern groups. */
  handle(method: string, payload: unknown): Promise<unknown> | undefined {
    if (method === 'hello') return Promise.resolve(this.hello());
    if (method === 'manifest') {
      return this.hosts.get((payload as { group: number }).group)?.manifest();
    }
    if (method === 'chunk') return this.readChunk(payload as ChunkRequest);
    return undefined;
  }

  /** Runs work that is repeated anyway after a failure; logs the failure. */
  inBackground(work: Promise<unknown>): void {
    work.catch((error: unknown) => {
      if (this.stopped) return;
      const reason = error instanceof Error ? error.message : String(error);
      this.options.logger.debug('background work failed', { step: 'background', reason });
    });
  }

  private readChunk({
    group,
    file,
    offset,
    sizeBytes,
  }: ChunkRequest): Promise<unknown> | undefined {
    if (!this.hosts.has(group) || !FILE_NAME.test(file)) return undefined;
    return Promise.resolve(this.filesOf(group).readRaw(file, offset, sizeBytes));
  }

  private logDiskHealth(failure: ShedlineError | undefined): void {
    const { logger } = this.options;
    if (failure === undefined) logger.info('disk accepts writes again', { step: 'sync' });
    else logger.error('disk refuses writes', { step: 'sync', reason: failure.message });
  }

  private openGroups(cluster: ClusterDocument): void {
    const { firstGroup } = this.options.role;
    for (let group = firstGroup; group <= cluster.jobGroupCount; group += 1) {
      const config = initialConfig(cluster, group, this.ownMemberId);
      const isMember = this.recovered.has(group) || config.voters.includes(this.ownMemberId);
      if (isMember) this.openGroup(group);
    }
  }

  /** Opens a group from its synced state, or empty if the instance is joining the group. */
  private openGroup(group: number): GroupHost | undefined {
    const { clusterDocument, storage } = this;
    const { role, settings, logger, random, nowMs } = this.options;
    if (clusterDocument === undefined || storage === undefined || this.stopped) return undefined;
    if (group < role.firstGroup || group > clusterDocument.jobGroupCount) return undefined;
    const recovered = this.recovered.get(group);
    const snapshot = recovered?.snapshot;
    const machine = role.createMachine(group, this.filesOf(group));
    const hasSnapshot = snapshot !== undefined && snapshot.position.index > 0;
    if (hasSnapshot) machine.restore(snapshot.state);
    const position = hasSnapshot
      ? snapshot.position
      : { index: 0, term: 0, config: initialConfig(clusterDocument, group, this.ownMemberId) };
    const consensus = new Consensus({
      memberId: this.ownMemberId,
      random,
      nowMs: nowMs(),
      snapshot: position,
      entries: recovered?.entries ?? [],
      electionTimeoutMs: settings.electionTimeoutMs,
      heartbeatIntervalMs: settings.heartbeatIntervalMs,
      ...(settings.idleHeartbeatIntervalMs === undefined
        ? {}
        : { idleHeartbeatIntervalMs: settings.idleHeartbeatIntervalMs }),
      ...(settings.firstElectionTimeoutMs === undefined
        ? {}
        : { firstElectionTimeoutMs: settings.firstElectionTimeoutMs }),
      ...(recovered === undefined ? {} : { hardState: recovered.hardState }),
    });
    const host = new GroupHost({
      group,
      consensus,
      machine,
      storage,
      itemFiles: this.filesOf(group),
      logger,
      appliedIndex: position.index,
      snapshotAfterBytes: settings.snapshotAfterBytes,
      send: (from, message) => {
        this.messageBatcher.add(from, message);
      },
      offerSnapshot: (from, memberId) => {
        this.snapshots.offer(from, memberId, this.ownMemberId);
      },
      onTickChange: (nextTickMs) => {
        this.armTick(nextTickMs);
      },
      onRoleChange: (changed, isLeader) => {
        this.onRoleChange(changed, isLeader);
      },
    });
    this.hosts.set(group, host);
    this.armTick(consensus.nextTickMs);
    return host;
  }

  private startTimers(): void {
    this.every(PRESENCE_CHECK_INTERVAL_MS, () => {
      this.announcePresence();
    });
    this.every(LEADER_TASK_INTERVAL_MS, () => {
      this.runLeaderTasks();
    });
    this.every(HOUSEKEEP_INTERVAL_MS, () => {
      for (const host of this.ledGroups()) this.options.role.housekeep(host);
    });
    this.every(LEADER_BALANCE_INTERVAL_MS, () => {
      for (const host of this.ledGroups())
        transferToPreferredLeader(this.membershipOptionsOf(host), this.options.nowMs());
    });
    this.announcePresence();
  }

  private every(intervalMs: number, work: () => void): void {
    this.timers.push(setInterval(work, intervalMs));
  }

  private armTick(nextTickMs: number): void {
    if (this.stopped) return;
    const delayMs = this.tickSchedule.arm(nextTickMs, this.options.nowMs());
    if (delayMs === undefined) return;
    clearTimeout(this.tickTimer);
    this.tickTimer = setTimeout(() => {
      if (this.tickSchedule.fired(this.options.nowMs()))
        setImmediate(() => {
          this.tick();
        });
      else this.tick();
    }, delayMs);
  }

  /** Ticks the groups if one is due; otherwise the timer was early, or its group received messages. */
  private tick(): void {
    if (this.stopped) return;
    const nowMs = this.options.nowMs();
    if (this.nextTickMs() <= nowMs) {
      this.tickSchedule.ticked(nowMs);
      for (const host of this.hosts.values()) host.tick(nowMs);
    }
    this.armTick(this.nextTickMs());
  }

  private nextTickMs(): number {
    const hosts = [...this.hosts.values()];
    return Math.min(...hosts.map(({ consensus }) => consensus.nextTickMs));
  }

  private announcePresence(): void {
    const { ownMemberId: memberId, clusterDocument } = this;
    this.presence.announce({
      instance: this.options.name,
      memberId,
      clusterId: clusterDocument?.clusterId,
      ...(this.options.wantsPresenceReplies === true ? { wantsReply: true } : {}),
    });
  }

  private runLeaderTasks(): void {
    const nowMs = this.options.nowMs();
    for (const host of this.ledGroups()) {
      // The planner compares times since the last contact, which are as old as the last tick.
      host.tick(nowMs);
      const membershipOptions = this.membershipOptionsOf(host);
      repairMembers(membershipOptions);
      // A leader never removes itself, so another member has to lead.
      if (membershipOptions.retiringIds.has(this.ownMemberId)) host.transferLeadership(nowMs);
      this.options.role.leaderTick(host, nowMs, LEADER_TASK_INTERVAL_MS);
    }
    this.snapshotGroupsRetainingWal();
  }

  private membershipOptionsOf(host: GroupHost): MembershipTaskOptions {
    const { settings, logger, role } = this.options;
    const { liveIds } = this.presence;
    const { voters, learners } = host.consensus.config;
    const candidates = new Set([...voters, ...learners, ...liveIds]);
    const retiring = [...candidates].filter((id) => role.isRetiring?.(instanceOf(id)) === true);
    const retiringIds = new Set(retiring);
    const lastSeenAgoMs = (id: string): number => this.presence.lastSeenAgoMs(instanceOf(id), id);
    const { ownMemberId: memberId } = this;
    return { host, memberId, liveIds, settings, logger, retiringIds, lastSeenAgoMs };
  }

  private snapshotGroupsRetainingWal(): void {
    const storage = this.storage;
    if (storage === undefined || storage.segmentCount <= MAX_WAL_SEGMENTS) return;
    for (const group of storage.groupsRetainingOldestSegment()) {
      this.inBackground(this.hosts.get(group)?.takeSnapshot() ?? Promise.resolve());
    }
  }

  private async transferLeaderships(): Promise<void> {
    const { nowMs } = this.options;
    const transferable = this.ledGroups().filter((host) => host.consensus.config.voters.length > 1);
    for (const host of transferable) host.transferLeadership(nowMs());
    const deadlineMs = nowMs() + MAX_TRANSFER_WAIT_MS;
    while (transferable.some((host) => host.isLeader) && nowMs() < deadlineMs) {
      await pause(TRANSFER_CHECK_MS);
    }
  }

  private onRoleChange(host: GroupHost, isLeader: boolean): void {
    const { group, consensus } = host;
    this.options.logger.info(isLeader ? 'leads group' : 'lost leadership of group', {
      group,
      term: consensus.currentTerm,
      step: 'election',
    });
    this.options.role.roleChanged(host, this.ownMemberId);
  }

  private onConsensus(batch: ConsensusBatch): void {
    const nowMs = this.options.nowMs();
    for (const [group, message] of batch) {
      if (message.to !== this.ownMemberId) continue;
      const host = this.hosts.get(group) ?? this.openGroup(group);
      host?.receive(message, nowMs);
    }
  }
}

/** Syncs a folder, so that new names in it survive a power loss. */
function syncFolder(folder: string): void {
  const descriptor = openSync(folder, 'r');
  try {
    fsyncSync(descriptor);
  } finally {
    closeSync(descriptor);
  }
}
