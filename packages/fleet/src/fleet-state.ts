/**
 * State machine of the fleet group: the configuration in force, the endpoints that are draining, the
 * store cluster, and the request contents under which endpoints have crashed. All of it was
 * acknowledged by a quorum and never reverts.
 */
import { CrashRecords } from '@shedline/quarantine';
import type { CrashChanges, CrashCommand, CrashRecordsData } from '@shedline/quarantine';
import { match } from 'ts-pattern';
import type { Configuration } from './configuration.js';
import { JobHosts } from './job-hosts.js';
import { UNKNOWN_START_MS, runIdOf } from './endpoint-run.js';
import type { EndpointRun } from './endpoint-run.js';

/** Maximum number of leave records; an endpoint stops long before its record is removed. */
const MAX_LEAVE_RECORDS = 4000;

/** Puts a configuration in force if its version is the highest. */
export interface PutConfiguration {
  readonly type: 'putConfiguration';
  readonly configuration: Configuration;
  /** The text that the operator sent; returned unchanged. */
  readonly document: string;
}

/** Records permanently that an endpoint incarnation drains. */
export interface RecordLeave {
  readonly type: 'recordLeave';
  readonly endpointId: string;
  /** Start time of the incarnation; omitted by earlier versions, which did not tell them apart. */
  readonly startedAtMs?: number;
}

/** Forms the store cluster; only the first such command takes effect. */
export interface FormStores {
  readonly type: 'formStores';
  readonly cluster: StoreCluster;
}

/** The store cluster as it was formed. */
export interface StoreCluster {
  readonly clusterId: string;
  /** Member ids of the stores that formed it. */
  readonly initialMembers: readonly string[];
  readonly jobGroupCount: number;
  readonly voterCount: number;
}

/** Starts to move all groups off a store, so that its instance can be removed. */
export interface RetireStore {
  readonly type: 'retireStore';
  /** Name of the store process. */
  readonly store: string;
  /** Name of its instance, which operators use; omitted by earlier versions. */
  readonly instance?: string;
}

/** Any command of the fleet group. */
export type FleetCommand = PutConfiguration | RecordLeave | FormStores | RetireStore | CrashCommand;

/** Reply to a command; `outcome` is `stored` if the state changed. */
export interface FleetAnswer {
  readonly ok: true;
  readonly outcome: 'stored' | 'held';
  /** Version in force after the command. */
  readonly version: number;
}

/** The position up to which a reader knows the state. */
export interface FleetPosition {
  /** Known version of the configuration; -1 for none. */
  readonly version: number;
  /** Number of known leave records. */
  readonly leaveCount: number;
  /** Newest known change of {@link CrashRecords}; omitted by earlier versions. */
  readonly crashNumber?: number;
}

/** The changes that a reader lacks. */
export interface FleetDelta {
  /** Position that the delta starts from; omitted by earlier versions. */
  readonly since?: FleetPosition;
  readonly position: FleetPosition;
  readonly configuration?: Configuration;
  /**
   * Hosts that had a route for batch jobs in any configuration, see {@link JobHosts}; sent with the
   * configuration, omitted by earlier versions.
   */
  readonly jobHosts?: readonly string[];
  /** Ids of the draining incarnations that the reader lacks. */
  readonly leaving: readonly string[];
  readonly stores?: StoreCluster;
  /** Complete list of the retiring stores. */
  readonly retiringStores: readonly string[];
  /** Contents under which endpoints have crashed; omitted if the reader knows all of them. */
  readonly crashes?: CrashChanges;
}

/** Serializable form of the state. */
interface FleetData {
  readonly configuration: Configuration | undefined;
  readonly document: string;
  readonly leaving: readonly string[];
  readonly forgottenLeaves: number;
  readonly stores: StoreCluster | undefined;
  readonly retiringStores: readonly string[];
  /** Pairs of a retiring instance and its store; omitted by earlier versions. */
  readonly retiringInstances?: readonly (readonly [string, string])[];
  /** Omitted by earlier versions. */
  readonly crashes?: CrashRecordsData;
  /** Omitted by earlier versions. */
  readonly jobHosts?: readonly string[];
}

/** The replicated state of a fleet. */
export class FleetState {
  private configuration: Configuration | undefined;
  private document = '';
  private leaving: string[] = [];
  private leavingIds = new Set<string>();
  private forgottenLeaves = 0;
  private stores: StoreCluster | undefined;
  private retiring = new Set<string>();
  private retiringInstances = new Map<string, string>();
  private readonly crashes = new CrashRecords();
  private readonly jobHosts = new JobHosts();

