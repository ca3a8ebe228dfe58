/**
 * Member id and cluster of this instance. Both are synced to disk before they are used.
 */
import { randomBytes } from 'node:crypto';
import type { GroupConfig } from '@shedline/consensus';
import type { Storage } from '@shedline/storage';
import { rendezvousOrder } from '@shedline/types';

const IDENTITY_DOCUMENT = 'identity.bin';
const CLUSTER_DOCUMENT = 'cluster.bin';
const INCARNATION_BYTES = 4;

/** Cluster as it was formed; stored by every member. */
export interface ClusterDocument {
  readonly clusterId: string;
  /** Member ids of the instances that formed the cluster. */
  readonly initialMembers: readonly string[];
  readonly jobGroupCount: number;
  readonly voterCount: number;
}

/** Loads the member id: instance name and incarnation of the data folder. Creates it if new. */
export async function loadMemberId(storage: Storage, instance: string): Promise<string> {
  const stored = (await storage.readDocument(IDENTITY_DOCUMENT)) as
    { memberId: string } | undefined;
  if (stored !== undefined) return stored.memberId;
  const memberId = `${instance}#${randomBytes(INCARNATION_BYTES).toString('hex')}`;
  await storage.writeDocument(IDENTITY_DOCUMENT, { memberId });
  return memberId;
}

/** Loads the cluster of the data folder; undefined for a new folder. */
export async function loadCluster(storage: Storage): Promise<ClusterDocument | undefined> {
  return (await storage.readDocument(CLUSTER_DOCUMENT)) as ClusterDocument | undefined;
}

/** Stores the cluster of the data folder. */
export async function saveCluster(storage: Storage, cluster: ClusterDocument): Promise<void> {
  await storage.writeDocument(CLUSTER_DOCUMENT, cluster);
}

/** Returns the initial voters of a group; every member computes the same voters. */
export function initialVoters(cluster: ClusterDocument, group: number): readonly string[] {
  return rendezvousOrder(`voters|${group}`, cluster.initialMembers, cluster.voterCount).sort();
}

/** Returns the configuration with which a member starts a group. */
export function initialConfig(
  cluster: ClusterDocument,
  group: number,
  memberId: string,
): GroupConfig {
  // A member that joined later receives the configuration with the log or a snapshot.
  if (!cluster.initialMembers.includes(memberId)) return { voters: [], learners: [] };
  return { voters: initialVoters(cluster, group), learners: [] };
}
