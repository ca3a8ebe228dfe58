/**
 * What an entry knows of the fleet's state. It only grows: an answer of a control process that
 * lags changes nothing.
 */
import type { CrashChanges } from '@shedline/quarantine';
import { RouteTable } from './route-table.js';
import type { FleetDelta, FleetPosition, StoreCluster } from './fleet-state.js';

/** What was new in a delta. */
export interface FleetChanges {
  /** Ids of the runs that newly leave. */
  readonly newlyLeaving: readonly string[];
  readonly routesChanged: boolean;
  /** As told; some of it may be known. */
  readonly crashes: CrashChanges | undefined;
}

/** The newest state heard of. */
export class KnownFleet {
  private table: RouteTable | undefined;
  private leaveCount = 0;
  private crashNumber = 0;
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
    const { leaveCount, crashNumber } = this;
    return { version: this.table?.version ?? -1, leaveCount, crashNumber };
  }

  /** Whether a run of an endpoint has said that it leaves. */
  isLeaving(runId: string): boolean {
    return this.leavingIds.has(runId);
  }

  /** Whether a store is to be emptied. */
  isRetiring(store: string): boolean {
    return this.retiring.has(store);
  }

  /** Takes news; gives what of it is new. */
  take(delta: FleetDelta): FleetChanges {
    const newlyLeaving = delta.leaving.filter((id) => !this.leavingIds.has(id));
    for (const id of newlyLeaving) this.leavingIds.add(id);
    this.moveOn(delta);
    for (const store of delta.retiringStores) this.retiring.add(store);
    if (delta.stores !== undefined) this.stores = delta.stores;
    const { configuration } = delta;
    const routesChanged =
      configuration !== undefined && configuration.version > this.position.version;
    if (routesChanged) this.table = new RouteTable(configuration);
    return { newlyLeaving, routesChanged, crashes: delta.crashes };
  }

  /**
   * News that were pushed begin where the ones before ended: a reader that missed those stays where it is,
   * and asks for them. While it moved on all the same, a missed leave was never heard of.
   */
  private moveOn({ since, position }: FleetDelta): void {
    if ((since?.leaveCount ?? 0) <= this.leaveCount) {
      this.leaveCount = Math.max(this.leaveCount, position.leaveCount);
    }
    if ((since?.crashNumber ?? 0) <= this.crashNumber) {
      this.crashNumber = Math.max(this.crashNumber, position.crashNumber ?? 0);
    }
  }
}
