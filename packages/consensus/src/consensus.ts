/**
 * Member of a replicated log group, as a state machine without input or output of its own.
 *
 * The algorithm is Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) with
 * pre-vote, check-quorum, read-index reads, learners, one-at-a-time membership changes and
 * leadership transfer. It reads no clock, socket or file: each event carries `nowMs`, and
 * {@link Consensus.takeReady} returns what the driver has to sync, send and apply.
 */
import { match } from 'ts-pattern';
import { Followers } from './followers.js';
import { HeartbeatSchedule } from './heartbeat-schedule.js';
import type { HeartbeatScheduleOptions, LeaderState } from './heartbeat-schedule.js';
import { LeadershipTransfer } from './leadership-transfer.js';
import { MemoryLog } from './log.js';
import { PendingReads } from './pending-reads.js';
import type { Progress } from './progress.js';
import { QuorumCheck } from './quorum-check.js';
import type {
  AppendMessage,
  AppendReply,
  ConsensusMessage,
  GroupConfig,
  HardState,
  HeartbeatMessage,
  HeartbeatReply,
  LogEntry,
  PreVoteMessage,
  PreVoteReply,
  ReadState,
  Ready,
  Role,
  SnapshotPosition,
  VoteMessage,
  VoteReply,
} from './messages.js';

const EMPTY_DATA = new Uint8Array(0);

/** Options of {@link Consensus}. */
export interface ConsensusOptions {
  /** Id of this member, `instance#incarnation`. */
  readonly memberId: string;
  /** Random numbers in [0, 1) for the jitter of the election timeout. */
  readonly random: () => number;
  readonly nowMs: number;
  /** Position of the stored snapshot; index 0 with the initial configuration if there is none. */
  readonly snapshot: SnapshotPosition;
  readonly hardState?: HardState;
  /** Stored log entries after the snapshot. */
  readonly entries?: readonly LogEntry[];
  /**
   * Minimum time without contact to a leader before an election. Random jitter of up to the same
   * time is added.
   */
  readonly electionTimeoutMs?: number;
  /**
   * Minimum time from the start to the first election, doubled with each attempt up to the election
   * timeout; defaults to the election timeout. With a short time, a group that restarts as a whole
   * elects a leader sooner. A group that has a leader rejects the pre-vote of a member that starts.
   */
  readonly firstElectionTimeoutMs?: number;
  readonly heartbeatIntervalMs?: number;
  /**
   * Interval of the heartbeats while the log is idle and all followers reply; defaults to
   * `heartbeatIntervalMs`. At most a third of the election timeout of any member.
   */
  readonly idleHeartbeatIntervalMs?: number;
  /** Maximum size of the entries in one append message. */
  readonly maxMessageBytes?: number;
}

/** Log position of an accepted proposal, or the leader that the caller should use instead. */
export type ProposeOutcome =
  | { readonly accepted: true; readonly index: number; readonly term: number }
  | { readonly accepted: false; readonly leaderId: string };

/** Replication progress of another member, as seen by the leader. */
export interface MemberProgress {
  readonly matchIndex: number;
  /** Time since the last reply of the member, or since the leader was elected if none came. */
  readonly lastContactAgoMs: number;
  /** Time since the last reply of the member to this leader; infinite if none came. */
  readonly lastReplyAgoMs: number;
}

/** Member of a consensus group. */
export class Consensus {
  readonly memberId: string;
  private readonly random: () => number;
  private readonly electionTimeoutMs: number;
  private readonly maxMessageBytes: number;

  private readonly log: MemoryLog;
  private term: number;
  private votedFor: string;
  private savedHardState: HardState;
  private currentRole: Role = 'follower';
  private currentLeader = '';
  /** Doubles up to the election timeout with each attempt until a leader is known. */
  private startTimeoutMs: number;
  private committedIndex: number;
  /** Last index that was handed to the driver to be applied. */
  private handedOutIndex: number;
  /** Last index that is synced to disk. */
  private stableIndex: number;
  /** First index that was not yet handed to the driver to be synced. */
  private unstableFrom: number;

