/**
 * Decides how an instance without a cluster proceeds. It asks the other instances first and joins
 * the cluster that any of them knows, so that a cluster is formed only once.
 */
import { randomUUID } from 'node:crypto';
import type { ClusterDocument } from './identity.js';

/** Reply to a `hello` request. */
export interface HelloAnswer {
  readonly instance: string;
  readonly memberId: string;
  /** Cluster of the instance; undefined if it has none yet. */
  readonly cluster: ClusterDocument | undefined;
}

/** Next step of an instance without a cluster. */
export type BootstrapPlan =
  | { readonly action: 'join'; readonly cluster: ClusterDocument }
  | { readonly action: 'form'; readonly members: readonly string[] }
  | { readonly action: 'wait'; readonly reason: string };

/** Options of {@link planBootstrap}. */
export interface PlanBootstrapOptions {
  readonly instance: string;
  /** Instances that form the cluster. */
  readonly bootstrapMembers: readonly string[];
  /** Replies by instance name, including the reply of this instance. */
  readonly answers: ReadonlyMap<string, HelloAnswer>;
}

/**
 * Decides from the replies whether to join, form or wait. Only the first of the bootstrap members
 * forms the cluster, and only when all of them have replied.
 */
export function planBootstrap(options: PlanBootstrapOptions): BootstrapPlan {
  const { answers, bootstrapMembers, instance } = options;
  for (const answer of answers.values()) {
    if (answer.cluster !== undefined) return { action: 'join', cluster: answer.cluster };
  }
  const founder = [...bootstrapMembers].sort()[0] ?? '';
  if (founder !== instance) return { action: 'wait', reason: `${founder} forms the cluster` };
  const missing = bootstrapMembers.filter((member) => !answers.has(member));
  if (missing.length > 0) {
    return { action: 'wait', reason: `no reply from ${missing.join(', ')}` };
  }
  const members = bootstrapMembers.flatMap((member) => answers.get(member)?.memberId ?? []);
  return { action: 'form', members: members.sort() };
}

/** Creates the document of a new cluster with the given members. */
export function createCluster(
  members: readonly string[],
  { jobGroupCount, voterCount }: Pick<ClusterDocument, 'jobGroupCount' | 'voterCount'>,
): ClusterDocument {
  return { clusterId: randomUUID(), initialMembers: members, jobGroupCount, voterCount };
}
