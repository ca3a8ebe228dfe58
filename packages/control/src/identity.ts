/**
 * Who this instance is, and of which cluster. Both are synced before they count.
 */
import { randomBytes } from 'node:crypto';
import type { GroupConfig } from '@shedline/consensus';
import type { Storage } from '@shedline/storage';
import { rendezvousOrder } from '@shedline/types';

const IDENTITY_DOCUMENT = 'identity.bin';
const CLUSTER_DOCUMENT = 'cluster.bin';
const INCARNATION_BYTES = 4;

/** A cluster as it was formed. */
export interface ClusterDocument {
  readonly clusterId: string;
  /** Identities of the instances that formed it. */
  readonly initialMembers: readonly string[];
  readonly jobGroupCount: number;
  readonly voterCount: number;
}

/** The identity of this instance: its name and the incarnation of its data folder. */
export async function loadMemberId(storage: Storage, instance: string): Promise<string> {
  const stored = (await storage.readDocument(IDENTITY_DOCUMENT)) as
    { memberId: string } | undefined;
  if (stored !== undefined) return stored.memberId;
  const memberId = `${instance}#${randomBytes(INCARNATION_BYTES).toString('hex')}`;
  await storage.writeDocument(IDENTITY_DOCUMENT, { memberId });
  return memberId;
}

/** The cluster that this data folder belongs to; undefined for a new folder. */
export async function loadCluster(storage: Storage): Promise<ClusterDocument | undefined> {
  return (await storage.readDocument(CLUSTER_DOCUMENT)) as ClusterDocument | undefined;
}

/** Makes the data folder part of a cluster. */
export async function saveCluster(storage: Storage, cluster: ClusterDocument): Promise<void> {
  await storage.writeDocument(CLUSTER_DOCUMENT, cluster);
}

/** First voters of a group: the same at every member that formed the cluster. */
export function initialVoters(cluster: ClusterDocument, group: number): readonly string[] {
  return rendezvousOrder(`voters|${group}`, cluster.initialMembers, cluster.voterCount).sort();
}

/** The configuration that a member starts a group with. */
export function initialConfig(
  cluster: ClusterDocument,
  group: number,
  memberId: string,
): GroupConfig {
  // A member that joined later learns the configuration from the log or a snapshot.
  if (!cluster.initialMembers.includes(memberId)) return { voters: [], learners: [] };
  return { voters: initialVoters(cluster, group), learners: [] };
}
