/**
 * State machine of the fleet group: the configuration in force, the endpoints that have said
 * that they leave, the cluster of the stores, and the contents under which endpoints have ended. What is in here was acknowledged by a quorum
 * and never reverts.
 */
import { CrashRecords } from '@shedline/quarantine';
import type { CrashChanges, CrashCommand, CrashRecordsData } from '@shedline/quarantine';
import { match } from 'ts-pattern';
import type { Configuration } from './configuration.js';
import { UNKNOWN_START_MS, runIdOf } from './endpoint-run.js';
import type { EndpointRun } from './endpoint-run.js';

/** Leave records kept; an endpoint is gone long before its record is dropped. */
const MAX_LEAVE_RECORDS = 4000;

/** Puts a configuration in force if its version is the highest. */
export interface PutConfiguration {
  readonly type: 'putConfiguration';
  readonly configuration: Configuration;
  /** The text that the operator sent; read back unchanged. */
  readonly document: string;
}

/** Records for good that a run of an endpoint leaves. */
export interface RecordLeave {
  readonly type: 'recordLeave';
  readonly endpointId: string;
  /** Start of the run; left out by programs that took each id for one run. */
  readonly startedAtMs?: number;
}

/** Forms the cluster of the stores; the first one counts. */
export interface FormStores {
  readonly type: 'formStores';
  readonly cluster: StoreCluster;
}

/** The cluster of the stores as it was formed. */
export interface StoreCluster {
  readonly clusterId: string;
  /** Identities of the stores that formed it. */
  readonly initialMembers: readonly string[];
  readonly jobGroupCount: number;
  readonly voterCount: number;
}

/** Has a store emptied, so that its instance can be taken away. */
export interface RetireStore {
  readonly type: 'retireStore';
  /** Name of the store process. */
  readonly store: string;
  /** Name of its instance, by which operators ask; left out by earlier programs. */
  readonly instance?: string;
}

/** Any command of the fleet group. */
export type FleetCommand = PutConfiguration | RecordLeave | FormStores | RetireStore | CrashCommand;

/** Answer to a command; `outcome` says whether the state changed. */
export interface FleetAnswer {
  readonly ok: true;
  readonly outcome: 'stored' | 'held';
  /** Version in force after the command. */
  readonly version: number;
}

/** How far a reader knows the state. */
export interface FleetPosition {
  /** Version known; -1 for none. */
  readonly version: number;
  /** Leave records known. */
  readonly leaveCount: number;
  /** Newest change known of {@link CrashRecords}; left out by earlier programs. */
  readonly crashNumber?: number;
}

/** What a reader lacks. */
export interface FleetDelta {
  /** Where the reader that it was made for stood; left out by earlier programs. */
  readonly since?: FleetPosition;
  readonly position: FleetPosition;
  readonly configuration?: Configuration;
  /** Ids of the runs that leave, those that the reader lacks. */
  readonly leaving: readonly string[];
  readonly stores?: StoreCluster;
  /** Stores that are to be emptied; the whole list. */
  readonly retiringStores: readonly string[];
  /** Contents under which endpoints have ended; left out where the reader knows all. */
  readonly crashes?: CrashChanges;
}

/** Plain form of the state. */
interface FleetData {
  readonly configuration: Configuration | undefined;
  readonly document: string;
  readonly leaving: readonly string[];
  readonly forgottenLeaves: number;
  readonly stores: StoreCluster | undefined;
  readonly retiringStores: readonly string[];
  /** Instances of these, with the store; left out by earlier programs. */
  readonly retiringInstances?: readonly (readonly [string, string])[];
  /** Left out by earlier programs. */
  readonly crashes?: CrashRecordsData;
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

  /** Where the state stands. */
  get position(): FleetPosition {
    return {
      version: this.configuration?.version ?? -1,
      leaveCount: this.forgottenLeaves + this.leaving.length,
      crashNumber: this.crashes.position,
    };
  }

  /** The cluster of the stores; undefined before it is formed. */
  get storeCluster(): StoreCluster | undefined {
    return this.stores;
  }

  /** Whether a store is to be emptied. */
  isRetiring(store: string): boolean {
    return this.retiring.has(store);
  }

  /** The store of an instance that is to be emptied, whether or not it is up. */
  retiringStoreOf(instance: string): string | undefined {
    return this.retiringInstances.get(instance);
  }

  /** The text of the configuration in force; empty before the first one. */
  get configurationDocument(): string {
    return this.document;
  }

  /** Whether a run of an endpoint has said that it leaves. */
  isLeaving(run: EndpointRun): boolean {
    return this.leavingIds.has(runIdOf(run));
  }

  /** Applies a command. */
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

  /** What a reader at `known` lacks. */
  deltaSince(known: FleetPosition): FleetDelta {
    const { position, configuration, stores } = this;
    const isOlder = configuration !== undefined && configuration.version > known.version;
    const from = Math.max(0, known.leaveCount - this.forgottenLeaves);
    const crashes = this.crashes.changesSince(known.crashNumber ?? 0);
    return {
      since: known,
      position,
      leaving: this.leaving.slice(from),
      retiringStores: [...this.retiring],
      ...(isOlder ? { configuration } : {}),
      ...(stores === undefined ? {} : { stores }),
      ...(crashes.records.length === 0 ? {} : { crashes }),
    };
  }

  /** The state in plain form, for a snapshot. */
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
    };
    return data;
  }

  /** Takes the place of what is here. */
  restore(plain: unknown): void {
    const data = plain as FleetData;
    this.configuration = data.configuration ?? undefined;
    this.document = data.document;
    this.leaving = [...data.leaving];
    this.leavingIds = new Set(this.leaving);
    this.forgottenLeaves = data.forgottenLeaves;
    this.stores = data.stores ?? undefined;
    this.retiring = new Set(data.retiringStores);
    this.retiringInstances = new Map(data.retiringInstances ?? []);
    this.crashes.restore(data.crashes);
  }

  private putConfiguration({ configuration, document }: PutConfiguration): boolean {
    if (configuration.version <= this.position.version) return false;
    this.configuration = configuration;
    this.document = document;
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
