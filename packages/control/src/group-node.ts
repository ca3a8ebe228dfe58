/**
 * Hosts the members of the log groups of one process: storage, consensus, messages between
 * members, snapshots and repair. What the groups hold is up to its {@link GroupNodeRole}.
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
import type { PeerConnections } from '@shedline/transport';
import type { HelloAnswer } from './bootstrap.js';
import { GroupHost } from './group-host.js';
import { initialConfig, loadCluster, loadMemberId, saveCluster } from './identity.js';
import type { ClusterDocument } from './identity.js';
import { repairMembers, spreadLeader } from './member-duties.js';
import type { MemberDutiesOptions } from './member-duties.js';
import { MemberMailbox, detached } from './member-mailbox.js';
import type { ConsensusBatch } from './member-mailbox.js';
import { PRESENCE_INTERVAL_MS, PeerPresence } from './peer-presence.js';
import type { PresenceMessage } from './peer-presence.js';
import { SnapshotExchange } from './snapshot-exchange.js';
import type { GroupStateMachine } from './state-machine.js';

/** Fine enough that members whose first election times differ do not vote in the same tick. */
const TICK_MS = 20;
const DUTY_INTERVAL_MS = 250;
const HOUSEKEEP_INTERVAL_MS = 10_000;
const SPREAD_INTERVAL_MS = 5000;
const TRANSFER_WAIT_MS = 1500;
const MAX_WAL_SEGMENTS = 6;
/** Names of item files: nothing that leads out of their folder. */
const FILE_NAME = /^[a-zA-Z0-9][a-zA-Z0-9.-]*$/;

/** Timings and sizes of the groups. */
export interface GroupNodeSettings {
  readonly dataDir: string;
  /** Voters wanted in each group. */
  readonly voterCount: number;
  readonly electionTimeoutMs: number;
  /** Shortest time from the start to the first election; default: the election timeout. */
  readonly firstElectionTimeoutMs?: number;
  readonly heartbeatIntervalMs: number;
  /** Silence of a voter before it is replaced or dropped. */
  readonly replaceAfterMs: number;
  /** Log bytes of a group after which it is snapshotted. */
  readonly snapshotAfterBytes: number;
  /** Size at which a new segment of the write-ahead log begins. Bytes. */
  readonly maxSegmentBytes?: number;
}

/** What the groups of a process hold and do. */
export interface GroupNodeRole {
  /** Lowest number of a group of this cluster. */
  readonly firstGroup: number;
  createMachine(group: number, files: DiskItemFiles): GroupStateMachine;
  /** Finds or forms the cluster; undefined where the process stops before. */
  findCluster(hello: HelloAnswer): Promise<ClusterDocument | undefined>;
  /** A member began or ceased to lead. */
  roleChanged(host: GroupHost, memberId: string): void;
  /** Duties of a leader; `intervalMs` is the time since the last call. */
  leaderTick(host: GroupHost, nowMs: number, intervalMs: number): void;
  /** Whether a process is to be emptied: its members are replaced. */
  isRetiring?(instance: string): boolean;
  /** Duties of a leader that are due rarely. */
  housekeep(host: GroupHost): void;
}

/** Options of {@link GroupNode}. */
export interface GroupNodeOptions {
  readonly name: string;
  readonly settings: GroupNodeSettings;
  readonly role: GroupNodeRole;
  /** Connections to the other processes of the cluster. */
  readonly peers: PeerConnections;
  readonly logger: Logger;
  readonly random: () => number;
  /** Monotonic milliseconds. */
  readonly nowMs: () => number;
}

interface ChunkRequest {
  readonly group: number;
  readonly file: string;
  readonly offset: number;
  readonly sizeBytes: number;
}

/** The members of one process. */
export class GroupNode {
  readonly hosts = new Map<number, GroupHost>();
  private readonly options: GroupNodeOptions;
  private readonly presence: PeerPresence;
  private readonly mailbox: MemberMailbox;
  private readonly snapshots: SnapshotExchange;
  private readonly itemFiles = new Map<number, DiskItemFiles>();
  private recovered: ReadonlyMap<number, RecoveredGroup> = new Map();
  private storage: Storage | undefined;
  private releaseLock: ReleaseLock | undefined;
  private ownMemberId = '';
  private document: ClusterDocument | undefined;
  private timers: NodeJS.Timeout[] = [];
  private stopped = false;

  constructor(options: GroupNodeOptions) {
    this.options = options;
    const { logger, nowMs, peers } = options;
    const peer = (instance: string) => peers.get(instance);
    this.presence = new PeerPresence({ peers, logger, nowMs });
    this.mailbox = new MemberMailbox(peer);
    this.snapshots = new SnapshotExchange({
      logger,
      nowMs,
      peer,
      hostFor: (group) => this.hosts.get(group) ?? this.openGroup(group),
      filesOf: (group) => this.filesOf(group),
      isStopped: () => this.stopped,
    });
  }

