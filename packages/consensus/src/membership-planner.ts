/**
 * Plans membership changes of one group: replaces lost voters by spares, or shrinks the group.
 */
import type { GroupConfig } from './messages.js';

/** Status of a member as seen by the leader. */
export interface MemberStatus {
  readonly memberId: string;
  /** Time since the last message from the member. */
  readonly lastContactAgoMs: number;
  /** Time since the last reply of the member to this leader; infinite if none came. */
  readonly lastReplyAgoMs: number;
  /** Number of committed entries that the member lacks. */
  readonly lagEntries: number;
}

/** Options of {@link planMembership}. */
export interface PlanMembershipOptions {
  readonly config: GroupConfig;
  /** Member id of the leader that plans the change; it is never removed. */
  readonly selfId: string;
  /** Status of the other members. */
  readonly members: ReadonlyMap<string, MemberStatus>;
  /** Member ids of the instances that are up; instances outside the group may serve as spares. */
  readonly liveIds: readonly string[];
  readonly targetVoters: number;
  /** Time without a message after which a voter is replaced. */
  readonly replaceAfterMs: number;
  /** Maximum time since the last reply of a learner that is promoted. */
  readonly maxReplyAgeMs: number;
  /** Entries that a learner may lack when it is promoted. */
  readonly maxLagEntries?: number;
  /** Members that are retiring: they are replaced although they are up. */
  readonly retiringIds?: ReadonlySet<string>;
}

/** Shrinking leaves at least this many voters. */
const MIN_VOTERS = 3;
const DEFAULT_MAX_LAG_ENTRIES = 64;

/** Returns the instance name of a member id (`instance#incarnation`). */
export function instanceOf(memberId: string): string {
  return memberId.split('#')[0] ?? memberId;
}

/**
 * Returns the next configuration, which differs by one change, or undefined if none is needed.
 *
 * A voter whose disk was lost is removed first, since it raises the quorum and can never vote
 * again. An unresponsive voter may recover, so its replacement is added first: a spare joins as a
 * learner and is promoted when it has caught up; only then the unresponsive voter is removed.
 */
export function planMembership(options: PlanMembershipOptions): GroupConfig | undefined {
  return (
    removeSupersededVoter(options) ??
    promoteLearner(options) ??
    removeLostVoter(options) ??
    addLearner(options) ??
    removeLostLearner(options)
  );
}

function isLost(options: PlanMembershipOptions, memberId: string): boolean {
  if (memberId === options.selfId) return false;
  if (isSuperseded(options, memberId)) return true;
  if (options.retiringIds?.has(memberId) === true) return true;
  const status = options.members.get(memberId);
  return status !== undefined && status.lastContactAgoMs >= options.replaceAfterMs;
}

/** Whether the instance is running under another incarnation: the old disk was lost. */
function isSuperseded(options: PlanMembershipOptions, memberId: string): boolean {
  const instance = instanceOf(memberId);
  const otherId = options.liveIds.find((id) => id !== memberId && instanceOf(id) === instance);
  return otherId !== undefined && !options.liveIds.includes(memberId);
}

function removeSupersededVoter(options: PlanMembershipOptions): GroupConfig | undefined {
  const { voters, learners } = options.config;
  const superseded = voters.find(
    (voter) => voter !== options.selfId && isSuperseded(options, voter),
  );
  if (superseded === undefined) return undefined;
  return { voters: voters.filter((voter) => voter !== superseded), learners };
}

function healthyVoters(options: PlanMembershipOptions): string[] {
  return options.config.voters.filter((voter) => !isLost(options, voter));
}

function promoteLearner(options: PlanMembershipOptions): GroupConfig | undefined {
  const { config } = options;
  const maxLag = options.maxLagEntries ?? DEFAULT_MAX_LAG_ENTRIES;
  const caughtUp = config.learners.find((learner) => {
    const status = options.members.get(learner);
    if (status === undefined || isLost(options, learner)) return false;
    // A promotion raises the quorum, and can only be undone by that quorum: if the learner can't be
    // reached, the group commits nothing any more. In a short log, a learner that never replied
    // lacks few entries.
    if (status.lastReplyAgoMs > options.maxReplyAgeMs) return false;
    return options.liveIds.includes(learner) && status.lagEntries <= maxLag;
  });
  if (caughtUp === undefined) return undefined;
  if (healthyVoters(options).length >= options.targetVoters) return undefined;
  // A promotion must not raise the quorum above the number of healthy voters.
  const quorumAfter = Math.floor((config.voters.length + 1) / 2) + 1;
  if (healthyVoters(options).length + 1 < quorumAfter) return undefined;
  return {
    voters: [...config.voters, caughtUp],
    learners: config.learners.filter((learner) => learner !== caughtUp),
  };
}

function removeLostVoter(options: PlanMembershipOptions): GroupConfig | undefined {
  const { config } = options;
  const lost = config.voters.filter((voter) => isLost(options, voter));
  const removed = lost[0];
  if (removed === undefined) return undefined;
  const remaining = config.voters.filter((voter) => voter !== removed);
  const hasSurplus = config.voters.length > options.targetVoters;
  const hasSpare = config.learners.length > 0 || findSpare(options) !== undefined;
  if (!hasSurplus && (hasSpare || !isShrinkingUseful(config.voters.length, lost.length))) {
    return undefined;
  }
  const healthyRemaining = remaining.length - (lost.length - 1);
  if (healthyRemaining < Math.floor(remaining.length / 2) + 1) return undefined;
  return { voters: remaining, learners: config.learners };
}

/**
 * Returns whether removing a lost voter helps without a spare. With an odd number of voters,
 * removing one does not lower the quorum, and the voter could still have recovered. It helps after
 * a second loss, when the group shrinks from 5 voters over 4 to 3.
 */
function isShrinkingUseful(voterCount: number, lostCount: number): boolean {
  if (voterCount <= MIN_VOTERS) return false;
  return voterCount % 2 === 0 || lostCount >= 2;
}

function findSpare(options: PlanMembershipOptions): string | undefined {
  const { config } = options;
  const members = [...config.voters, ...config.learners];
  const usedInstances = new Set(members.filter((id) => !isLost(options, id)).map(instanceOf));
  return options.liveIds.find(
    (id) =>
      !members.includes(id) &&
      !usedInstances.has(instanceOf(id)) &&
      options.retiringIds?.has(id) !== true,
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

function removeLostLearner(options: PlanMembershipOptions): GroupConfig | undefined {
  const { config } = options;
  const hasEnoughVoters = healthyVoters(options).length >= options.targetVoters;
  const lost = config.learners.find((learner) => hasEnoughVoters || isLost(options, learner));
  if (lost === undefined) return undefined;
  return {
    voters: config.voters,
    learners: config.learners.filter((learner) => learner !== lost),
  };
}
