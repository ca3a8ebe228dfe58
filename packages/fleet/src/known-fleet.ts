/**
 * What an entry knows of the fleet's state. It only grows: an answer of a control process that
 * lags changes nothing.
 */
import { RouteTable } from './route-table.js';
import type { FleetDelta, FleetPosition, StoreCluster } from './fleet-state.js';

/** The newest state heard of. */
export class KnownFleet {
  private table: RouteTable | undefined;
  private leaveCount = 0;
  private readonly leavingIds = new Set<string>();
  private stores: StoreCluster | undefined;
  private readonly retiring = new Set<string>();

  /** Routes in force here; undefined before the first configuration. */
  get routes(): RouteTable | undefined {
    return this.table;
  }

  /** The cluster of the stores, once known. */
  get storeCluster(): StoreCluster | undefined {
    return this.stores;
  }

  /** Where this view stands. */
  get position(): FleetPosition {
    return { version: this.table?.version ?? -1, leaveCount: this.leaveCount };
  }

  /** Whether a run of an endpoint has said that it leaves. */
  isLeaving(runId: string): boolean {
    return this.leavingIds.has(runId);
  }

  /** Whether a store is to be emptied. */
  isRetiring(store: string): boolean {
    return this.retiring.has(store);
  }

  /** Takes news; gives the ids of the runs that newly leave and whether the routes changed. */
  take(delta: FleetDelta): { readonly newlyLeaving: string[]; readonly routesChanged: boolean } {
    const newlyLeaving = delta.leaving.filter((id) => !this.leavingIds.has(id));
    for (const id of newlyLeaving) this.leavingIds.add(id);
    this.leaveCount = Math.max(this.leaveCount, delta.position.leaveCount);
    for (const store of delta.retiringStores) this.retiring.add(store);
    if (delta.stores !== undefined) this.stores = delta.stores;
    const { configuration } = delta;
    const routesChanged =
      configuration !== undefined && configuration.version > this.position.version;
    if (routesChanged) this.table = new RouteTable(configuration);
    return { newlyLeaving, routesChanged };
  }
}
