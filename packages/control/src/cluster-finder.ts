/**
 * Finds the cluster that a new instance belongs to, or forms it.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { Logger } from '@shedline/logger';
import type { PeerConnections } from '@shedline/transport';
import { newCluster, planBootstrap } from './bootstrap.js';
import type { HelloAnswer } from './bootstrap.js';
import type { ClusterDocument } from './identity.js';

const PAUSE_MS = 150;
const HELLO_TIMEOUT_MS = 800;

/** Options of {@link findCluster}. */
export interface FindClusterOptions {
  readonly hello: HelloAnswer;
  readonly peers: PeerConnections;
  /** Instances that form the cluster where there is none; none where it is left to others. */
  readonly bootstrapMembers: readonly string[];
  /** Sizes of a cluster that is formed here. */
  readonly sizes: Pick<ClusterDocument, 'jobGroupCount' | 'voterCount'>;
  readonly logger: Logger;
  readonly isStopped: () => boolean;
}

/** Asks the others until there is a cluster; undefined where the instance stops before. */
export async function findCluster(
  options: FindClusterOptions,
): Promise<ClusterDocument | undefined> {
  const { hello, bootstrapMembers, sizes, logger, isStopped } = options;
  while (!isStopped()) {
    const answers = await askPeers(options);
    const plan = planBootstrap({ instance: hello.instance, bootstrapMembers, answers });
    if (plan.action === 'join') return plan.cluster;
    if (plan.action === 'form') {
      logger.info('forms the cluster', { step: 'bootstrap', members: plan.members });
      return newCluster(plan.members, sizes);
    }
    logger.debug('no cluster yet', { step: 'bootstrap', reason: plan.reason });
    await pause(PAUSE_MS);
  }
  return undefined;
}

/** Answers of all, or those until the first that knows a cluster: some may be silent for good. */
async function askPeers({
  hello,
  peers,
  logger,
}: FindClusterOptions): Promise<Map<string, HelloAnswer>> {
  const answers = new Map<string, HelloAnswer>([[hello.instance, hello]]);
  await new Promise<void>((resolve) => {
    const asked = peers.names.map(async (name) => {
      try {
        const answer = await peers.get(name)?.request('hello', {}, HELLO_TIMEOUT_MS);
        if (answer === undefined) return;
        answers.set(name, answer as HelloAnswer);
        if ((answer as HelloAnswer).cluster !== undefined) resolve();
      } catch (error) {
        // A silent instance simply has no answer; the plan says whether that matters.
        const reason = error instanceof Error ? error.message : String(error);
        logger.debug('no answer to hello', { step: 'bootstrap', peer: name, reason });
      }
    });
    void Promise.all(asked).then(() => {
      resolve();
    });
  });
  return answers;
}