  private nowMs: number;
  private lastTickMs: number;
  private electionDeadlineMs = 0;
  private lastLeaderContactMs = -Infinity;
  private readonly heartbeatIntervals: HeartbeatScheduleOptions;
  private heartbeats: HeartbeatSchedule;
  private readonly quorumCheck: QuorumCheck;
  private votes = new Map<string, boolean>();
  private readonly followers: Followers;
  private round = 0;
  private isAbleToLead = true;
  private isHeartbeatDue = false;
  private readonly pendingReads = new PendingReads();
  private readonly transfer = new LeadershipTransfer();

  private earlyMessages: ConsensusMessage[] = [];
  private messages: ConsensusMessage[] = [];
  private readyReads: ReadState[] = [];
  private snapshotsTo: string[] = [];

  constructor(options: ConsensusOptions) {
    this.memberId = options.memberId;
    this.followers = new Followers(options.memberId);
    this.random = options.random;
    this.nowMs = options.nowMs;
    this.lastTickMs = options.nowMs;
    this.electionTimeoutMs = options.electionTimeoutMs ?? 1000;
    this.quorumCheck = new QuorumCheck(this.electionTimeoutMs);
    const intervalMs = options.heartbeatIntervalMs ?? 100;
    const idleIntervalMs = options.idleHeartbeatIntervalMs ?? intervalMs;
    this.heartbeatIntervals = { intervalMs, idleIntervalMs };
    this.heartbeats = new HeartbeatSchedule(this.heartbeatIntervals);
    this.maxMessageBytes = options.maxMessageBytes ?? 512 * 1024;
    this.log = new MemoryLog({
      baseIndex: options.snapshot.index,
      baseTerm: options.snapshot.term,
      baseConfig: options.snapshot.config,
      entries: options.entries ?? [],
    });
    this.term = Math.max(options.hardState?.term ?? 0, this.log.lastTerm);
    this.votedFor = options.hardState?.term === this.term ? options.hardState.votedFor : '';
    this.savedHardState = { term: this.term, votedFor: this.votedFor };
    this.committedIndex = options.snapshot.index;
    this.handedOutIndex = options.snapshot.index;
    this.stableIndex = this.log.lastIndex;
    this.unstableFrom = this.log.lastIndex + 1;
    this.startTimeoutMs = options.firstElectionTimeoutMs ?? this.electionTimeoutMs;
    this.resetElectionDeadline();
    this.campaignIfOnlyVoter();
  }

  /** Raft role of this member. */
  get role(): Role {
    return this.currentRole;
  }

  /** Member id of the leader known to this member; empty if unknown. */
  get leaderId(): string {
    return this.currentLeader;
  }

  get currentTerm(): number {
    return this.term;
  }

  /** Highest index that this member knows to be committed. */
  get commitIndex(): number {
    return this.committedIndex;
  }

  /** Last index of this member's log. */
  get lastIndex(): number {
    return this.log.lastIndex;
  }

  /** Configuration in effect: the latest in the log, committed or not. */
  get config(): GroupConfig {
    return this.log.config.config;
  }

  /** Whether a membership change is still uncommitted. */
  get isConfigChangePending(): boolean {
    return this.log.config.index > this.committedIndex;
  }

  /** Returns the configuration in effect at an index, for a snapshot at that index. */
  configAt(index: number): GroupConfig {
    return this.log.configAt(index);
  }

  /** Returns the term of an index, or undefined if the index is not in memory. */
  termAt(index: number): number | undefined {
    return this.log.termAt(index);
  }

  /**
   * Returns the committed entries after an index that were handed to the driver before; throws if the
   * first of them have been compacted.
   */
  committedEntriesAfter(index: number): LogEntry[] {
    const { baseIndex } = this.log;
    if (index < baseIndex) throw new Error(`the log begins after entry ${baseIndex}, not ${index}`);
    return this.log.slice(index + 1, this.handedOutIndex);
  }

