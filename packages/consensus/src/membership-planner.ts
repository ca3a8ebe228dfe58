/**
 * Plans membership changes of one group: repair by a spare, or shrinking.
 */
import type { GroupConfig } from './messages.js';

/** What the planner knows of a member. */
export interface MemberStatus {
  readonly memberId: string;
  readonly silentMs: number;
  /** Entries that the member still lacks. */
  readonly lagEntries: number;
}

/** Options of {@link planMembership}. */
export interface PlanMembershipOptions {
  readonly config: GroupConfig;
  /** The planning leader; it is never removed. */
  readonly selfId: string;
  /** Status of the other members. */
  readonly members: ReadonlyMap<string, MemberStatus>;
  /** Instances that are up, by identity; those outside the group may serve as spares. */
  readonly liveIds: readonly string[];
  readonly targetVoters: number;
  /** Silence after which a voter is replaced. */
  readonly replaceAfterMs: number;
  readonly maxLagEntries?: number;
  /** Members that are to be emptied: they are replaced although they are up. */
  readonly retiringIds?: ReadonlySet<string>;
}

/** Never fewer voters than this by repair. */
const MIN_VOTERS = 3;
const DEFAULT_MAX_LAG_ENTRIES = 64;

/** Name of the instance of an identity `instance#incarnation`. */
export function instanceOf(memberId: string): string {
  return memberId.split('#')[0] ?? memberId;
}

/**
 * The next configuration, one change away, or undefined where none is due.
 *
 * A voter whose disk is gone goes at once: it can only count against a quorum. A silent one
 * may come back, so its replacement comes first: it joins as a learner, is promoted once it
 * has caught up, and only then the silent voter goes.
 */
export function planMembership(options: PlanMembershipOptions): GroupConfig | undefined {
  return (
    dropSupersededVoter(options) ??
    promoteLearner(options) ??
    dropLostVoter(options) ??
    addLearner(options) ??
    dropLostLearner(options)
  );
}

function isLost(options: PlanMembershipOptions, memberId: string): boolean {
  if (memberId === options.selfId) return false;
  if (isSuperseded(options, memberId)) return true;
  if (options.retiringIds?.has(memberId) === true) return true;
  const status = options.members.get(memberId);
  return status !== undefined && status.silentMs >= options.replaceAfterMs;
}

/** The same instance runs under a newer identity: its old disk is gone. */
function isSuperseded(options: PlanMembershipOptions, memberId: string): boolean {
  const instance = instanceOf(memberId);
  const twin = options.liveIds.find((id) => id !== memberId && instanceOf(id) === instance);
  return twin !== undefined && !options.liveIds.includes(memberId);
}

function dropSupersededVoter(options: PlanMembershipOptions): GroupConfig | undefined {
  const { voters, learners } = options.config;
  const gone = voters.find((voter) => voter !== options.selfId && isSuperseded(options, voter));
  if (gone === undefined) return undefined;
  return { voters: voters.filter((voter) => voter !== gone), learners };
}

function healthyVoters(options: PlanMembershipOptions): string[] {
  return options.config.voters.filter((voter) => !isLost(options, voter));
}

function promoteLearner(options: PlanMembershipOptions): GroupConfig | undefined {
  const { config } = options;
  const maxLag = options.maxLagEntries ?? DEFAULT_MAX_LAG_ENTRIES;
  const ready = config.learners.find((learner) => {
    const status = options.members.get(learner);
    if (status === undefined || isLost(options, learner)) return false;
    return options.liveIds.includes(learner) && status.lagEntries <= maxLag;
  });
  if (ready === undefined) return undefined;
  if (healthyVoters(options).length >= options.targetVoters) return undefined;
  // Promoting must not raise the quorum above what is alive.
  const quorumAfter = Math.floor((config.voters.length + 1) / 2) + 1;
  if (healthyVoters(options).length + 1 < quorumAfter) return undefined;
  return {
    voters: [...config.voters, ready],
    learners: config.learners.filter((learner) => learner !== ready),
  };
}

function dropLostVoter(options: PlanMembershipOptions): GroupConfig | undefined {
  const { config } = options;
  const lost = config.voters.filter((voter) => isLost(options, voter));
  const dropped = lost[0];
  if (dropped === undefined) return undefined;
  const remaining = config.voters.filter((voter) => voter !== dropped);
  const surplus = config.voters.length > options.targetVoters;
  const spareAvailable = config.learners.length > 0 || findSpare(options) !== undefined;
  if (!surplus && (spareAvailable || !shrinkingHelps(config.voters.length, lost.length))) {
    return undefined;
  }
  const alive = remaining.length - (lost.length - 1);
  if (alive < Math.floor(remaining.length / 2) + 1) return undefined;
  return { voters: remaining, learners: config.learners };
}

/**
 * From an odd number, dropping one voter does not lower the quorum and only forgoes the
 * return of that voter: it pays with a second loss, on the way from 5 over 4 to 3.
 */
function shrinkingHelps(voterCount: number, lostCount: number): boolean {
  if (voterCount <= MIN_VOTERS) return false;
  return voterCount % 2 === 0 || lostCount >= 2;
}

function findSpare(options: PlanMembershipOptions): string | undefined {
  const { config } = options;
  const members = [...config.voters, ...config.learners];
  const taken = new Set(members.filter((id) => !isLost(options, id)).map(instanceOf));
  return options.liveIds.find(
    (id) =>
      !members.includes(id) && !taken.has(instanceOf(id)) && options.retiringIds?.has(id) !== true,
  );
}

function addLearner(options: PlanMembershipOptions): GroupConfig | undefined {
  const { config } = options;
  const missing = options.targetVoters - healthyVoters(options).length;
  if (missing <= config.learners.filter((learner) => !isLost(options, learner)).length) {
    return undefined;
  }
  const spare = findSpare(options);
  if (spare === undefined) return undefined;
  return { voters: config.voters, learners: [...config.learners, spare] };
}

function dropLostLearner(options: PlanMembershipOptions): GroupConfig | undefined {
  const { config } = options;
  const enough = healthyVoters(options).length >= options.targetVoters;
  const lost = config.learners.find((learner) => enough || isLost(options, learner));
  if (lost === undefined) return undefined;
  return {
    voters: config.voters,
    learners: config.learners.filter((learner) => learner !== lost),
  };
}