  /** The current position of the state. */
  get position(): FleetPosition {
    return {
      version: this.configuration?.version ?? -1,
      leaveCount: this.forgottenLeaves + this.leaving.length,
      crashNumber: this.crashes.position,
    };
  }

  /** The store cluster; undefined before it is formed. */
  get storeCluster(): StoreCluster | undefined {
    return this.stores;
  }

  /** Whether a store is retiring. */
  isRetiring(store: string): boolean {
    return this.retiring.has(store);
  }

  /** Returns the retiring store of an instance, whether or not it is up. */
  retiringStoreOf(instance: string): string | undefined {
    return this.retiringInstances.get(instance);
  }

  /** The text of the configuration in force; empty before the first configuration. */
  get configurationDocument(): string {
    return this.document;
  }

  /** Whether an endpoint incarnation is recorded as draining. */
  isLeaving(run: EndpointRun): boolean {
    return this.leavingIds.has(runIdOf(run));
  }

  apply(command: FleetCommand): FleetAnswer {
    const changed = match(command)
      .with({ type: 'putConfiguration' }, (c) => this.putConfiguration(c))
      .with({ type: 'recordLeave' }, (c) => this.recordLeave(c))
      .with({ type: 'formStores' }, (c) => this.formStores(c.cluster))
      .with({ type: 'retireStore' }, (c) => this.retireStore(c))
      .with({ type: 'recordCrashes' }, { type: 'beginTrial' }, (c) => this.crashes.apply(c))
      .exhaustive();
    const outcome = changed ? 'stored' : 'held';
    return { ok: true, outcome, version: this.position.version };
  }

  /** Returns the changes that a reader at position `known` lacks. */
  deltaSince(known: FleetPosition): FleetDelta {
    const { position, configuration, stores } = this;
    const isConfigurationNewer =
      configuration !== undefined && configuration.version > known.version;
    const firstLacking = Math.max(0, known.leaveCount - this.forgottenLeaves);
    const crashes = this.crashes.changesSince(known.crashNumber ?? 0);
    return {
      since: known,
      position,
      leaving: this.leaving.slice(firstLacking),
      retiringStores: [...this.retiring],
      ...(isConfigurationNewer ? { configuration, jobHosts: this.jobHosts.all } : {}),
      ...(stores === undefined ? {} : { stores }),
      ...(crashes.records.length === 0 ? {} : { crashes }),
    };
  }

  /** Returns the serializable form of the state, for a snapshot. */
  toData(): unknown {
    const { configuration, document, leaving, forgottenLeaves, stores } = this;
    const retiringStores = [...this.retiring];
    const data: FleetData = {
      configuration,
      document,
      leaving,
      forgottenLeaves,
      stores,
      retiringStores,
      retiringInstances: [...this.retiringInstances],
      crashes: this.crashes.toData(),
      jobHosts: this.jobHosts.all,
    };
    return data;
  }

  /** Replaces the state by the content of a snapshot. */
  restore(snapshot: unknown): void {
    const data = snapshot as FleetData;
    this.configuration = data.configuration ?? undefined;
    this.document = data.document;
    this.leaving = [...data.leaving];
    this.leavingIds = new Set(this.leaving);
    this.forgottenLeaves = data.forgottenLeaves;
    this.stores = data.stores ?? undefined;
    this.retiring = new Set(data.retiringStores);
    this.retiringInstances = new Map(data.retiringInstances ?? []);
    this.crashes.restore(data.crashes);
    this.jobHosts.restore(data.jobHosts ?? []);
    this.jobHosts.add(this.configuration);
  }

  private putConfiguration({ configuration, document }: PutConfiguration): boolean {
    if (configuration.version <= this.position.version) return false;
    this.configuration = configuration;
    this.document = document;
    this.jobHosts.add(configuration);
    return true;
  }

  private recordLeave({ endpointId, startedAtMs = UNKNOWN_START_MS }: RecordLeave): boolean {
    const runId = runIdOf({ endpointId, startedAtMs });
    if (this.leavingIds.has(runId)) return false;
    this.leaving.push(runId);
    this.leavingIds.add(runId);
    while (this.leaving.length > MAX_LEAVE_RECORDS) {
      const dropped = this.leaving.shift();
      if (dropped !== undefined) this.leavingIds.delete(dropped);
      this.forgottenLeaves += 1;
    }
    return true;
  }

  private formStores(cluster: StoreCluster): boolean {
    if (this.stores !== undefined) return false;
    this.stores = cluster;
    return true;
  }

  private retireStore({ store, instance }: RetireStore): boolean {
    if (this.retiring.has(store)) return false;
    this.retiring.add(store);
    if (instance !== undefined) this.retiringInstances.set(instance, store);
    return true;
  }
}
