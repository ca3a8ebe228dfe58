/**
 * Keeps the division of the fleet as this entry sees it up to date.
 */
import { EndpointSubsets } from '@shedline/directory';
import type { ZonedName } from '@shedline/directory';

/** Options of {@link SubsetTracker}. */
export interface SubsetTrackerOptions {
  /** Name of this entry. */
  readonly self: string;
  /** Entries that serve now, this one included. */
  readonly entries: () => readonly ZonedName[];
  /** Endpoints that are up now. */
  readonly endpoints: () => readonly ZonedName[];
}

/** The division in force. */
export class SubsetTracker {
  private readonly options: SubsetTrackerOptions;
  private subsets = new EndpointSubsets({ entries: [], endpoints: [] });
  private own: ReadonlySet<string> = new Set();
  private key = '';
  private entries = 1;
  private endpointCount = 0;

  constructor(options: SubsetTrackerOptions) {
    this.options = options;
  }

  /** Divides anew if entries or endpoints came or went; true then. */
  refresh(): boolean {
    const entries = this.options.entries();
    const endpoints = this.options.endpoints();
    const key = `${namesOf(entries)}#${namesOf(endpoints)}`;
    if (key === this.key) return false;
    this.key = key;
    this.entries = entries.length;
    this.endpointCount = endpoints.length;
    this.subsets = new EndpointSubsets({ entries, endpoints });
    this.own = new Set(this.subsets.endpointsOf(this.options.self));
    return true;
  }

  /** Endpoints that this entry sends to while they have room. */
  get endpoints(): ReadonlySet<string> {
    return this.own;
  }

  /** Entries that use an endpoint. */
  usersOf(endpointId: string): readonly string[] {
    return this.subsets.entriesOf(endpointId);
  }

  /** Entries that may run batch work at an endpoint: bodies and events stay in its zone. */
  batchUsersOf(endpointId: string): readonly string[] {
    return this.subsets.nearEntriesOf(endpointId);
  }

  /** Entries that serve, this one included. */
  get entryCount(): number {
    return this.entries;
  }

  /** Entries that may run batch work at the same time: one an endpoint. */
  get batchEntryCount(): number {
    return Math.min(this.entries, this.endpointCount);
  }

  /** Other entries that share endpoints with this one. */
  get peers(): readonly string[] {
    return this.subsets.peersOf(this.options.self);
  }
}

function namesOf(placed: readonly ZonedName[]): string {
  return placed
    .map(({ name, availabilityZone }) => `${availabilityZone}|${name}`)
    .sort()
    .join(',');
}
