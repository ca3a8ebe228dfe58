/**
 * A process's view of the fleet state. It only advances: a reply of a control process that lags
 * behind changes nothing.
 */
import type { CrashChanges } from '@shedline/quarantine';
import { JobHosts } from './job-hosts.js';
import { RouteTable, hostName } from './route-table.js';
import type { FleetDelta, FleetPosition, StoreCluster } from './fleet-state.js';

/** The effective changes of a delta. */
export interface FleetChanges {
  /** Ids of the incarnations that were not known to be draining. */
  readonly newlyLeaving: readonly string[];
  readonly routesChanged: boolean;
  /** As received; some of these changes may be known already. */
  readonly crashes: CrashChanges | undefined;
}

/** The newest known state of the fleet. */
export class KnownFleet {
  private table: RouteTable | undefined;
  private leaveCount = 0;
  private crashNumber = 0;
  private readonly leavingIds = new Set<string>();
  private stores: StoreCluster | undefined;
  private readonly retiring = new Set<string>();
  private readonly jobHosts = new JobHosts();

  /** Routes of the newest known configuration; undefined before the first one. */
  get routes(): RouteTable | undefined {
    return this.table;
  }

  /** The store cluster; undefined until it is known. */
  get storeCluster(): StoreCluster | undefined {
    return this.stores;
  }

  /** Returns the hosts that have, or had, a route for batch jobs. */
  get knownJobHosts(): readonly string[] {
    return this.jobHosts.all;
  }

  /** Whether a host has, or had, a route for batch jobs; a port in the host is ignored. */
  mayHaveJobs(host: string): boolean {
    return this.jobHosts.has(hostName(host));
  }

  /** The position up to which the state is known. */
  get position(): FleetPosition {
    const { leaveCount, crashNumber } = this;
    return { version: this.table?.version ?? -1, leaveCount, crashNumber };
  }

  /** Whether an endpoint incarnation is recorded as draining. */
  isLeaving(runId: string): boolean {
    return this.leavingIds.has(runId);
  }

  /** Whether a store is retiring. */
  isRetiring(store: string): boolean {
    return this.retiring.has(store);
  }

  /** Applies a delta; returns its effective changes. */
  applyDelta(delta: FleetDelta): FleetChanges {
    const newlyLeaving = delta.leaving.filter((id) => !this.leavingIds.has(id));
    for (const id of newlyLeaving) this.leavingIds.add(id);
    this.advancePosition(delta);
    for (const store of delta.retiringStores) this.retiring.add(store);
    if (delta.stores !== undefined) this.stores = delta.stores;
    const { configuration } = delta;
    const routesChanged =
      configuration !== undefined && configuration.version > this.position.version;
    if (routesChanged) {
      this.table = new RouteTable(configuration);
      this.jobHosts.addHosts(delta.jobHosts ?? []);
      this.jobHosts.add(configuration);
    }
    return { newlyLeaving, routesChanged, crashes: delta.crashes };
  }

  /**
   * Advances the position, unless the delta starts after it. A pushed delta starts where the previous
   * one ended, so a reader that missed a push keeps its position and requests the missed changes;
   * otherwise it would never learn of a missed drain.
   */
  private advancePosition({ since, position }: FleetDelta): void {
    if ((since?.leaveCount ?? 0) <= this.leaveCount) {
      this.leaveCount = Math.max(this.leaveCount, position.leaveCount);
    }
    if ((since?.crashNumber ?? 0) <= this.crashNumber) {
      this.crashNumber = Math.max(this.crashNumber, position.crashNumber ?? 0);
    }
  }
}