  /** Identity of this process and its data folder. */
  get memberId(): string {
    return this.ownMemberId;
  }

  /** The cluster that this process belongs to; undefined while there is none. */
  get cluster(): ClusterDocument | undefined {
    return this.stopped ? undefined : this.document;
  }

  /** Whether the process has begun to stop. */
  get isStopped(): boolean {
    return this.stopped;
  }

  /** Why writes do not pass at present; empty where they do. */
  get diskFailure(): string {
    return this.storage?.health?.message ?? '';
  }

  /** Syncs since the start. */
  get syncCount(): number {
    return this.storage?.counters.syncs ?? 0;
  }

  /** Opens the data folder and learns who this process is. */
  async open(): Promise<void> {
    const { settings, name } = this.options;
    const files = new NodeFileSystem(settings.dataDir);
    await files.prepare();
    this.releaseLock = await lockFolder(settings.dataDir, () => {
      const reason = 'this system has no sockets for it';
      this.options.logger.warn('data folder not locked', { step: 'lock data folder', reason });
    });
    const storage = await Storage.open({
      files,
      onHealth: (failure) => {
        this.noteDisk(failure);
      },
      ...(settings.maxSegmentBytes === undefined
        ? {}
        : { maxSegmentBytes: settings.maxSegmentBytes }),
    });
    this.storage = storage;
    this.ownMemberId = await loadMemberId(storage, name);
    this.document = await loadCluster(storage);
    this.recovered = storage.takeRecovered();
  }

  /** Finds or forms the cluster and starts the groups; call after {@link open}. */
  async join(): Promise<void> {
    const { storage } = this;
    if (storage === undefined) return;
    if (this.document === undefined) {
      const found = await this.options.role.findCluster(this.hello());
      if (found === undefined) return;
      await saveCluster(storage, found);
      this.document = found;
    }
    this.presence.joined();
    this.openGroups(this.document);
    this.startTimers();
    this.options.logger.info('groups open', { memberId: this.ownMemberId, step: 'start' });
  }

  /** Hands leaderships over, then stops. */
  async stop(): Promise<void> {
    // Still answering its peers: a transfer needs their replies.
    await this.handOver();
    this.kill();
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
  }

