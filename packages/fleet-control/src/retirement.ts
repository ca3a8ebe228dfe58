/**
 * Decides when a retiring store holds no data that the other stores lack.
 */
import { instanceOf } from '@shedline/consensus';
import type { GroupStatus } from '@shedline/control-client';

/**
 * Whether the store is a member of no group, according to the leader of each group. Returns false if
 * the leader of a group is unknown: the store must then be kept.
 */
export function isMemberOfNoGroup(
  store: string,
  groupCount: number,
  statuses: readonly GroupStatus[],
): boolean {
  if (groupCount === 0) return false;
  const isMember = ({ voters, learners }: GroupStatus): boolean =>
    [...voters, ...learners].some((member) => instanceOf(member) === store);
  for (let group = 1; group <= groupCount; group += 1) {
    const leaders = statuses.filter((status) => status.group === group && status.role === 'leader');
    const latest = leaders.sort((a, b) => b.term - a.term)[0];
    // A membership change that is not committed yet may still be reverted.
    if (latest?.isConfigCommitted !== true || isMember(latest)) return false;
  }
  return true;
}
