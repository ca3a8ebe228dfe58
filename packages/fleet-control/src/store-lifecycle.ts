/**
 * Formation and retirement of stores by the control processes. To retire a store means to move its
 * groups to other stores, so that its instance can be removed.
 */
import { randomUUID } from 'node:crypto';
import type { GroupStatus } from '@shedline/control-client';
import type { FleetCommand, FleetState } from '@shedline/fleet';
import type { Logger } from '@shedline/logger';
import type { MemberRecord } from '@shedline/mesh';
import type { PeerConnections } from '@shedline/transport';
import { isMemberOfNoGroup } from './retirement.js';
import { StoreFormation } from './store-formation.js';

const STATUS_TIMEOUT_MS = 600;
/** Consensus groups for jobs; with more stores, their voters are spread over more of them. */
const JOB_GROUP_COUNT = 4;

/** Outcome of a request to retire a store. */
export type RetireOutcome = 'accepted' | 'unknown' | 'tooFew';
/** Progress of the retirement of a store. */
export type RetireProgress = 'running' | 'complete';

/** Options of {@link StoreLifecycle}. */
export interface StoreLifecycleOptions {
  readonly state: FleetState;
  readonly toleratedLosses: number;
  readonly logger: Logger;
  /** Returns the stores that are up. */
  readonly liveStores: () => readonly MemberRecord[];
  /** Connections to the stores, opened when the progress of a retirement is queried. */
  readonly stores: PeerConnections;
  readonly propose: (command: FleetCommand) => Promise<unknown>;
}

/** Formation and retirement of stores. */
export class StoreLifecycle {
  private readonly options: StoreLifecycleOptions;
  private readonly formation = new StoreFormation();

  constructor(options: StoreLifecycleOptions) {
    this.options = options;
  }

  /** Returns the command that forms the store cluster, or undefined if it is formed or too early. */
  clusterToForm(nowMs: number): FleetCommand | undefined {
    const { state, liveStores, logger } = this.options;
    if (state.storeCluster !== undefined) return undefined;
    const founding = liveStores().filter((store) => store.isFounding === true);
    const ids = founding.flatMap((store) => store.memberId ?? []);
    const voterCount = this.wantedVoters();
    const initialMembers = this.formation.plan(ids, voterCount, nowMs);
    if (initialMembers === undefined) return undefined;
    logger.info('forming the store cluster', { step: 'bootstrap', members: initialMembers });
    const sizes = { jobGroupCount: JOB_GROUP_COUNT, voterCount };
    return { type: 'formStores', cluster: { clusterId: randomUUID(), initialMembers, ...sizes } };
  }

  /** Starts the retirement of the store of an instance if enough other stores remain. */
  async retire(instance: string): Promise<RetireOutcome> {
    const stores = this.options.liveStores();
    const store = stores.find((candidate) => candidate.instance === instance);
    if (store === undefined) return 'unknown';
    if (this.options.state.isRetiring(store.name)) return 'accepted';
    const remaining = stores.filter(({ name }) => !this.options.state.isRetiring(name));
    if (remaining.length - 1 < this.wantedVoters()) return 'tooFew';
    await this.options.propose({ type: 'retireStore', store: store.name, instance });
    this.options.logger.info('store retirement started', {
      step: 'retire',
      peer: store.name,
      staying: remaining.length,
    });
    return 'accepted';
  }

  /** Returns the progress of the retirement of a store; undefined if none was requested. */
  async retirement(instance: string): Promise<RetireProgress | undefined> {
    const { state, liveStores } = this.options;
    const members = liveStores();
    const live = members.find((candidate) => candidate.instance === instance);
    // A store that is down temporarily is still retiring.
    const store = state.retiringStoreOf(instance) ?? live?.name;
    if (store === undefined || !state.isRetiring(store)) return undefined;
    const groupCount = state.storeCluster?.jobGroupCount ?? 0;
    const statuses = await this.storeStatuses(members);
    return isMemberOfNoGroup(store, groupCount, statuses) ? 'complete' : 'running';
  }

  /** Returns the status of the groups from each store that replies. */
  private async storeStatuses(members: readonly MemberRecord[]): Promise<GroupStatus[]> {
    const connections = this.options.stores;
    for (const { name, host, port } of members) connections.add({ name, host, port });
    connections.keepOnly(new Set(members.map((member) => member.name)));
    const replies = members.map(async ({ name }) => {
      try {
        return (await connections.get(name)?.request('groupStatuses', {}, STATUS_TIMEOUT_MS)) as
          GroupStatus[] | undefined;
      } catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        this.options.logger.debug('could not read the group status of a store', {
          step: 'retire',
          peer: name,
          reason,
        });
        return undefined;
      }
    });
    return (await Promise.all(replies)).flatMap((statuses) => statuses ?? []);
  }

  private wantedVoters(): number {
    return 2 * this.options.toleratedLosses + 1;
  }
}
