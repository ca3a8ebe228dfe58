/**
 * Simulated consensus group with a fake network and fake disks, for the property tests. A crash
 * keeps only what was synced; a member whose disk was wiped restarts with a new incarnation.
 */
import type { RandomSource } from '@shedline/test-utils';
import { Consensus } from './consensus.js';
import type { ConsensusOptions } from './consensus.js';
import { instanceOf, planMembership } from './membership-planner.js';
import type {
  ConsensusMessage,
  GroupConfig,
  HardState,
  LogEntry,
  Ready,
  SnapshotPosition,
} from './messages.js';

const TICK_MS = 20;
const ELECTION_TIMEOUT_MS = 200;
const HEARTBEAT_MS = 40;
/** A third of the election timeout, as in production. */
const IDLE_HEARTBEAT_MS = 65;
const MAX_DELAY_MS = 60;
const MAX_SYNC_MS = 40;
const REPLACE_AFTER_MS = 1500;
const TRAILING_ENTRIES = 3;

interface Disk {
  hardState: HardState | undefined;
  entries: LogEntry[];
  snapshot: SnapshotPosition;
}

interface Member {
  memberId: string;
  core: Consensus;
  disk: Disk;
  isUp: boolean;
  /** Whether it can apply commands; a member that cannot must not lead. */
  canApply: boolean;
  /** Rate of the member's clock relative to simulated time. */
  clockRate: number;
  syncing: { ready: Ready; finishedAtMs: number } | undefined;
  applied: number;
  /** Pending reads by read id, with the lowest index that the read may return. */
  readonly reads: Map<number, { minIndex: number }>;
  /** Terms of the proposals of this member, by log index. */
  readonly proposals: Map<number, number>;
}

interface InFlight {
  readonly dueAtMs: number;
  readonly deliver: () => void;
}

/** Safety rules; a test disables one to show that the checks detect its absence. */
export interface GroupRules {
  /** The term and vote are stored on disk before the vote is sent. */
  readonly syncVotes: boolean;
  /** A member whose disk was wiped restarts with a new incarnation. */
  readonly newIncarnationAfterWipe: boolean;
  readonly createCore: (options: ConsensusOptions) => Consensus;
}

/** All rules enabled, with the production {@link Consensus}. */
export const DEFAULT_RULES: GroupRules = {
  syncVotes: true,
  newIncarnationAfterWipe: true,
  createCore: (options) => new Consensus(options),
};

/** Options of {@link FakeGroup}. */
export interface FakeGroupOptions {
  readonly random: RandomSource;
  readonly voters: number;
  readonly spares?: number;
  readonly rules?: GroupRules;
  /** Probability that a message is lost, and also that it is duplicated. */
  readonly lossRate?: number;
}

/** Simulated members, their network and disks, and the checks on the history of the group. */
export class FakeGroup {
  /** Descriptions of violated properties; empty as long as all hold. */
  readonly violations: string[] = [];
  /** Terms of the acknowledged commands, by log index. */
  readonly acknowledged = new Map<number, number>();
  finishedReads = 0;
  private readonly random: RandomSource;
  private readonly rules: GroupRules;
  private readonly lossRate: number;
  private readonly targetVoters: number;
  private readonly members = new Map<string, Member>();
  /** Blocked directions, as `from>to`. */
  private readonly blockedLinks = new Set<string>();
  /** Leader of each term. */
  private readonly leaders = new Map<number, string>();
  /** First entry that any member applied, by log index. */
  private readonly committed = new Map<number, LogEntry>();
  private inFlight: InFlight[] = [];
  private nowMs = 0;
  private nextReadId = 1;
  private nextCommand = 1;
  private lastIncarnation = 1;

  constructor(options: FakeGroupOptions) {
    this.random = options.random;
    this.rules = options.rules ?? DEFAULT_RULES;
    this.lossRate = options.lossRate ?? 0.05;
    this.targetVoters = options.voters;
    const names = 'abcdefg'.slice(0, options.voters + (options.spares ?? 0)).split('');
    const voters = names.slice(0, options.voters).map((name) => `${name}#1`);
    for (const name of names) this.addMember(`${name}#1`, { voters, learners: [] });
  }

  /** Names of the instances. */
  get names(): string[] {
    return [...this.members.keys()];
  }

  /** Highest term of the members that are up. */
  get highestTerm(): number {
    return Math.max(...this.up().map((member) => member.core.currentTerm));
  }