  /**
   * Whether this member may lead; while not, it votes and stores entries, but starts no election. A
   * leader hands over to the voter with the most entries, and steps down.
   */
  setAbleToLead(isAble: boolean): void {
    this.isAbleToLead = isAble;
    if (isAble) {
      this.resetElectionDeadline();
      return;
    }
    if (this.currentRole !== 'leader') return;
    const to = this.bestTransferTarget();
    if (to !== undefined) {
      this.messages.push({ type: 'timeoutNow', from: this.memberId, to, term: this.term });
    }
    this.becomeFollower(this.term, '');
  }

  /**
   * Returns the replication progress of each other member. Empty unless this member is or was the
   * leader.
   */
  memberProgress(): ReadonlyMap<string, MemberProgress> {
    const result = new Map<string, MemberProgress>();
    for (const [memberId, progress] of this.followers.all) {
      result.set(memberId, {
        matchIndex: progress.matchIndex,
        lastContactAgoMs: this.nowMs - progress.lastContactMs,
        lastReplyAgoMs: this.nowMs - progress.lastReplyMs,
      });
    }
    return result;
  }

  /**
   * Returns the time since the last contact with a quorum: for a leader the last messages of its
   * followers, for other members the last message of the leader. The committed state of this
   * member is at most that old, except for entries that are still being replicated.
   */
  quorumContactAgeMs(nowMs: number): number {
    if (this.currentRole !== 'leader') return nowMs - this.lastLeaderContactMs;
    return nowMs - this.quorumValue((progress) => progress.lastContactMs, nowMs);
  }

  /** Advances the time; starts elections and schedules heartbeats. */
  tick(nowMs: number): void {
    const isLeader = this.currentRole === 'leader';
    if (isLeader) {
      const [previousTickMs, dueMs] = [this.lastTickMs, this.nextTickMs];
      const rounds = { round: this.round, confirmedRound: this.confirmedRound() };
      this.quorumCheck.postponeIfLate({ nowMs, previousTickMs, dueMs, ...rounds });
    }
    this.nowMs = nowMs;
    this.lastTickMs = nowMs;
    if (isLeader) {
      this.tickLeader();
      return;
    }
    if (nowMs >= this.electionDeadlineMs && this.mayCampaign()) this.startPreVote();
  }

  /**
   * Time at which {@link tick} has something to do, in the time of `nowMs`; it may become earlier with
   * each event. A later tick delays elections and heartbeats.
   */
  get nextTickMs(): number {
    if (this.currentRole !== 'leader') {
      return this.mayCampaign() ? this.electionDeadlineMs : Infinity;
    }
    const heartbeatMs = this.heartbeats.dueMs(this.leaderState());
    return Math.min(heartbeatMs, this.quorumCheck.dueMs, this.transfer.deadlineMs);
  }

  /** Handles a message from another member; a message for another member id is ignored. */
  receive(message: ConsensusMessage, nowMs: number): void {
    this.nowMs = nowMs;
    if (message.to !== this.memberId) return;
    if (message.term > this.term) this.handleHigherTerm(message);
    if (message.term < this.term) {
      this.replyToLowerTerm(message);
      return;
    }
    match(message)
      .with({ type: 'preVote' }, (m) => {
        this.onPreVote(m);
      })
      .with({ type: 'preVoteReply' }, (m) => {
        this.onPreVoteReply(m);
      })
      .with({ type: 'vote' }, (m) => {
        this.onVote(m);
      })
      .with({ type: 'voteReply' }, (m) => {
        this.onVoteReply(m);
      })
      .with({ type: 'append' }, (m) => {
        this.onAppend(m);
      })
      .with({ type: 'appendReply' }, (m) => {
        this.onAppendReply(m);
      })
      .with({ type: 'heartbeat' }, (m) => {
        this.onHeartbeat(m);
      })
      .with({ type: 'heartbeatReply' }, (m) => {
        this.onHeartbeatReply(m);
      })
      .with({ type: 'timeoutNow' }, () => {
        this.campaign(true);
      })
      .exhaustive();
  }

  /** Appends a command if this member is the leader and no leadership transfer is running. */
  propose(data: Uint8Array): ProposeOutcome {
    if (this.currentRole !== 'leader' || this.transfer.isRunning) {
      return { accepted: false, leaderId: this.currentRole === 'leader' ? '' : this.currentLeader };
    }
    const entry = this.appendAsLeader('command', data);
    return { accepted: true, index: entry.index, term: entry.term };
  }

