/**
 * Deterministic subsetting: computes the endpoints that each entry sends to and the entries that
 * share an endpoint. Entries and endpoints are placed on a ring, ordered by availability zone, and an
 * entry uses the endpoints nearest to its own position. In a small fleet every entry uses every
 * endpoint. In a large fleet an endpoint is used by a bounded number of entries, so the request counts
 * that these exchange do not grow with the fleet.
 */

/** The name of a process or an endpoint, and its availability zone. */
export interface ZonedName {
  readonly name: string;
  readonly availabilityZone: string;
}

/** Options of {@link EndpointSubsets}. */
export interface EndpointSubsetsOptions {
  readonly entries: readonly ZonedName[];
  readonly endpoints: readonly ZonedName[];
  /** Largest number of entries with which every entry uses every endpoint. */
  readonly maxEntriesWithoutSubsets?: number;
  /** Average number of entries that use an endpoint once there are subsets. */
  readonly usersPerEndpoint?: number;
  /** Minimum size of a subset, so that several endpoints may fail at once. */
  readonly minEndpoints?: number;
  /** Maximum size of a subset, unless some endpoints would then be in no subset. */
  readonly maxEndpoints?: number;
}

/** Covers all entries of the small deployments with some margin. */
const DEFAULT_MAX_ENTRIES_WITHOUT_SUBSETS = 16;
/**
 * Each entry reports every request that begins or ends to the other entries of an endpoint, so the
 * number of messages grows with the square of this value. With a lower value, the loss of one entry
 * leaves an endpoint with too few.
 */
const DEFAULT_USERS_PER_ENDPOINT = 5;
/** Half of them may fail at once; if the others are full, the entry uses all endpoints. */
const DEFAULT_MIN_ENDPOINTS = 4;
/** Enough to balance the load of one entry; choosing an endpoint examines all of them. */
const DEFAULT_MAX_ENDPOINTS = 64;

/** The immutable subsets for one list of entries and one of endpoints. */
export class EndpointSubsets {
  private readonly byEntry = new Map<string, readonly string[]>();
  private readonly byEndpoint = new Map<string, string[]>();
  private readonly byEndpointInZone = new Map<string, readonly string[]>();
  private readonly peers = new Map<string, readonly string[]>();

  constructor(options: EndpointSubsetsOptions) {
    const entries = sortByZone(options.entries);
    const endpoints = sortByZone(options.endpoints);
    const count = endpointsPerEntry(entries.length, endpoints.length, options);
    for (const endpoint of endpoints) this.byEndpoint.set(endpoint, []);
    for (const [index, entry] of entries.entries()) {
      const position = ((index + 0.5) / entries.length) * endpoints.length;
      const first = Math.floor(position - count / 2);
      const used = Array.from({ length: count }, (_, offset) =>
        elementAt(endpoints, first + offset),
      );
      this.byEntry.set(entry, used);
      for (const endpoint of used) this.byEndpoint.get(endpoint)?.push(entry);
    }
    this.indexNearbyEntries(options);
  }

  /** Returns the endpoints that an entry uses. */
  endpointsOf(entry: string): readonly string[] {
    return this.byEntry.get(entry) ?? [];
  }

  /** Returns the entries that use an endpoint; always the same array for the same endpoint. */
  entriesOf(endpoint: string): readonly string[] {
    return this.byEndpoint.get(endpoint) ?? [];
  }

  /**
   * Returns the entries that use an endpoint and are in its availability zone, or all its entries if
   * none is.
   */
  nearEntriesOf(endpoint: string): readonly string[] {
    return this.byEndpointInZone.get(endpoint) ?? this.entriesOf(endpoint);
  }

  /** Returns the other entries that share at least one endpoint with this entry. */
  peersOf(entry: string): readonly string[] {
    const known = this.peers.get(entry);
    if (known !== undefined) return known;
    const sharing = this.endpointsOf(entry).flatMap((endpoint) => this.entriesOf(endpoint));
    const peers = [...new Set(sharing)].filter((name) => name !== entry);
    this.peers.set(entry, peers);
    return peers;
  }

  private indexNearbyEntries({ entries, endpoints }: EndpointSubsetsOptions): void {
    const zones = new Map(entries.map(({ name, availabilityZone }) => [name, availabilityZone]));
    for (const { name, availabilityZone } of endpoints) {
      const near = this.entriesOf(name).filter((entry) => zones.get(entry) === availabilityZone);
      if (near.length > 0) this.byEndpointInZone.set(name, near);
    }
  }
}

function endpointsPerEntry(
  entries: number,
  endpoints: number,
  options: EndpointSubsetsOptions,
): number {
  const {
    maxEntriesWithoutSubsets = DEFAULT_MAX_ENTRIES_WITHOUT_SUBSETS,
    usersPerEndpoint = DEFAULT_USERS_PER_ENDPOINT,
    minEndpoints = DEFAULT_MIN_ENDPOINTS,
    maxEndpoints = DEFAULT_MAX_ENDPOINTS,
  } = options;
  if (entries <= maxEntriesWithoutSubsets) return endpoints;
  const share = Math.round((usersPerEndpoint * endpoints) / entries);
  // One more than an even share, so that rounding leaves no endpoint without an entry.
  const needed = Math.ceil(endpoints / entries) + 1;
  const bounded = Math.min(maxEndpoints, Math.max(minEndpoints, share));
  return Math.min(endpoints, Math.max(needed, bounded));
}

/** Sorts names by zone, then by name; builds each key once, as the sort compares it several times. */
function sortByZone(items: readonly ZonedName[]): string[] {
  return items
    .map(({ name, availabilityZone }) => ({ name, key: `${availabilityZone}|${name}` }))
    .sort((a, b) => (a.key < b.key ? -1 : 1))
    .map(({ name }) => name);
}

/** Returns an element of a list that wraps around at both ends. */
function elementAt(list: readonly string[], index: number): string {
  return list[((index % list.length) + list.length) % list.length] ?? '';
}
