/**
 * Finds the cluster of an instance that has none, or forms a new cluster.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { Logger } from '@shedline/logger';
import type { PeerConnections } from '@shedline/transport';
import { createCluster, planBootstrap } from './bootstrap.js';
import type { HelloAnswer } from './bootstrap.js';
import type { ClusterDocument } from './identity.js';

const POLL_INTERVAL_MS = 150;
const HELLO_TIMEOUT_MS = 800;

/** Options of {@link findCluster}. */
export interface FindClusterOptions {
  readonly hello: HelloAnswer;
  readonly peers: PeerConnections;
  /** Instances that form the cluster if there is none; empty if other instances do so. */
  readonly bootstrapMembers: readonly string[];
  /** Group and voter counts of a newly formed cluster. */
  readonly sizes: Pick<ClusterDocument, 'jobGroupCount' | 'voterCount'>;
  readonly logger: Logger;
  readonly isStopped: () => boolean;
}

/** Polls the peers until there is a cluster; returns undefined if the instance stops first. */
export async function findCluster(
  options: FindClusterOptions,
): Promise<ClusterDocument | undefined> {
  const { hello, bootstrapMembers, sizes, logger, isStopped } = options;
  while (!isStopped()) {
    const replies = await askPeers(options);
    const plan = planBootstrap({ instance: hello.instance, bootstrapMembers, answers: replies });
    if (plan.action === 'join') return plan.cluster;
    if (plan.action === 'form') {
      logger.info('forming a cluster', { step: 'bootstrap', members: plan.members });
      return createCluster(plan.members, sizes);
    }
    logger.debug('no cluster yet', { step: 'bootstrap', reason: plan.reason });
    await pause(POLL_INTERVAL_MS);
  }
  return undefined;
}

/**
 * Collects replies from all peers. Returns as soon as a reply contains a cluster, because some
 * peers may never reply.
 */
async function askPeers({
  hello,
  peers,
  logger,
}: FindClusterOptions): Promise<Map<string, HelloAnswer>> {
  const replies = new Map<string, HelloAnswer>([[hello.instance, hello]]);
  await new Promise<void>((resolve) => {
    const requests = peers.names.map(async (name) => {
      try {
        const reply = await peers.get(name)?.request('hello', {}, HELLO_TIMEOUT_MS);
        if (reply === undefined) return;
        replies.set(name, reply as HelloAnswer);
        if ((reply as HelloAnswer).cluster !== undefined) resolve();
      } catch (error) {
        // The plan decides whether the missing reply matters.
        const reason = error instanceof Error ? error.message : String(error);
        logger.debug('hello request failed', { step: 'bootstrap', peer: name, reason });
      }
    });
    void Promise.all(requests).then(() => {
      resolve();
    });
  });
  return replies;
}