  /**
   * Appends a configuration that changes at most one voter. Returns false if this member is not the
   * leader, a change is still uncommitted, or no entry of the current term is committed yet.
   */
  proposeConfig(config: GroupConfig): boolean {
    if (this.currentRole !== 'leader' || this.isConfigChangePending) return false;
    if (!this.hasCommittedInTerm()) return false;
    if (changedVoters(this.config, config) > 1) return false;
    this.appendAsLeader('config', EMPTY_DATA, config);
    this.trackMembers();
    return true;
  }

  /** Starts a linearizable read, reported in {@link Ready.reads}. Returns false if not leader. */
  requestRead(readId: number): boolean {
    if (this.currentRole !== 'leader') return false;
    this.pendingReads.add(readId);
    this.isHeartbeatDue = true;
    return true;
  }

  /**
   * Starts a leadership transfer to the responsive voter with the most entries. Returns false if
   * this member is not the leader, a transfer is running, or no such voter exists.
   */
  transferLeadership(nowMs: number): boolean {
    this.nowMs = nowMs;
    if (this.currentRole !== 'leader' || this.transfer.isRunning) return false;
    const target = this.bestTransferTarget();
    return target !== undefined && this.transferLeadershipTo(target, nowMs);
  }

  /**
   * Starts a leadership transfer to the given voter. Returns false if this member is not the
   * leader, a transfer is running, or the target is not a responsive voter.
   */
  transferLeadershipTo(target: string, nowMs: number): boolean {
    this.nowMs = nowMs;
    if (this.currentRole !== 'leader' || this.transfer.isRunning) return false;
    if (!this.transferCandidates().includes(target)) return false;
    this.transfer.start(target, nowMs + this.electionTimeoutMs);
    this.finishTransfer();
    return true;
  }

  /** Resumes replication to a member after a snapshot transfer has ended, successful or not. */
  snapshotSent(memberId: string): void {
    this.followers.get(memberId)?.restartProbing();
  }

  /**
   * Installs a snapshot that the driver has already synced. Returns false if the snapshot is not
   * newer than the committed entries of this member.
   */
  installSnapshot(position: SnapshotPosition, leaderId: string): boolean {
    if (position.index <= this.committedIndex) return false;
    this.log.reset(position.index, position.term, position.config);
    this.committedIndex = position.index;
    this.handedOutIndex = position.index;
    this.stableIndex = position.index;
    this.unstableFrom = position.index + 1;
    this.sendAppendReply(leaderId, true, position.index);
    return true;
  }

  /** Discards the applied entries up to `index`, which a snapshot covers. */
  compactTo(index: number): void {
    this.log.compactTo(Math.min(index, this.handedOutIndex));
  }

  /** Returns and clears the work that has accumulated since the last call. */
  takeReady(): Ready {
    if (this.isHeartbeatDue) this.broadcastHeartbeat();
    const hardState = this.changedHardState();
    const entries = this.log.slice(this.unstableFrom, this.log.lastIndex);
    const committed = this.takeCommitted();
    const ready: Ready = {
      hardState,
      entries,
      earlyMessages: this.earlyMessages,
      messages: this.messages,
      committed,
      reads: this.readyReads,
      snapshotsTo: this.snapshotsTo,
    };
    this.unstableFrom = this.log.lastIndex + 1;
    this.earlyMessages = [];
    this.messages = [];
    this.readyReads = [];
    this.snapshotsTo = [];
    return ready;
  }

  /** Records that the entries of a {@link Ready} are synced. */
  persisted(ready: Ready): void {
    const last = ready.entries.at(-1);
    if (last === undefined) return;
    // A newer leader may have replaced the entry while it was being synced.
    if (this.log.termAt(last.index) !== last.term) return;
    this.stableIndex = Math.max(this.stableIndex, last.index);
    if (this.currentRole === 'leader') this.advanceCommit();
  }

  /** Members whose votes and replies count towards a quorum. */
  protected quorumMembers(): readonly string[] {
    return this.config.voters;
  }

