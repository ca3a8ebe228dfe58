/**
 * The control daemon: hosts the members of the log groups of one instance.
 */
import { mkdirSync } from 'node:fs';
import { join } from 'node:path';
import { Consensus, instanceOf, planMembership } from '@shedline/consensus';
import type { ConsensusMessage, LogEntry } from '@shedline/consensus';
import type { ControlSettings, Settings } from '@shedline/config';
import type {
  ControlMethod,
  ControlPort,
  ControlStatus,
  Proposal,
  Query,
} from '@shedline/control-client';
import { ShedlineError } from '@shedline/errors';
import { OrderGate } from '@shedline/fencing';
import type { OrderAnswer, OrderCommand } from '@shedline/fencing';
import { LeaseClock } from '@shedline/jobs';
import type { Logger } from '@shedline/logger';
import { DiskItemFiles, NodeFileSystem, Storage } from '@shedline/storage';
import type { RecoveredGroup } from '@shedline/storage';
import { InForceTracker } from '@shedline/table';
import type { EntryStatus } from '@shedline/table';
import { PeerClient, PeerServer } from '@shedline/transport';
import { TABLE_GROUP, rendezvousOrder } from '@shedline/types';
import { newCluster, planBootstrap } from './bootstrap.js';
import type { HelloAnswer } from './bootstrap.js';
import { GroupHost } from './group-host.js';
import type { SnapshotManifest } from './group-host.js';
import { initialConfig, loadCluster, loadMemberId, saveCluster } from './identity.js';
import type { ClusterDocument } from './identity.js';
import { OrderRunner } from './order-runner.js';
import { copyFiles } from './snapshot-copy.js';
import { JobGroup, TableGroup } from './state-machine.js';
import type { GroupStateMachine } from './state-machine.js';

const TICK_MS = 25;
const PRESENCE_INTERVAL_MS = 500;
const PRESENCE_LEASE_MS = 3000;
const DUTY_INTERVAL_MS = 500;
const HOUSEKEEP_INTERVAL_MS = 10_000;
const SPREAD_INTERVAL_MS = 5000;
const BOOTSTRAP_PAUSE_MS = 200;
const HELLO_TIMEOUT_MS = 1000;
const COPY_TIMEOUT_MS = 5000;
const SNAPSHOT_RETRY_MS = 10_000;
const TRANSFER_WAIT_MS = 1500;
const MAX_WAL_SEGMENTS = 6;
/** Weight of the newest second in the rate of ended items. */
const RATE_SMOOTHING = 0.2;

/** Options of {@link ControlNode}. */
export interface ControlNodeOptions {
  readonly settings: Settings;
  readonly control: ControlSettings;
  readonly logger: Logger;
  readonly random?: () => number;
  /** Monotonic milliseconds. */
  readonly nowMs?: () => number;
}

