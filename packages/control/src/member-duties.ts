/**
 * What a leader does about the members of its group: repair, and spreading the leaders.
 */
import { planMembership } from '@shedline/consensus';
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
}

/** Takes the next step of repair, if one is due. */
export function repairMembers(options: MemberDutiesOptions): void {
  const { host, settings } = options;
  const { consensus, group } = host;
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
    selfId: options.memberId,
    members,
    liveIds: options.liveIds,
    targetVoters: settings.voterCount,
    replaceAfterMs: settings.replaceAfterMs,
    retiringIds: options.retiringIds,
  });
  if (next === undefined || !host.changeMembers(next)) return;
  const { voters, learners } = next;
  options.logger.info('members change', { group, voters, learners });
}

/** Hands the group to the voter that a hash prefers, so that leaders spread over the members. */
export function spreadLeader(options: MemberDutiesOptions, nowMs: number): void {
  const { host, liveIds, memberId } = options;
  const voters = host.consensus.config.voters.filter(
    (voter) => liveIds.includes(voter) && !options.retiringIds.has(voter),
  );
  const preferred = rendezvousOrder(`leader|${host.group}`, voters, 1)[0];
  if (preferred === undefined || preferred === memberId) return;
  host.consensus.transferLeadershipTo(preferred, nowMs);
  host.tick(nowMs);
}