  /** Whether an election starts with a pre-vote. */
  protected usesPreVote(): boolean {
    return true;
  }

  private isVoter(memberId: string): boolean {
    return this.quorumMembers().includes(memberId);
  }

  private quorumSize(): number {
    return Math.floor(this.quorumMembers().length / 2) + 1;
  }

  private changedHardState(): HardState | undefined {
    const saved = this.savedHardState;
    if (saved.term === this.term && saved.votedFor === this.votedFor) return undefined;
    this.savedHardState = { term: this.term, votedFor: this.votedFor };
    return this.savedHardState;
  }

  private takeCommitted(): LogEntry[] {
    const until = Math.min(this.committedIndex, this.stableIndex);
    const committed = this.log.slice(this.handedOutIndex + 1, until);
    this.handedOutIndex = Math.max(this.handedOutIndex, until);
    return committed;
  }

  private resetElectionDeadline(): void {
    const timeoutMs = Math.min(this.startTimeoutMs, this.electionTimeoutMs);
    const jitterMs = this.random() * timeoutMs;
    this.electionDeadlineMs = this.nowMs + timeoutMs + jitterMs;
    // Members that are still starting reply slowly; the doubled timeout allows for that.
    this.startTimeoutMs = timeoutMs * 2;
  }

  private campaignIfOnlyVoter(): void {
    if (this.quorumMembers().length === 1 && this.isVoter(this.memberId)) this.campaign(false);
  }

  private becomeFollower(term: number, leaderId: string): void {
    if (term > this.term) {
      this.term = term;
      this.votedFor = '';
    }
    this.currentRole = 'follower';
    this.currentLeader = leaderId;
    if (leaderId !== '') this.startTimeoutMs = this.electionTimeoutMs;
    this.pendingReads.clear();
    this.transfer.end();
    this.resetElectionDeadline();
  }

  private tickLeader(): void {
    this.transfer.endIfExpired(this.nowMs);
    if (this.nowMs >= this.quorumCheck.dueMs) {
      this.quorumCheck.scheduleNext(this.nowMs);
      if (!this.hasQuorumContact()) {
        this.becomeFollower(this.term, '');
        return;
      }
    }
    if (this.nowMs >= this.heartbeats.dueMs(this.leaderState())) this.isHeartbeatDue = true;
  }

  private leaderState(): LeaderState {
    const { lastIndex } = this.log;
    const { committedIndex: commitIndex } = this;
    let isSettled =
      commitIndex === lastIndex && this.pendingReads.isEmpty && !this.transfer.isRunning;
    let ackedRound = Infinity;
    let hasSilentFollower = false;
    for (const [memberId, progress] of this.followers.all) {
      isSettled &&= progress.matchIndex === lastIndex;
      ackedRound = Math.min(ackedRound, progress.ackedRound);
      hasSilentFollower ||= !this.hasRecentContact(memberId);
    }
    return { commitIndex, isSettled, ackedRound, hasSilentFollower };
  }

  private hasRecentContact(memberId: string): boolean {
    return this.followers.hasRecentContact(memberId, this.electionTimeoutMs, this.nowMs);
  }

  private hasQuorumContact(): boolean {
    const responsive = this.quorumMembers().filter((memberId) => this.hasRecentContact(memberId));
    return responsive.length >= this.quorumSize();
  }

  private startPreVote(): void {
    this.resetElectionDeadline();
    if (!this.usesPreVote()) {
      this.campaign(false);
      return;
    }
    this.currentRole = 'preCandidate';
    this.currentLeader = '';
    this.votes = new Map([[this.memberId, true]]);
    for (const to of this.otherVoters()) {
      this.messages.push({
        type: 'preVote',
        from: this.memberId,
        to,
        term: this.term,
        lastIndex: this.log.lastIndex,
        lastTerm: this.log.lastTerm,
      });
    }
    if (this.countVotes() >= this.quorumSize()) this.campaign(false);
  }

  private mayCampaign(): boolean {
    return this.isAbleToLead && this.isVoter(this.memberId);
  }

