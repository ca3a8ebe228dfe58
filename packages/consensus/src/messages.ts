/**
 * Messages, log entries and configurations of the consensus core.
 */

/** Members of one group. Identities are `instance#incarnation`. */
export interface GroupConfig {
  readonly voters: readonly string[];
  readonly learners: readonly string[];
}

/** What an entry of the log holds. */
export type EntryKind = 'noop' | 'command' | 'config';

/** One entry of the replicated log. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly kind: EntryKind;
  readonly data: Uint8Array;
  readonly config?: GroupConfig;
}

/** State that must be synced before any answer that depends on it. */
export interface HardState {
  readonly term: number;
  readonly votedFor: string;
}

/** Where a snapshot stands in the log. */
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

/** Asks whether an election could be won, without raising the term. */
export interface PreVoteMessage extends Envelope {
  readonly type: 'preVote';
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Answer to {@link PreVoteMessage}. */
export interface PreVoteReply extends Envelope {
  readonly type: 'preVoteReply';
  readonly granted: boolean;
}

/** Asks for a vote. */
export interface VoteMessage extends Envelope {
  readonly type: 'vote';
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** The old leader asked for this election, so its lease does not count. */
  readonly transfer: boolean;
}

/** Answer to {@link VoteMessage}. */
export interface VoteReply extends Envelope {
  readonly type: 'voteReply';
  readonly granted: boolean;
}

/** Entries from the leader. */
export interface AppendMessage extends Envelope {
  readonly type: 'append';
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
}

/** Answer to {@link AppendMessage}; sent once the entries are synced. */
export interface AppendReply extends Envelope {
  readonly type: 'appendReply';
  readonly success: boolean;
  /** Highest index known to match, or on a refusal where to try next. */
  readonly matchIndex: number;
}

/** Keeps the leader's lease and carries the commit index. */
export interface HeartbeatMessage extends Envelope {
  readonly type: 'heartbeat';
  readonly commitIndex: number;
  /** Number of the heartbeat round; reads wait for a quorum of a round. */
  readonly round: number;
}

/** Answer to {@link HeartbeatMessage}. */
export interface HeartbeatReply extends Envelope {
  readonly type: 'heartbeatReply';
  readonly round: number;
}

/** Tells the chosen successor to start its election at once. */
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

/** Work that the core hands to its driver. */
export interface Ready {
  /** To be synced before {@link Ready.messages} go out. */
  readonly hardState: HardState | undefined;
  /** To be synced; an entry replaces all stored ones from its index on. */
  readonly entries: readonly LogEntry[];
  /** May go out at once, beside the sync. */
  readonly earlyMessages: readonly ConsensusMessage[];
  /** Go out only after the sync. */
  readonly messages: readonly ConsensusMessage[];
  /** Committed and synced here; to be applied in order. */
  readonly committed: readonly LogEntry[];
  /** Reads that may be answered once `index` is applied. */
  readonly reads: readonly ReadState[];
  /** Members that need a snapshot. */
  readonly snapshotsTo: readonly string[];
}

/** A read that a quorum has confirmed. */
export interface ReadState {
  readonly readId: number;
  readonly index: number;
}

/** Role of a member in its group. */
export type Role = 'follower' | 'preCandidate' | 'candidate' | 'leader';