  /** Returns the leader with the highest term, if any member is leader. */
  leader(): Member | undefined {
    const leading = this.up().filter((member) => member.core.role === 'leader');
    return leading.sort((a, b) => b.core.currentTerm - a.core.currentTerm)[0];
  }

  /** Advances the simulated time; stops at the first violation. */
  run(durationMs: number): void {
    const untilMs = this.nowMs + durationMs;
    while (this.nowMs < untilMs && this.violations.length === 0) {
      this.nowMs += TICK_MS;
      const due = this.inFlight.filter((message) => message.dueAtMs <= this.nowMs);
      this.inFlight = this.inFlight.filter((message) => message.dueAtMs > this.nowMs);
      for (const message of due) message.deliver();
      for (const member of this.up()) {
        this.tickIfDue(member);
        this.drive(member);
      }
    }
  }

  /** Suspends all members for a time; messages in flight arrive before their next tick. */
  suspend(durationMs: number): void {
    this.nowMs += durationMs;
  }

  /** Ticks as the driver does: a tick that is announced too late delays elections and heartbeats. */
  private tickIfDue(member: Member): void {
    const nowMs = this.clockOf(member);
    if (member.core.nextTickMs <= nowMs) member.core.tick(nowMs);
  }

  /** Proposes a command to the member on an instance. */
  propose(name: string): void {
    const member = this.members.get(name);
    if (member?.isUp !== true) return;
    const command = this.nextCommand;
    this.nextCommand += 1;
    const outcome = member.core.propose(new Uint8Array([command & 255, command >> 8]));
    if (outcome.accepted) member.proposals.set(outcome.index, outcome.term);
    this.drive(member);
  }

  /** Starts a linearizable read at the member on an instance. */
  read(name: string): void {
    const member = this.members.get(name);
    if (member?.isUp !== true) return;
    const readId = this.nextReadId;
    this.nextReadId += 1;
    const minIndex = Math.max(0, ...this.acknowledged.keys());
    if (member.core.requestRead(readId)) member.reads.set(readId, { minIndex });
    this.drive(member);
  }

  /** Crashes an instance; state that is not synced is lost. */
  crash(name: string): void {
    const member = this.members.get(name);
    if (member === undefined) return;
    member.isUp = false;
    member.syncing = undefined;
  }

  /** Restarts a crashed instance from its disk. */
  restart(name: string): void {
    const member = this.members.get(name);
    if (member === undefined || member.isUp) return;
    this.startCore(member);
  }

  /** Crashes an instance and wipes its disk. */
  wipe(name: string): void {
    const member = this.members.get(name);
    if (member === undefined) return;
    this.crash(name);
    member.disk = createEmptyDisk(
      this.rules.newIncarnationAfterWipe ? { voters: [], learners: [] } : this.initialConfig(),
    );
    if (this.rules.newIncarnationAfterWipe) {
      this.lastIncarnation += 1;
      member.memberId = `${name}#${this.lastIncarnation}`;
    }
  }

  /** Blocks messages in one direction. */
  blockLink(from: string, to: string): void {
    this.blockedLinks.add(`${from}>${to}`);
  }

  /** Partitions an instance from all others. */
  isolate(name: string): void {
    for (const other of this.names) {
      this.blockLink(name, other);
      this.blockLink(other, name);
    }
  }

  /** Unblocks all links. */
  unblockLinks(): void {
    this.blockedLinks.clear();
  }

  /** Makes a member able or unable to apply commands; unable until its restart at the latest. */
  setAbleToApply(name: string, canApply: boolean): void {
    const member = this.members.get(name);
    if (member?.isUp !== true) return;
    member.canApply = canApply;
    member.core.setAbleToLead(canApply);
  }

  /** Starts a leadership transfer. */
  transfer(): void {
    const leader = this.leader();
    if (leader !== undefined) leader.core.transferLeadership(this.clockOf(leader));
  }