type ConsensusBatch = [number, ConsensusMessage][];

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
  private readonly leaseClocks = new Map<number, LeaseClock>();
  private readonly endedBefore = new Map<number, number>();
  private readonly presence = new Map<string, { memberId: string; heardAtMs: number }>();
  private readonly inForce = new InForceTracker();
  private readonly gate: OrderGate;
  private readonly outbox = new Map<string, ConsensusBatch>();
  private readonly copying = new Set<number>();
  private readonly offeredAtMs = new Map<string, number>();
  private readonly itemFiles = new Map<number, DiskItemFiles>();
  private recovered: ReadonlyMap<number, RecoveredGroup> = new Map();
  private storage: Storage | undefined;
  private memberId = '';
  private cluster: ClusterDocument | undefined;
  private orderRunner: OrderRunner | undefined;
  private timers: NodeJS.Timeout[] = [];
  private stopped = false;

  constructor(options: ControlNodeOptions) {
    this.settings = options.settings;
    this.control = options.control;
    this.logger = options.logger;
    this.random = options.random ?? Math.random;
    this.nowMs = options.nowMs ?? (() => performance.now());
    this.gate = new OrderGate({
      leaseMs: this.control.orderLeaseMs,
      orderTimeoutMs: this.control.orderTimeoutMs,
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
    this.cluster ??= await this.findCluster(storage);
    if (this.stopped) return;
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

  private async findCluster(storage: Storage): Promise<ClusterDocument> {
    for (;;) {
      const answers = await this.askPeers();
      const plan = planBootstrap({
        instance: this.settings.name,
        bootstrapMembers: this.control.bootstrapMembers,
        answers,
      });
      if (plan.action !== 'wait' || this.stopped) {
        const cluster =
          plan.action === 'join'
            ? plan.cluster
            : newCluster(plan.action === 'form' ? plan.members : [], this.control);
        await saveCluster(storage, cluster);
        return cluster;
      }
      this.logger.debug('no cluster yet', { step: 'bootstrap', reason: plan.reason });
      await pause(BOOTSTRAP_PAUSE_MS);
    }
  }

  private async askPeers(): Promise<Map<string, HelloAnswer>> {
    const answers = new Map<string, HelloAnswer>([[this.settings.name, this.hello()]]);
    const asked = [...this.peers].map(async ([name, peer]) => {
      try {
        answers.set(name, (await peer.request('hello', {}, HELLO_TIMEOUT_MS)) as HelloAnswer);
      } catch {
        // A silent instance simply has no answer; the plan says whether that matters.
      }
    });
    await Promise.all(asked);
    return answers;
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
        this.enqueue(from, message);
      },
      offerSnapshot: (from, memberId) => {
        this.offerSnapshot(from, memberId);
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
    for (const host of this.hosts.values()) {
      if (!host.isLeading) continue;
      this.planMembers(host);
      if (host.machine instanceof JobGroup) this.jobDuties(host, host.machine, nowMs);
      else this.tableDuties(host, nowMs);
    }
    this.relieveWal();
  }

  private planMembers(host: GroupHost): void {
    const { consensus } = host;
    const members = new Map(
      [...consensus.memberProgress()].map(([memberId, progress]) => [
        memberId,
        {
          memberId,
          silentMs: progress.silentMs,
          lagEntries: consensus.commitIndex - progress.matchIndex,
        },
      ]),
    );
    const next = planMembership({
      config: consensus.config,
      selfId: this.memberId,
      members,
      liveIds: this.liveIds(),
      targetVoters: Math.min(this.control.voterCount, this.control.peers.length),
      replaceAfterMs: this.control.replaceAfterMs,
    });
    if (next === undefined || !host.changeMembers(next)) return;
    const { group } = host;
    this.logger.info('members change', { group, voters: next.voters, learners: next.learners });
  }

  private jobDuties(host: GroupHost, machine: JobGroup, nowMs: number): void {
    const clock = this.leaseClockOf(host.group);
    const leaseIds = clock.expired(machine.jobs.openLeaseIds, nowMs);
    if (leaseIds.length > 0) {
      this.inBackground(host.propose({ type: 'expireLeases', atMs: Date.now(), leaseIds }));
    }
    const ended = machine.jobs.endedSinceStart;
    const newlyEnded = ended - (this.endedBefore.get(host.group) ?? ended);
    this.endedBefore.set(host.group, ended);
    const rate = newlyEnded / (DUTY_INTERVAL_MS / 1000);
    machine.itemsPerSecond += RATE_SMOOTHING * (rate - machine.itemsPerSecond);
  }

  private tableDuties(host: GroupHost, nowMs: number): void {
    const confirmed = host.confirmLeadership().then(() => {
      this.gate.confirmed(nowMs);
    });
    this.inBackground(confirmed);
    this.orderRunner?.tick();
  }

  private leaseClockOf(group: number): LeaseClock {
    const known = this.leaseClocks.get(group);
    if (known !== undefined) return known;
    const clock = new LeaseClock({ leaseMs: this.control.itemLeaseMs });
    this.leaseClocks.set(group, clock);
    return clock;
  }

  private relieveWal(): void {
    const storage = this.storage;
    if (storage === undefined || storage.segmentCount <= MAX_WAL_SEGMENTS) return;
    for (const group of storage.groupsHoldingOldest()) {
      this.inBackground(this.hosts.get(group)?.takeSnapshot() ?? Promise.resolve());
    }
  }

  private housekeep(): void {
    const { jobRetentionMs, callRetentionMs } = this.control;
    for (const host of this.hosts.values()) {
      if (!host.isLeading || !(host.machine instanceof JobGroup)) continue;
      const command = { type: 'housekeep', atMs: Date.now(), jobRetentionMs, callRetentionMs };
      this.inBackground(host.propose(command));
    }
  }

  /** Leaders move to the voter that a hash prefers, so that they spread over the members. */
  private spreadLeaders(): void {
    const live = this.liveIds();
    for (const host of this.hosts.values()) {
      if (!host.isLeading) continue;
      const voters = host.consensus.config.voters.filter((voter) => live.includes(voter));
      const preferred = rendezvousOrder(`leader|${host.group}`, voters, 1)[0];
      if (preferred === undefined || preferred === this.memberId) continue;
      host.consensus.transferLeadershipTo(preferred, this.nowMs());
      host.tick(this.nowMs());
    }
  }

  private async handOver(): Promise<void> {
    const leading = [...this.hosts.values()].filter((host) => host.isLeading);
    const others = leading.filter((host) => host.consensus.config.voters.length > 1);
    for (const host of others) host.transferLeadership(this.nowMs());
    const deadlineMs = this.nowMs() + TRANSFER_WAIT_MS;
    while (others.some((host) => host.isLeading) && this.nowMs() < deadlineMs) {
      await pause(TICK_MS);
    }
  }

  private onRoleChange(host: GroupHost, leading: boolean): void {
    const { group } = host;
    this.logger.info(leading ? 'leads group' : 'follows in group', { group, step: 'election' });
    this.leaseClocks.get(group)?.clear();
    if (!(host.machine instanceof TableGroup)) return;
    this.inForce.becameLeader(this.nowMs());
    this.gate.lost();
    this.orderRunner = undefined;
    if (leading) this.inBackground(this.claimOrders(host, host.machine));
  }

  private async claimOrders(host: GroupHost, machine: TableGroup): Promise<void> {
    const command: OrderCommand = { type: 'claimOrders', holder: this.memberId };
    const answer = (await host.propose(command)) as OrderAnswer;
    if (!host.isLeading) return;
    this.gate.acquired(answer.fencingNumber, this.nowMs());
    this.orderRunner = new OrderRunner({
      gate: this.gate,
      orders: machine.orders,
      propose: (order) => host.propose(order) as Promise<OrderAnswer>,
      loadsAtOnce: this.control.weightStoreLoadsAtOnce,
      orderTimeoutMs: this.control.orderTimeoutMs,
      logger: this.logger,
      nowMs: this.nowMs,
    });
  }

  /** Messages of one turn of the event loop to one peer go out as one frame. */
  private enqueue(group: number, message: ConsensusMessage): void {
    if (this.outbox.size === 0)
      setImmediate(() => {
        this.flushOutbox();
      });
    const instance = instanceOf(message.to);
    const batch = this.outbox.get(instance) ?? [];
    batch.push([group, message]);
    this.outbox.set(instance, batch);
  }

  private flushOutbox(): void {
    for (const [instance, batch] of this.outbox) {
      this.peers.get(instance)?.send('consensus', batch);
    }
    this.outbox.clear();
  }

  private onMessage(method: string, payload: unknown): void {
    if (this.stopped) return;
    if (method === 'presence') this.onPresence(payload);
    if (method === 'consensus') this.onConsensus(payload as ConsensusBatch);
    if (method === 'snapshotOffer') {
      const { group, leaderId } = payload as { group: number; leaderId: string };
      this.inBackground(this.copySnapshot(group, leaderId));
    }
    if (method === 'snapshotDone') {
      const { group, memberId } = payload as { group: number; memberId: string };
      this.offeredAtMs.delete(`${group}|${memberId}`);
      this.hosts.get(group)?.consensus.snapshotSent(memberId);
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

  private offerSnapshot(group: number, memberId: string): void {
    const key = `${group}|${memberId}`;
    const nowMs = this.nowMs();
    this.offeredAtMs.set(key, nowMs);
    this.peers.get(instanceOf(memberId))?.send('snapshotOffer', { group, leaderId: this.memberId });
    setTimeout(() => {
      // The offer or its answer was lost: start again from what matches.
      if (this.offeredAtMs.get(key) !== nowMs) return;
      this.hosts.get(group)?.consensus.snapshotSent(memberId);
    }, SNAPSHOT_RETRY_MS).unref();
  }

  private async copySnapshot(group: number, leaderId: string): Promise<void> {
    const host = this.hosts.get(group) ?? this.openGroup(group);
    const source = this.peers.get(instanceOf(leaderId));
    if (host === undefined || source === undefined || this.copying.has(group)) return;
    this.copying.add(group);
    const startedAt = host.appliedIndex;
    try {
      const manifest = (await source.request(
        'manifest',
        { group },
        COPY_TIMEOUT_MS,
      )) as SnapshotManifest;
      const copiedBytes = await copyFiles({
        manifest,
        held: host.machine.fileSizes(),
        files: this.filesOf(group),
        read: (file, offset, sizeBytes) =>
          source.request(
            'chunk',
            { group, file, offset, sizeBytes },
            COPY_TIMEOUT_MS,
          ) as Promise<Uint8Array>,
        isWanted: () => host.appliedIndex === startedAt && !this.stopped,
      });
      const installed = await host.install(manifest, leaderId);
      this.logger.info('snapshot copied', { group, copiedBytes, installed, peer: leaderId });
    } finally {
      this.copying.delete(group);
      source.send('snapshotDone', { group, memberId: this.memberId });
    }
  }

  private async onRequest(method: string, payload: unknown): Promise<unknown> {
    if (method === 'hello') return this.hello();
    if (method === 'status') return this.status();
    if (this.cluster === undefined || this.stopped) throw this.notReady(method);
    switch (method as ControlMethod | 'manifest' | 'chunk') {
      case 'groups':
        return this.cluster.jobGroupCount;
      case 'propose':
        return this.onPropose(payload as { group: number; command: Proposal });
      case 'query':
        return this.onQuery(payload as { group: number; query: Query });
      case 'renew':
        return this.onRenew(payload as { group: number; leaseIds: string[] });
      case 'refresh':
        return this.onRefresh(payload as EntryStatus);
      case 'manifest':
        return this.hostOf((payload as { group: number }).group, method).manifest();
      case 'chunk':
        return this.onChunk(
          payload as { group: number; file: string; offset: number; sizeBytes: number },
        );
      default:
        throw this.notReady(method);
    }
  }

  private onPropose(payload: { group: number; command: Proposal }): Promise<unknown> {
    const host = this.hostOf(payload.group, 'propose');
    return host.propose({ ...payload.command, atMs: Date.now() });
  }

  private async onQuery(payload: { group: number; query: Query }): Promise<unknown> {
    const host = this.hostOf(payload.group, 'query');
    if (payload.query.type === 'inForce') {
      await host.confirmLeadership();
      return this.inForce.report(payload.query.revision, this.nowMs());
    }
    return host.query(payload.query);
  }

  private async onRenew(payload: { group: number; leaseIds: string[] }): Promise<string[]> {
    const host = this.hostOf(payload.group, 'renew');
    await host.confirmLeadership();
    if (!(host.machine instanceof JobGroup)) return [];
    const open = new Set(host.machine.jobs.openLeaseIds);
    const clock = this.leaseClockOf(payload.group);
    for (const leaseId of payload.leaseIds) {
      if (open.has(leaseId)) clock.renew(leaseId, this.nowMs());
    }
    return payload.leaseIds.filter((leaseId) => !open.has(leaseId));
  }

  private async onRefresh(status: EntryStatus): Promise<unknown> {
    const host = this.hostOf(TABLE_GROUP, 'refresh');
    const delta = await host.query({ type: 'table', fromRevision: status.revision });
    const nowMs = this.nowMs();
    this.inForce.hear(status, nowMs);
    return { delta, entries: this.inForce.liveEntries(nowMs) };
  }

  private onChunk(payload: {
    group: number;
    file: string;
    offset: number;
    sizeBytes: number;
  }): Uint8Array {
    this.hostOf(payload.group, 'chunk');
    return this.filesOf(payload.group).readRaw(payload.file, payload.offset, payload.sizeBytes);
  }

  private hostOf(group: number, step: string): GroupHost {
    const host = this.hosts.get(group);
    if (host === undefined) throw this.notReady(step);
    return host;
  }

  private notReady(step: string): ShedlineError {
    const message = `${this.settings.name} does not serve this yet; ask another control instance`;
    return new ShedlineError({
      type: 'unavailable',
      message,
      step,
      peer: this.settings.name,
      ran: 'no',
    });
  }

  private inBackground(work: Promise<unknown>): void {
    work.catch((error: unknown) => {
      if (this.stopped) return;
      const reason = error instanceof Error ? error.message : String(error);
      this.logger.debug('background work failed', { step: 'background', reason });
    });
  }
}

/** A message whose entries no longer share memory with the frame that brought them. */
function detached(message: ConsensusMessage): ConsensusMessage {
  if (message.type !== 'append') return message;
  const entries = message.entries.map((entry): LogEntry => ({
    ...entry,
    data: new Uint8Array(entry.data),
  }));
  return { ...message, entries };
}

function pause(pauseMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, pauseMs));
}