  private campaign(transfer: boolean): void {
    if (!this.mayCampaign()) return;
    this.currentRole = 'candidate';
    this.currentLeader = '';
    this.term += 1;
    this.votedFor = this.memberId;
    this.votes = new Map([[this.memberId, true]]);
    this.resetElectionDeadline();
    for (const to of this.otherVoters()) {
      this.messages.push({
        type: 'vote',
        from: this.memberId,
        to,
        term: this.term,
        lastIndex: this.log.lastIndex,
        lastTerm: this.log.lastTerm,
        transfer,
      });
    }
    if (this.countVotes() >= this.quorumSize()) this.becomeLeader();
  }

  private otherVoters(): string[] {
    return this.quorumMembers().filter((memberId) => memberId !== this.memberId);
  }

  private countVotes(): number {
    return this.quorumMembers().filter((memberId) => this.votes.get(memberId) === true).length;
  }

  private becomeLeader(): void {
    // It may have become unable to lead since it started the election.
    if (!this.isAbleToLead) return;
    this.currentRole = 'leader';
    this.currentLeader = this.memberId;
    this.startTimeoutMs = this.electionTimeoutMs;
    this.followers.clear();
    this.transfer.end();
    this.pendingReads.clear();
    this.quorumCheck.start(this.nowMs);
    this.heartbeats = new HeartbeatSchedule(this.heartbeatIntervals);
    this.trackMembers();
    this.appendAsLeader('noop', EMPTY_DATA);
    this.isHeartbeatDue = true;
  }

  private trackMembers(): void {
    const members = [...this.config.voters, ...this.config.learners];
    this.followers.setMembers(members, this.log.lastIndex + 1, this.nowMs);
  }

  private appendAsLeader(kind: LogEntry['kind'], data: Uint8Array, config?: GroupConfig): LogEntry {
    const position = { index: this.log.lastIndex + 1, term: this.term };
    const entry: LogEntry = { ...position, kind, data, ...(config ? { config } : {}) };
    this.log.append(entry);
    for (const memberId of this.followers.memberIds) this.replicateTo(memberId);
    return entry;
  }

  private replicateTo(memberId: string): void {
    const progress = this.followers.get(memberId);
    if (progress === undefined) return;
    while (progress.maySend()) {
      const previousIndex = progress.nextIndex - 1;
      const previousTerm = this.log.termAt(previousIndex);
      if (previousTerm === undefined) {
        progress.waitForSnapshot();
        this.snapshotsTo.push(memberId);
        return;
      }
      const entries = this.log.slice(progress.nextIndex, this.log.lastIndex, this.maxMessageBytes);
      if (entries.length === 0 && progress.state !== 'probe') return;
      this.earlyMessages.push({
        type: 'append',
        from: this.memberId,
        to: memberId,
        term: this.term,
        previousIndex,
        previousTerm,
        entries,
        commitIndex: this.committedIndex,
      });
      progress.recordSent(previousIndex + entries.length);
    }
  }

  private broadcastHeartbeat(): void {
    this.isHeartbeatDue = false;
    if (this.currentRole !== 'leader') return;
    this.round += 1;
    this.heartbeats.recordRound(this.round, this.leaderState(), this.nowMs);
    if (this.hasCommittedInTerm()) this.pendingReads.assignRound(this.committedIndex, this.round);
    for (const [to, progress] of this.followers.all) {
      this.earlyMessages.push({
        type: 'heartbeat',
        from: this.memberId,
        to,
        term: this.term,
        commitIndex: Math.min(this.committedIndex, progress.matchIndex),
        round: this.round,
      });
    }
    this.releaseReads();
  }

  private releaseReads(): void {
    this.readyReads.push(...this.pendingReads.release(this.confirmedRound()));
  }

  /** Returns the highest heartbeat round to which a quorum has replied. */
  private confirmedRound(): number {
    return this.quorumValue((progress) => progress.ackedRound, this.round);
  }

  private quorumValue(valueOf: (progress: Progress) => number, own: number): number {
    return this.followers.quorumValue(this.quorumMembers(), valueOf, own);
  }

  private hasCommittedInTerm(): boolean {
    return this.log.termAt(this.committedIndex) === this.term;
  }

