/**
 * Messages, log entries and configurations of a consensus group.
 */

/** Voters and learners of a group, by member id (`instance#incarnation`). */
export interface GroupConfig {
  readonly voters: readonly string[];
  readonly learners: readonly string[];
}

/** Kind of a log entry: a no-op of a new leader, a command, or a membership change. */
export type EntryKind = 'noop' | 'command' | 'config';

/** Entry of the replicated log. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly kind: EntryKind;
  readonly data: Uint8Array;
  readonly config?: GroupConfig;
}

/** Raft state that must be synced to disk before any message that depends on it is sent. */
export interface HardState {
  readonly term: number;
  readonly votedFor: string;
}

/** Position in the log of the last entry that a snapshot covers, and the configuration there. */
export interface SnapshotPosition {
  readonly index: number;
  readonly term: number;
  readonly config: GroupConfig;
}

interface Envelope {
  readonly from: string;
  readonly to: string;
  readonly term: number;
}

/** Asks whether the sender could win an election, without raising the term. */
export interface PreVoteMessage extends Envelope {
  readonly type: 'preVote';
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Reply to {@link PreVoteMessage}. */
export interface PreVoteReply extends Envelope {
  readonly type: 'preVoteReply';
  readonly granted: boolean;
}

/** Asks for a vote in the term of the message. */
export interface VoteMessage extends Envelope {
  readonly type: 'vote';
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** The leader requested this election, so recent contact with it is no reason to ignore it. */
  readonly transfer: boolean;
}

/** Reply to {@link VoteMessage}. */
export interface VoteReply extends Envelope {
  readonly type: 'voteReply';
  readonly granted: boolean;
}

/** Log entries sent by the leader. */
export interface AppendMessage extends Envelope {
  readonly type: 'append';
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
}

/** Reply to {@link AppendMessage}; sent after the entries are synced. */
export interface AppendReply extends Envelope {
  readonly type: 'appendReply';
  readonly success: boolean;
  /** Highest matching index; after a rejection, a hint where the logs may match. */
  readonly matchIndex: number;
  /** Set while the member cannot apply commands; omitted by earlier versions. */
  readonly cannotLead?: boolean;
}

/** Confirms the leader to its followers and carries the commit index. */
export interface HeartbeatMessage extends Envelope {
  readonly type: 'heartbeat';
  readonly commitIndex: number;
  /** Number of the heartbeat round; a read waits until a quorum has replied to its round. */
  readonly round: number;
}

/** Reply to {@link HeartbeatMessage}. */
export interface HeartbeatReply extends Envelope {
  readonly type: 'heartbeatReply';
  readonly round: number;
  /** Set while the member cannot apply commands; omitted by earlier versions. */
  readonly cannotLead?: boolean;
}

/** Asks the target of a leadership transfer to start an election immediately. */
export interface TimeoutNowMessage extends Envelope {
  readonly type: 'timeoutNow';
}

/** Any message between members of a group. */
export type ConsensusMessage =
  | PreVoteMessage
  | PreVoteReply
  | VoteMessage
  | VoteReply
  | AppendMessage
  | AppendReply
  | HeartbeatMessage
  | HeartbeatReply
  | TimeoutNowMessage;

/** Work that a member hands to its driver. */
export interface Ready {
  /** To be synced before {@link Ready.messages} are sent. */
  readonly hardState: HardState | undefined;
  /** To be synced; the first entry replaces all stored entries from its index on. */
  readonly entries: readonly LogEntry[];
  /** May be sent immediately, while the sync is still running. */
  readonly earlyMessages: readonly ConsensusMessage[];
  /** Must not be sent before the sync has finished. */
  readonly messages: readonly ConsensusMessage[];
  /** Entries that are committed and synced on this member; to be applied in order. */
  readonly committed: readonly LogEntry[];
  /** Reads that may be served once their `index` is applied. */
  readonly reads: readonly ReadState[];
  /** Members that need a snapshot. */
  readonly snapshotsTo: readonly string[];
}

/** Linearizable read whose leader was confirmed by a quorum. */
export interface ReadState {
  readonly readId: number;
  readonly index: number;
}

/** Raft role of a member in its group. */
export type Role = 'follower' | 'preCandidate' | 'candidate' | 'leader';