  /** State of the groups here. */
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
      isConfigCommitted: !host.consensus.configChangePending,
    }));
  }

  /** What this process says to one that looks for a cluster. */
  hello(): HelloAnswer {
    const { name } = this.options;
    return { instance: name, memberId: this.ownMemberId, cluster: this.document };
  }

  /** Groups that this process leads. */
  leading(): GroupHost[] {
    return [...this.hosts.values()].filter((host) => host.isLeading);
  }

  /** Files of a group. */
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

  /** Takes a one-way message of a peer; false where it is not about the groups. */
  onMessage(method: string, payload: unknown): boolean {
    if (this.stopped) return true;
    switch (method) {
      case 'presence':
        this.presence.receive(payload as PresenceMessage, this.document?.clusterId);
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
        this.snapshots.done(group, memberId);
        return true;
      }
      default:
        return false;
    }
  }

  /** Answers a request about the groups; undefined where the method is none of these. */
  answer(method: string, payload: unknown): Promise<unknown> | undefined {
    if (method === 'hello') return Promise.resolve(this.hello());
    if (method === 'manifest') {
      return this.hosts.get((payload as { group: number }).group)?.manifest();
    }
    if (method === 'chunk') return this.chunk(payload as ChunkRequest);
    return undefined;
  }

  /** Runs work whose failure only means that it comes again. */
  inBackground(work: Promise<unknown>): void {
    work.catch((error: unknown) => {
      if (this.stopped) return;
      const reason = error instanceof Error ? error.message : String(error);
      this.options.logger.debug('background work failed', { step: 'background', reason });
    });
  }

  private chunk({ group, file, offset, sizeBytes }: ChunkRequest): Promise<unknown> | undefined {
    if (!this.hosts.has(group) || !FILE_NAME.test(file)) return undefined;
    return Promise.resolve(this.filesOf(group).readRaw(file, offset, sizeBytes));
  }

  private noteDisk(failure: ShedlineError | undefined): void {
    const { logger } = this.options;
    if (failure === undefined) logger.info('disk takes writes again', { step: 'sync' });
    else logger.error('disk refuses writes', { step: 'sync', reason: failure.message });
  }

  private openGroups(cluster: ClusterDocument): void {
    const { firstGroup } = this.options.role;
    for (let group = firstGroup; group <= cluster.jobGroupCount; group += 1) {
      const config = initialConfig(cluster, group, this.ownMemberId);
      const known = this.recovered.has(group) || config.voters.includes(this.ownMemberId);
      if (known) this.openGroup(group);
    }
  }

  /** Opens a group from what is synced, or empty where the instance joins it. */
  private openGroup(group: number): GroupHost | undefined {
    const { document, storage } = this;
    const { role, settings, logger, random, nowMs } = this.options;
    if (document === undefined || storage === undefined || this.stopped) return undefined;
    if (group < role.firstGroup || group > document.jobGroupCount) return undefined;
    const recovered = this.recovered.get(group);
    const snapshot = recovered?.snapshot;
    const machine = role.createMachine(group, this.filesOf(group));
    const hasSnapshot = snapshot !== undefined && snapshot.position.index > 0;
    if (hasSnapshot) machine.restore(snapshot.state);
    const position = hasSnapshot
      ? snapshot.position
      : { index: 0, term: 0, config: initialConfig(document, group, this.ownMemberId) };
    const consensus = new Consensus({
      memberId: this.ownMemberId,
      random,
      nowMs: nowMs(),
      snapshot: position,
      entries: recovered?.entries ?? [],
      electionTimeoutMs: settings.electionTimeoutMs,
      heartbeatIntervalMs: settings.heartbeatIntervalMs,
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
        this.mailbox.add(from, message);
      },
      offerSnapshot: (from, memberId) => {
        this.snapshots.offer(from, memberId, this.ownMemberId);
      },
      onRoleChange: (changed, leading) => {
        this.onRoleChange(changed, leading);
      },
    });
    this.hosts.set(group, host);
    return host;
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
      for (const host of this.leading()) this.options.role.housekeep(host);
    });
    this.every(SPREAD_INTERVAL_MS, () => {
      for (const host of this.leading()) spreadLeader(this.dutiesOf(host), this.options.nowMs());
    });
    this.announcePresence();
  }

  private every(intervalMs: number, work: () => void): void {
    this.timers.push(setInterval(work, intervalMs));
  }

  private tick(): void {
    const nowMs = this.options.nowMs();
    for (const host of this.hosts.values()) host.tick(nowMs);
  }

  private announcePresence(): void {
    const { ownMemberId: memberId, document } = this;
    this.presence.announce({
      instance: this.options.name,
      memberId,
      clusterId: document?.clusterId,
    });
  }

  private leaderDuties(): void {
    const nowMs = this.options.nowMs();
    for (const host of this.leading()) {
      const duties = this.dutiesOf(host);
      repairMembers(duties);
      // A leader never removes itself: another one has to.
      if (duties.retiringIds.has(this.ownMemberId)) host.transferLeadership(nowMs);
      this.options.role.leaderTick(host, nowMs, DUTY_INTERVAL_MS);
    }
    this.relieveWal();
  }

  private dutiesOf(host: GroupHost): MemberDutiesOptions {
    const { settings, logger, role } = this.options;
    const { liveIds } = this.presence;
    const { voters, learners } = host.consensus.config;
    const known = new Set([...voters, ...learners, ...liveIds]);
    const retiring = [...known].filter((id) => role.isRetiring?.(instanceOf(id)) === true);
    const retiringIds = new Set(retiring);
    const unheardMs = (id: string): number => this.presence.unheardMs(instanceOf(id), id);
    const { ownMemberId: memberId } = this;
    return { host, memberId, liveIds, settings, logger, retiringIds, unheardMs };
  }

  private relieveWal(): void {
    const storage = this.storage;
    if (storage === undefined || storage.segmentCount <= MAX_WAL_SEGMENTS) return;
    for (const group of storage.groupsHoldingOldest()) {
      this.inBackground(this.hosts.get(group)?.takeSnapshot() ?? Promise.resolve());
    }
  }

  private async handOver(): Promise<void> {
    const { nowMs } = this.options;
    const others = this.leading().filter((host) => host.consensus.config.voters.length > 1);
    for (const host of others) host.transferLeadership(nowMs());
    const deadlineMs = nowMs() + TRANSFER_WAIT_MS;
    while (others.some((host) => host.isLeading) && nowMs() < deadlineMs) {
      await pause(TICK_MS);
    }
  }

  private onRoleChange(host: GroupHost, leading: boolean): void {
    const { group, consensus } = host;
    this.options.logger.info(leading ? 'leads group' : 'follows in group', {
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
      host?.receive(detached(message), nowMs);
    }
  }
}

/** Makes the names in a folder last over a power loss. */
function syncFolder(folder: string): void {
  const descriptor = openSync(folder, 'r');
  try {
    fsyncSync(descriptor);
  } finally {
    closeSync(descriptor);
  }
}
