import test from 'ava';
import { createLogger } from '@shedline/logger';
import { describe, title } from '@shedline/test-utils';
import type { PeerConnections } from '@shedline/transport';
import type { HelloAnswer } from './bootstrap.js';
import { findCluster } from './cluster-finder.js';

const CLUSTER = { clusterId: 'c', initialMembers: ['a#1'], jobGroupCount: 0, voterCount: 3 };
const OWN: HelloAnswer = { instance: 'self', memberId: 'self#1', cluster: undefined };
const KNOWS: HelloAnswer = { instance: 'a', memberId: 'a#1', cluster: CLUSTER };

/** Peers of which some never answer. */
function bookOf(answers: Readonly<Record<string, HelloAnswer | undefined>>): PeerConnections {
  const get = (name: string) => ({
    request: () => {
      const answer = answers[name];
      return answer === undefined ? new Promise(() => undefined) : Promise.resolve(answer);
    },
  });
  return { names: Object.keys(answers), get } as unknown as PeerConnections;
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
  test(title('takes the first cluster that is told, however many peers are silent'), async (t) => {
    const peers = bookOf({ silent: undefined, a: KNOWS, gone: undefined });
    t.deepEqual(await find(peers, []), CLUSTER);
  });

  test(title('forms a cluster of the sizes asked for where all members know none'), async (t) => {
    const other: HelloAnswer = { instance: 'z', memberId: 'z#1', cluster: undefined };
    const formed = await find(bookOf({ z: other }), ['self', 'z']);
    t.deepEqual(
      { ...formed, clusterId: '' },
      { ...CLUSTER, clusterId: '', initialMembers: ['self#1', 'z#1'], jobGroupCount: 2 },
    );
  });
});