  /** Lets the leader propose the next planned membership change, if any. */
  repair(): void {
    const leader = this.leader();
    if (leader === undefined) return;
    leader.core.tick(this.clockOf(leader));
    const members = new Map(
      [...leader.core.memberProgress()].map(([memberId, progress]) => [
        memberId,
        {
          memberId,
          lastContactAgoMs: progress.lastContactAgoMs,
          lastReplyAgoMs: progress.lastReplyAgoMs,
          lagEntries: leader.core.commitIndex - progress.matchIndex,
        },
      ]),
    );
    const next = planMembership({
      config: leader.core.config,
      selfId: leader.memberId,
      members,
      liveIds: this.up().map((member) => member.memberId),
      targetVoters: this.targetVoters,
      replaceAfterMs: REPLACE_AFTER_MS,
      maxReplyAgeMs: ELECTION_TIMEOUT_MS,
      maxLagEntries: 2,
    });
    if (next !== undefined) leader.core.proposeConfig(next);
    this.drive(leader);
  }

  /** Stores a snapshot of the applied state and compacts the log. */
  snapshot(name: string): void {
    const member = this.members.get(name);
    if (member?.isUp !== true || member.syncing !== undefined) return;
    const term = member.core.termAt(member.applied);
    if (term === undefined) return;
    const position = { index: member.applied, term, config: member.core.configAt(member.applied) };
    member.disk.snapshot = position;
    member.disk.entries = member.disk.entries.filter((entry) => entry.index > position.index);
    member.core.compactTo(position.index - TRAILING_ENTRIES);
  }

  /** Restarts and reconnects all instances and checks that no acknowledged entry was lost. */
  settle(options: { readonly isLeaderExpected: boolean }): void {
    this.unblockLinks();
    for (const name of this.names) {
      this.restart(name);
      this.setAbleToApply(name, true);
    }
    for (let round = 0; round < 60; round += 1) {
      this.run(100);
      this.repair();
    }
    const leader = this.leader();
    if (leader === undefined) {
      if (options.isLeaderExpected) this.violations.push('no leader although all instances are up');
      return;
    }
    this.checkCompleteness(leader);
  }

  private up(): Member[] {
    return [...this.members.values()].filter((member) => member.isUp);
  }

  private clockOf(member: Member): number {
    return this.nowMs * member.clockRate;
  }

  private initialConfig(): GroupConfig {
    const voters = this.names.slice(0, this.targetVoters).map((name) => `${name}#1`);
    return { voters, learners: [] };
  }

  private addMember(memberId: string, config: GroupConfig): void {
    const isVoter = config.voters.includes(memberId);
    const disk = createEmptyDisk(isVoter ? config : { voters: [], learners: [] });
    const clockRate = 0.98 + 0.04 * this.random();
    const member: Member = {
      memberId,
      core: this.createCore(memberId, disk, 0),
      disk,
      isUp: true,
      canApply: true,
      clockRate,
      syncing: undefined,
      applied: 0,
      reads: new Map(),
      proposals: new Map(),
    };
    this.members.set(instanceOf(memberId), member);
  }

  private createCore(memberId: string, disk: Disk, nowMs: number): Consensus {
    return this.rules.createCore({
      memberId,
      random: this.random,
      nowMs,
      snapshot: disk.snapshot,
      entries: disk.entries,
      electionTimeoutMs: ELECTION_TIMEOUT_MS,
      firstElectionTimeoutMs: ELECTION_TIMEOUT_MS / 8,
      heartbeatIntervalMs: HEARTBEAT_MS,
      idleHeartbeatIntervalMs: IDLE_HEARTBEAT_MS,
      ...(disk.hardState === undefined ? {} : { hardState: disk.hardState }),
    });
  }

  private startCore(member: Member): void {
    member.core = this.createCore(member.memberId, member.disk, this.clockOf(member));
    member.isUp = true;
    member.canApply = true;
    member.applied = member.disk.snapshot.index;
    member.reads.clear();
    member.proposals.clear();
  }

  private drive(member: Member): void {
    if (member.syncing !== undefined) {
      if (this.nowMs < member.syncing.finishedAtMs) return;
      this.finishSync(member, member.syncing.ready);
    }
    const ready = member.core.takeReady();
    this.checkLeader(member);
    for (const message of ready.earlyMessages) this.send(member, message);
    for (const to of ready.snapshotsTo) this.sendSnapshot(member, to);
    for (const entry of ready.committed) this.apply(member, entry);
    for (const read of ready.reads) this.finishRead(member, read.readId, read.index);
    const needsSync = ready.hardState !== undefined || ready.entries.length > 0;
    if (!needsSync) {
      for (const message of ready.messages) this.send(member, message);
      return;
    }
    member.syncing = { ready, finishedAtMs: this.nowMs + this.random() * MAX_SYNC_MS };
  }

