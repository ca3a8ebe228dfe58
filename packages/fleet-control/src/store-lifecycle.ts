/**
 * What control processes decide about the stores: when they form their cluster, and whether one
 * may be emptied and taken away.
 */
import { randomUUID } from 'node:crypto';
import type { GroupStatus } from '@shedline/control-client';
import type { FleetCommand, FleetState } from '@shedline/fleet';
import type { Logger } from '@shedline/logger';
import type { MemberRecord } from '@shedline/mesh';
import type { PeerConnections } from '@shedline/transport';
import { isEmptied } from './retirement.js';
import { StoreFormation } from './store-formation.js';

const STATUS_TIMEOUT_MS = 600;
/** Log groups of the stores; a fleet of more stores spreads them over more voters. */
const JOB_GROUP_COUNT = 4;

/** Answer to a request to empty a store. */
export type RetireOutcome = 'accepted' | 'unknown' | 'tooFew';
/** How far the emptying of a store is. */
export type RetireProgress = 'running' | 'complete';

/** Options of {@link StoreLifecycle}. */
export interface StoreLifecycleOptions {
  readonly state: FleetState;
  readonly toleratedLosses: number;
  readonly logger: Logger;
  /** Stores that are up. */
  readonly liveStores: () => readonly MemberRecord[];
  /** Connections to the stores, made when one of them retires. */
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

  /** The cluster of the stores, if it is time to form it. */
  clusterToForm(nowMs: number): FleetCommand | undefined {
    const { state, liveStores, logger } = this.options;
    if (state.storeCluster !== undefined) return undefined;
    const founding = liveStores().filter((store) => store.isFounding === true);
    const ids = founding.flatMap((store) => store.memberId ?? []);
    const voterCount = this.wantedVoters();
    const initialMembers = this.formation.plan(ids, voterCount, nowMs);
    if (initialMembers === undefined) return undefined;
    logger.info('forms the stores', { step: 'bootstrap', members: initialMembers });
    const sizes = { jobGroupCount: JOB_GROUP_COUNT, voterCount };
    return { type: 'formStores', cluster: { clusterId: randomUUID(), initialMembers, ...sizes } };
  }

  /** Has the store of an instance emptied, where enough others stay. */
  async retire(instance: string): Promise<RetireOutcome> {
    const stores = this.options.liveStores();
    const store = stores.find((candidate) => candidate.instance === instance);
    if (store === undefined) return 'unknown';
    if (this.options.state.isRetiring(store.name)) return 'accepted';
    const staying = stores.filter(({ name }) => !this.options.state.isRetiring(name));
    if (staying.length - 1 < this.wantedVoters()) return 'tooFew';
    await this.options.propose({ type: 'retireStore', store: store.name, instance });
    this.options.logger.info('store retires', {
      step: 'retire',
      peer: store.name,
      staying: staying.length,
    });
    return 'accepted';
  }

  /** How far the emptying of a store is; undefined where none was asked for. */
  async retirement(instance: string): Promise<RetireProgress | undefined> {
    const { state, liveStores } = this.options;
    const members = liveStores();
    const live = members.find((candidate) => candidate.instance === instance);
    // One that is down for a moment is still to be emptied.
    const store = state.retiringStoreOf(instance) ?? live?.name;
    if (store === undefined || !state.isRetiring(store)) return undefined;
    const groupCount = state.storeCluster?.jobGroupCount ?? 0;
    const statuses = await this.storeStatuses(members);
    return isEmptied(store, groupCount, statuses) ? 'complete' : 'running';
  }

  /** State of the groups at each store that answers. */
  private async storeStatuses(members: readonly MemberRecord[]): Promise<GroupStatus[]> {
    const connections = this.options.stores;
    for (const { name, host, port } of members) connections.add({ name, host, port });
    connections.keepOnly(new Set(members.map((member) => member.name)));
    const asked = members.map(async ({ name }) => {
      try {
        return (await connections.get(name)?.request('groupStatuses', {}, STATUS_TIMEOUT_MS)) as
          GroupStatus[] | undefined;
      } catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        this.options.logger.debug('store gives no status', { step: 'retire', peer: name, reason });
        return undefined;
      }
    });
    return (await Promise.all(asked)).flatMap((statuses) => statuses ?? []);
  }

  private wantedVoters(): number {
    return 2 * this.options.toleratedLosses + 1;
  }
}
