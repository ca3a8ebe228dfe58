/**
 * Tasks of a leader for the members of its group: replacing lost members and balancing leadership.
 */
import { planMembership } from '@shedline/consensus';
import type { GroupConfig, MemberProgress, MemberStatus } from '@shedline/consensus';
import type { Logger } from '@shedline/logger';
import { rendezvousOrder } from '@shedline/types';
import type { GroupHost } from './group-host.js';
import type { GroupNodeSettings } from './group-node.js';

/** Options of {@link repairMembers} and {@link transferToPreferredLeader}. */
export interface MembershipTaskOptions {
  readonly host: GroupHost;
  readonly memberId: string;
  /** Member ids of the processes that are up. */
  readonly liveIds: readonly string[];
  readonly settings: GroupNodeSettings;
  readonly logger: Logger;
  /** Member ids of retiring processes. */
  readonly retiringIds: ReadonlySet<string>;
  /** Returns the time since the last announcement of a member. */
  readonly lastSeenAgoMs: (memberId: string) => number;
}

/**
 * Returns the status of the members for the planner. A member has been unresponsive for the longer
 * of two times: since its last reply to this leader, and since its last announcement. The second
 * time does not restart with each leader, so a new leader does not take a lost member for a
 * responsive member.
 */
export function memberStatuses(
  progress: ReadonlyMap<string, MemberProgress>,
  commitIndex: number,
  lastSeenAgoMs: (memberId: string) => number,
): Map<string, MemberStatus> {
  const statuses = new Map<string, MemberStatus>();
  for (const [memberId, { matchIndex, lastContactAgoMs, lastReplyAgoMs }] of progress) {
    statuses.set(memberId, {
      memberId,
      lastContactAgoMs: Math.max(lastContactAgoMs, lastSeenAgoMs(memberId)),
      lastReplyAgoMs,
      lagEntries: commitIndex - matchIndex,
    });
  }
  return statuses;
}

/** Proposes the next membership change, if one is needed. */
export function repairMembers(options: MembershipTaskOptions): void {
  const { host, logger } = options;
  const next = planNextConfig(options);
  if (next === undefined || !host.changeMembers(next)) return;
  const { voters, learners } = next;
  logger.info('membership change proposed', { group: host.group, voters, learners });
}

function planNextConfig(options: MembershipTaskOptions): GroupConfig | undefined {
  const { host, settings } = options;
  const { consensus } = host;
  const progress = consensus.memberProgress();
  return planMembership({
    config: consensus.config,
    selfId: options.memberId,
    members: memberStatuses(progress, consensus.commitIndex, options.lastSeenAgoMs),
    liveIds: options.liveIds,
    targetVoters: settings.voterCount,
    replaceAfterMs: settings.replaceAfterMs,
    maxReplyAgeMs: settings.electionTimeoutMs,
    retiringIds: options.retiringIds,
  });
}

/** Whether all voters are up, there are no learners, and no membership change is pending. */
function isMembershipStable(options: MembershipTaskOptions): boolean {
  const { consensus } = options.host;
  const { voters, learners } = consensus.config;
  if (consensus.isConfigChangePending || learners.length > 0) return false;
  return voters.every((voter) => options.liveIds.includes(voter));
}

/**
 * Transfers the leadership to the voter that a rendezvous hash prefers, to balance the leaders over
 * the members. Does nothing during a repair, because a new leader would first have to collect the
 * member status that the current leader has.
 */
export function transferToPreferredLeader(options: MembershipTaskOptions, nowMs: number): void {
  const { host, memberId } = options;
  if (!isMembershipStable(options)) return;
  const voters = host.consensus.config.voters.filter((voter) => !options.retiringIds.has(voter));
  const preferred = rendezvousOrder(`leader|${host.group}`, voters, 1)[0];
  if (preferred === undefined || preferred === memberId) return;
  host.consensus.transferLeadershipTo(preferred, nowMs);
  host.tick(nowMs);
}