  private finishSync(member: Member, ready: Ready): void {
    member.syncing = undefined;
    if (ready.hardState !== undefined && this.rules.syncVotes)
      member.disk.hardState = ready.hardState;
    const first = ready.entries[0];
    if (first !== undefined) {
      const kept = member.disk.entries.filter((entry) => entry.index < first.index);
      member.disk.entries = [...kept, ...ready.entries];
    }
    for (const message of ready.messages) this.send(member, message);
    member.core.persisted(ready);
  }

  private send(from: Member, message: ConsensusMessage): void {
    const sender = instanceOf(from.memberId);
    const receiver = instanceOf(message.to);
    if (this.random() < this.lossRate) return;
    const copies = this.random() < this.lossRate ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      this.inFlight.push({
        dueAtMs: this.nowMs + this.random() * MAX_DELAY_MS,
        deliver: () => {
          const member = this.members.get(receiver);
          if (member?.isUp !== true || this.blockedLinks.has(`${sender}>${receiver}`)) return;
          member.core.receive(message, this.clockOf(member));
        },
      });
    }
  }

  private sendSnapshot(from: Member, memberId: string): void {
    const receiver = instanceOf(memberId);
    const sender = instanceOf(from.memberId);
    this.snapshot(sender);
    const position = from.disk.snapshot;
    this.inFlight.push({
      dueAtMs: this.nowMs + this.random() * MAX_DELAY_MS,
      deliver: () => {
        const member = this.members.get(receiver);
        const isReachable =
          !this.blockedLinks.has(`${sender}>${receiver}`) && member?.memberId === memberId;
        if (member?.isUp === true && isReachable && member.syncing === undefined) {
          this.install(member, position, from.memberId);
        }
        if (from.isUp) from.core.snapshotSent(memberId);
      },
    });
  }

  private install(member: Member, position: SnapshotPosition, leaderId: string): void {
    if (!member.core.installSnapshot(position, leaderId)) return;
    member.disk.snapshot = position;
    member.disk.entries = [];
    member.applied = position.index;
  }

  private apply(member: Member, entry: LogEntry): void {
    if (entry.index !== member.applied + 1) {
      this.violations.push(
        `${member.memberId} applied entry ${entry.index} after ${member.applied}`,
      );
    }
    member.applied = entry.index;
    const known = this.committed.get(entry.index);
    if (known === undefined) this.committed.set(entry.index, entry);
    else if (known.term !== entry.term || !sameBytes(known.data, entry.data)) {
      this.violations.push(`two different entries were committed at index ${entry.index}`);
    }
    if (member.proposals.get(entry.index) === entry.term) {
      this.acknowledged.set(entry.index, entry.term);
    }
  }

  private finishRead(member: Member, readId: number, index: number): void {
    const read = member.reads.get(readId);
    if (read === undefined) return;
    member.reads.delete(readId);
    this.finishedReads += 1;
    if (index < read.minIndex) {
      this.violations.push(
        `a read at ${member.memberId} returned index ${index}, expected ${read.minIndex} or higher`,
      );
    }
  }

  private checkLeader(member: Member): void {
    if (member.core.role !== 'leader') return;
    if (!member.canApply) {
      this.violations.push(`${member.memberId} leads though it cannot apply commands`);
    }
    const term = member.core.currentTerm;
    const known = this.leaders.get(term);
    if (known === undefined) {
      this.leaders.set(term, member.memberId);
      this.checkCompleteness(member);
    } else if (known !== member.memberId) {
      this.violations.push(`term ${term} has two leaders, ${known} and ${member.memberId}`);
    }
  }

  private checkCompleteness(leader: Member): void {
    for (const [index, term] of this.acknowledged) {
      const heldTerm = leader.core.termAt(index);
      const isCompacted = heldTerm === undefined && index <= leader.disk.snapshot.index;
      if (heldTerm !== term && !isCompacted) {
        this.violations.push(`leader ${leader.memberId} lacks acknowledged entry ${index}`);
        return;
      }
    }
  }
}

function createEmptyDisk(config: GroupConfig): Disk {
  return { hardState: undefined, entries: [], snapshot: { index: 0, term: 0, config } };
}

function sameBytes(a: Uint8Array, b: Uint8Array): boolean {
  return Buffer.compare(a, b) === 0;
}