  private advanceCommit(): void {
    const index = this.quorumValue((progress) => progress.matchIndex, this.stableIndex);
    if (index <= this.committedIndex || this.log.termAt(index) !== this.term) return;
    this.committedIndex = index;
    // Reads that arrived before the first commit of the term get a heartbeat round now.
    if (this.pendingReads.hasUnassigned) this.isHeartbeatDue = true;
    this.stepDownIfRemoved();
  }

  private stepDownIfRemoved(): void {
    const { config, index } = this.log.config;
    const isStillVoter = config.voters.includes(this.memberId);
    if (!isStillVoter && index <= this.committedIndex) this.becomeFollower(this.term, '');
  }

  private handleHigherTerm(message: ConsensusMessage): void {
    if (message.type === 'preVote') return;
    if (message.type === 'preVoteReply' && message.granted) return;
    if (message.type === 'vote' && !message.transfer && this.hasRecentLeaderContact()) return;
    const fromLeader = message.type === 'append' || message.type === 'heartbeat';
    this.becomeFollower(message.term, fromLeader ? message.from : '');
  }

  private hasRecentLeaderContact(): boolean {
    if (this.currentRole === 'leader') return true;
    if (this.currentLeader === '') return false;
    return this.nowMs - this.lastLeaderContactMs < this.electionTimeoutMs;
  }

  /** Reports the current term to a sender with a lower term. */
  private replyToLowerTerm(message: ConsensusMessage): void {
    if (message.type === 'append' || message.type === 'heartbeat') {
      this.sendAppendReply(message.from, false, this.log.lastIndex);
    }
    if (message.type === 'preVote') this.sendPreVoteReply(message.from, this.term, false);
  }

  private onPreVote(message: PreVoteMessage): void {
    const granted = this.isUpToDate(message) && !this.hasRecentLeaderContact();
    this.sendPreVoteReply(message.from, granted ? message.term : this.term, granted);
  }

  private sendPreVoteReply(to: string, term: number, granted: boolean): void {
    this.messages.push({ type: 'preVoteReply', from: this.memberId, to, term, granted });
  }

  private isUpToDate(candidate: { lastIndex: number; lastTerm: number }): boolean {
    if (candidate.lastTerm !== this.log.lastTerm) return candidate.lastTerm > this.log.lastTerm;
    return candidate.lastIndex >= this.log.lastIndex;
  }

  private onPreVoteReply(message: PreVoteReply): void {
    if (this.currentRole !== 'preCandidate') return;
    this.votes.set(message.from, message.granted);
    if (this.countVotes() >= this.quorumSize()) this.campaign(false);
  }

  private onVote(message: VoteMessage): void {
    if (message.term !== this.term) return;
    if (!message.transfer && this.hasRecentLeaderContact()) return;
    const mayVote = this.votedFor === '' || this.votedFor === message.from;
    const granted = mayVote && this.isUpToDate(message);
    if (granted) {
      this.votedFor = message.from;
      this.resetElectionDeadline();
    }
    this.messages.push({
      type: 'voteReply',
      from: this.memberId,
      to: message.from,
      term: this.term,
      granted,
    });
  }

  private onVoteReply(message: VoteReply): void {
    if (this.currentRole !== 'candidate') return;
    this.votes.set(message.from, message.granted);
    if (this.countVotes() >= this.quorumSize()) this.becomeLeader();
  }

  private recordLeaderContact(leaderId: string): void {
    if (this.currentRole !== 'follower' || this.currentLeader !== leaderId) {
      this.becomeFollower(this.term, leaderId);
    }
    this.lastLeaderContactMs = this.nowMs;
    this.resetElectionDeadline();
  }

  private onAppend(message: AppendMessage): void {
    this.recordLeaderContact(message.from);
    if (message.previousIndex < this.committedIndex) {
      this.sendAppendReply(message.from, true, this.committedIndex);
      return;
    }
    if (this.log.termAt(message.previousIndex) !== message.previousTerm) {
      const hint = Math.min(message.previousIndex - 1, this.log.lastIndex);
      this.sendAppendReply(message.from, false, Math.max(hint, this.committedIndex));
      return;
    }
    for (const entry of message.entries) this.storeEntry(entry);
    const lastNew = message.previousIndex + message.entries.length;
    this.committedIndex = Math.max(this.committedIndex, Math.min(message.commitIndex, lastNew));
    this.sendAppendReply(message.from, true, lastNew);
  }

