/**
 * What a leader does about the members of its group: repair, and spreading the leaders.
 */
import { planMembership } from '@shedline/consensus';
import type { GroupConfig, MemberStatus } from '@shedline/consensus';
import type { Logger } from '@shedline/logger';
import { rendezvousOrder } from '@shedline/types';
import type { GroupHost } from './group-host.js';
import type { GroupNodeSettings } from './group-node.js';

/** Options of {@link repairMembers} and {@link spreadLeader}. */
export interface MemberDutiesOptions {
  readonly host: GroupHost;
  readonly memberId: string;
  /** Identities of the control instances that are up. */
  readonly liveIds: readonly string[];
  readonly settings: GroupNodeSettings;
  readonly logger: Logger;
  /** Members of processes that are to be emptied. */
  readonly retiringIds: ReadonlySet<string>;
  /** Time since this process last heard of a member, by whatever way. */
  readonly unheardMs: (memberId: string) => number;
}

/** What a leader knows of how a member replicates. */
export interface ReplicationProgress {
  readonly matchIndex: number;
  /** Time since the member last answered this leader, from when it began to lead. */
  readonly silentMs: number;
}

/**
 * Status of the members for the planner. A member is as silent as the longer of two times: since
 * it last answered this leader, and since this process last heard it at all. The second one does
 * not begin anew with each leader, so a member that is gone is not taken for fresh by one.
 */
export function memberStatuses(
  progress: ReadonlyMap<string, ReplicationProgress>,
  commitIndex: number,
  unheardMs: (memberId: string) => number,
): Map<string, MemberStatus> {
  const statuses = new Map<string, MemberStatus>();
  for (const [memberId, { matchIndex, silentMs }] of progress) {
    statuses.set(memberId, {
      memberId,
      silentMs: Math.max(silentMs, unheardMs(memberId)),
      lagEntries: commitIndex - matchIndex,
    });
  }
  return statuses;
}

/** Takes the next step of repair, if one is due. */
export function repairMembers(options: MemberDutiesOptions): void {
  const { host, logger } = options;
  const next = plannedMembers(options);
  if (next === undefined || !host.changeMembers(next)) return;
  const { voters, learners } = next;
  logger.info('members change', { group: host.group, voters, learners });
}

function plannedMembers(options: MemberDutiesOptions): GroupConfig | undefined {
  const { host, settings } = options;
  const { consensus } = host;
  const progress = consensus.memberProgress();
  return planMembership({
    config: consensus.config,
    selfId: options.memberId,
    members: memberStatuses(progress, consensus.commitIndex, options.unheardMs),
    liveIds: options.liveIds,
    targetVoters: settings.voterCount,
    replaceAfterMs: settings.replaceAfterMs,
    retiringIds: options.retiringIds,
  });
}

/** Whether the members are as they should be: all voters up, nobody on the way in or out. */
function isSettled(options: MemberDutiesOptions): boolean {
  const { consensus } = options.host;
  const { voters, learners } = consensus.config;
  if (consensus.configChangePending || learners.length > 0) return false;
  return voters.every((voter) => options.liveIds.includes(voter));
}

/**
 * Hands the group to the voter that a hash prefers, so that leaders spread over the members. Not
 * while a repair is under way: a new leader would have to find out first what the old one knew.
 */
export function spreadLeader(options: MemberDutiesOptions, nowMs: number): void {
  const { host, memberId } = options;
  if (!isSettled(options)) return;
  const voters = host.consensus.config.voters.filter((voter) => !options.retiringIds.has(voter));
  const preferred = rendezvousOrder(`leader|${host.group}`, voters, 1)[0];
  if (preferred === undefined || preferred === memberId) return;
  host.consensus.transferLeadershipTo(preferred, nowMs);
  host.tick(nowMs);
}
