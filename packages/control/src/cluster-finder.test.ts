import test from 'ava';
import { createLogger } from '@shedline/logger';
import { describe, title } from '@shedline/test-utils';
import type { PeerConnections } from '@shedline/transport';
import type { HelloAnswer } from './bootstrap.js';
import { findCluster } from './cluster-finder.js';

const CLUSTER = { clusterId: 'c', initialMembers: ['a#1'], jobGroupCount: 0, voterCount: 3 };
const OWN: HelloAnswer = { instance: 'self', memberId: 'self#1', cluster: undefined };
const CLUSTER_MEMBER: HelloAnswer = { instance: 'a', memberId: 'a#1', cluster: CLUSTER };

/** Creates peers that send the given replies; a peer without a reply never replies. */
function fakePeers(replies: Readonly<Record<string, HelloAnswer | undefined>>): PeerConnections {
  const get = (name: string) => ({
    request: () => {
      const reply = replies[name];
      return reply === undefined ? new Promise(() => undefined) : Promise.resolve(reply);
    },
  });
  return { names: Object.keys(replies), get } as unknown as PeerConnections;
}

function find(peers: PeerConnections, bootstrapMembers: readonly string[]) {
  return findCluster({
    hello: OWN,
    peers,
    bootstrapMembers,
    sizes: { jobGroupCount: 2, voterCount: 3 },
    logger: createLogger({ level: 'silent' }),
    isStopped: () => false,
  });
}

describe('findCluster', () => {
  test(title('joins the first cluster in a reply although other peers never reply'), async (t) => {
    const peers = fakePeers({ unresponsive: undefined, a: CLUSTER_MEMBER, lost: undefined });
    t.deepEqual(await find(peers, []), CLUSTER);
  });

  test(title('forms a cluster of the given sizes if no bootstrap member has one'), async (t) => {
    const other: HelloAnswer = { instance: 'z', memberId: 'z#1', cluster: undefined };
    const formed = await find(fakePeers({ z: other }), ['self', 'z']);
    t.deepEqual(
      { ...formed, clusterId: '' },
      { ...CLUSTER, clusterId: '', initialMembers: ['self#1', 'z#1'], jobGroupCount: 2 },
    );
  });
});