  private storeEntry(entry: LogEntry): void {
    const term = this.log.termAt(entry.index);
    if (term === entry.term) return;
    if (term !== undefined) {
      this.log.truncateFrom(entry.index);
      this.stableIndex = Math.min(this.stableIndex, entry.index - 1);
      this.unstableFrom = Math.min(this.unstableFrom, entry.index);
    }
    this.log.append(entry);
  }

  private sendAppendReply(to: string, success: boolean, matchIndex: number): void {
    this.messages.push({
      type: 'appendReply',
      from: this.memberId,
      to,
      term: this.term,
      success,
      matchIndex,
      ...this.leadAbility(),
    });
  }

  private onAppendReply(message: AppendReply): void {
    const progress = this.recordContact(message);
    if (progress === undefined) return;
    if (!message.success) {
      progress.recordRejection(message.matchIndex);
      this.replicateTo(message.from);
      return;
    }
    if (progress.recordSuccess(message.matchIndex)) this.advanceCommit();
    this.replicateTo(message.from);
    this.finishTransfer();
  }

  private recordContact({
    from,
    cannotLead = false,
  }: AppendReply | HeartbeatReply): Progress | undefined {
    if (this.currentRole !== 'leader') return undefined;
    const progress = this.followers.get(from);
    if (progress === undefined) return undefined;
    progress.isAbleToLead = !cannotLead;
    progress.lastContactMs = this.nowMs;
    progress.lastReplyMs = this.nowMs;
    return progress;
  }

  private onHeartbeat(message: HeartbeatMessage): void {
    this.recordLeaderContact(message.from);
    this.committedIndex = Math.max(
      this.committedIndex,
      Math.min(message.commitIndex, this.log.lastIndex),
    );
    this.messages.push({
      type: 'heartbeatReply',
      from: this.memberId,
      to: message.from,
      term: this.term,
      round: message.round,
      ...this.leadAbility(),
    });
  }

  private leadAbility(): { readonly cannotLead?: true } {
    return this.isAbleToLead ? {} : { cannotLead: true };
  }

  private onHeartbeatReply(message: HeartbeatReply): void {
    const progress = this.recordContact(message);
    if (progress === undefined) return;
    progress.ackedRound = Math.max(progress.ackedRound, message.round);
    progress.allowProbe();
    if (progress.matchIndex < this.log.lastIndex) this.resendLost(message.from, progress);
    this.releaseReads();
  }

  /** Resends entries whose message or reply was lost, when replication has stalled. */
  private resendLost(memberId: string, progress: Progress): void {
    const stalled = progress.isStalled(progress.matchIndex, this.round);
    if (progress.state === 'replicate' && stalled) progress.restartProbing();
    this.replicateTo(memberId);
  }

  /** Returns the other voters that may lead and sent a message within the election timeout. */
  private transferCandidates(): string[] {
    return this.otherVoters().filter(
      (memberId) =>
        this.hasRecentContact(memberId) && this.followers.get(memberId)?.isAbleToLead !== false,
    );
  }

  private bestTransferTarget(): string | undefined {
    const matchOf = (memberId: string): number => this.followers.get(memberId)?.matchIndex ?? 0;
    return this.transferCandidates().sort((a, b) => matchOf(b) - matchOf(a))[0];
  }

  private finishTransfer(): void {
    const { target: to } = this.transfer;
    if (to === '') return;
    const progress = this.followers.get(to);
    if (progress?.matchIndex !== this.log.lastIndex) return;
    this.messages.push({ type: 'timeoutNow', from: this.memberId, to, term: this.term });
  }
}

/** Number of voters in one configuration and not in the other. */
function changedVoters(before: GroupConfig, after: GroupConfig): number {
  const removed = before.voters.filter((voter) => !after.voters.includes(voter));
  const added = after.voters.filter((voter) => !before.voters.includes(voter));
  return removed.length + added.length;
}
