/**
 * Keeps the endpoint subsets of the entries up to date, as computed from the members known to this
 * entry.
 */
import { EndpointSubsets } from '@shedline/directory';
import type { ZonedName } from '@shedline/directory';

/** Options of {@link SubsetTracker}. */
export interface SubsetTrackerOptions {
  /** Name of this entry. */
  readonly self: string;
  /** Returns the entries that serve now, including this one. */
  readonly entries: () => readonly ZonedName[];
  /** Returns the endpoints that are up now. */
  readonly endpoints: () => readonly ZonedName[];
}

/** The current endpoint subsets. */
export class SubsetTracker {
  private readonly options: SubsetTrackerOptions;
  private subsets = new EndpointSubsets({ entries: [], endpoints: [] });
  private ownEndpoints: ReadonlySet<string> = new Set();
  private knownEntries: readonly ZonedName[] = [];
  private knownEndpoints: readonly ZonedName[] = [];
  private servingEntryCount = 1;
  private endpointCount = 0;

  constructor(options: SubsetTrackerOptions) {
    this.options = options;
  }

  /**
   * Recomputes the subsets if entries or endpoints were added, removed or listed in another order;
   * returns whether it did.
   */
  refresh(): boolean {
    const entries = this.options.entries();
    const endpoints = this.options.endpoints();
    if (isSame(entries, this.knownEntries) && isSame(endpoints, this.knownEndpoints)) return false;
    this.knownEntries = entries;
    this.knownEndpoints = endpoints;
    this.servingEntryCount = entries.length;
    this.endpointCount = endpoints.length;
    this.subsets = new EndpointSubsets({ entries, endpoints });
    this.ownEndpoints = new Set(this.subsets.endpointsOf(this.options.self));
    return true;
  }

  /** Endpoints in the subset of this entry. */
  get endpoints(): ReadonlySet<string> {
    return this.ownEndpoints;
  }

  /** Returns the entries with an endpoint in their subset. */
  usersOf(endpointId: string): readonly string[] {
    return this.subsets.entriesOf(endpointId);
  }

  /**
   * Returns the entries that may run batch work at an endpoint: those in its zone, where bodies and
   * events stay.
   */
  batchUsersOf(endpointId: string): readonly string[] {
    return this.subsets.nearEntriesOf(endpointId);
  }

  /** Number of entries that serve, including this one. */
  get entryCount(): number {
    return this.servingEntryCount;
  }

  /** Number of entries that may run batch work at the same time: at most one per endpoint. */
  get batchEntryCount(): number {
    return Math.min(this.servingEntryCount, this.endpointCount);
  }

  /** Names of other entries that share endpoints with this one. */
  get peers(): readonly string[] {
    return this.subsets.peersOf(this.options.self);
  }
}

/**
 * Whether two lists have the same members in the same order. Both lists keep their order while
 * nothing changes, so no key has to be sorted and built at each check.
 */
function isSame(a: readonly ZonedName[], b: readonly ZonedName[]): boolean {
  return (
    a.length === b.length &&
    a.every(
      ({ name, availabilityZone }, index) =>
        name === b[index]?.name && availabilityZone === b[index].availabilityZone,
    )
  );
}
