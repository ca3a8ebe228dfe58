/**
 * Finds the cluster that a new instance belongs to, or forms it.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { ControlSettings } from '@shedline/config';
import type { Logger } from '@shedline/logger';
import type { PeerBook } from '@shedline/transport';
import { newCluster, planBootstrap } from './bootstrap.js';
import type { HelloAnswer } from './bootstrap.js';
import type { ClusterDocument } from './identity.js';

const PAUSE_MS = 200;
const HELLO_TIMEOUT_MS = 1000;

/** Options of {@link findCluster}. */
export interface FindClusterOptions {
  readonly hello: HelloAnswer;
  readonly peers: PeerBook;
  readonly control: ControlSettings;
  readonly logger: Logger;
  readonly isStopped: () => boolean;
}

/** Asks the others until there is a cluster; undefined where the instance stops before. */
export async function findCluster(
  options: FindClusterOptions,
): Promise<ClusterDocument | undefined> {
  while (!options.isStopped()) {
    const plan = planBootstrap({
      instance: options.hello.instance,
      bootstrapMembers: options.control.bootstrapMembers,
      answers: await askPeers(options),
    });
    if (plan.action === 'join') return plan.cluster;
    if (plan.action === 'form') return newCluster(plan.members, options.control);
    options.logger.debug('no cluster yet', { step: 'bootstrap', reason: plan.reason });
    await pause(PAUSE_MS);
  }
  return undefined;
}

async function askPeers({ hello, peers }: FindClusterOptions): Promise<Map<string, HelloAnswer>> {
  const answers = new Map<string, HelloAnswer>([[hello.instance, hello]]);
  const asked = peers.names.map(async (name) => {
    try {
      const answer = await peers.get(name)?.request('hello', {}, HELLO_TIMEOUT_MS);
      if (answer !== undefined) answers.set(name, answer as HelloAnswer);
    } catch {
      // A silent instance simply has no answer; the plan says whether that matters.
    }
  });
  await Promise.all(asked);
  return answers;
}
