/**
 * Selects the stores that a store connects to.
 */
import { instanceOf } from '@shedline/consensus';
import type { GroupConfig } from '@shedline/consensus';
import type { PeerAddress } from '@shedline/transport';
import { peerAddressFromName } from './ports.js';

/**
 * Returns the stores that are up and all members of the groups of this store, also unresponsive
 * ones. A store that starts during a network partition has no other record of the members on the
 * other side, which it has to follow once the partition heals.
 */
export function storesToConnect(
  live: readonly PeerAddress[],
  groups: readonly GroupConfig[],
): PeerAddress[] {
  const members = groups.flatMap(({ voters, learners }) => [...voters, ...learners]);
  const all = [...live, ...members.map((memberId) => peerAddressFromName(instanceOf(memberId)))];
  return [...new Map(all.map(({ name, host, port }) => [name, { name, host, port }])).values()];
}
