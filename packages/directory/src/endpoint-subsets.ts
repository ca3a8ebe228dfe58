/**
 * Which endpoints an entry sends to, and with which entries it shares them, where every entry
 * finds the fleet itself. Entries and endpoints are laid on a circle, ordered by availability
 * zone; an entry uses the endpoints nearest to its own place. In a small fleet everybody uses
 * everything; in a large one an endpoint has a bounded number of users, so that the counts that
 * users tell each other do not grow with the fleet.
 */

/** A process or an endpoint, and where it stands. */
export interface ZonedName {
  readonly name: string;
  readonly availabilityZone: string;
}

/** Options of {@link EndpointSubsets}. */
export interface EndpointSubsetsOptions {
  readonly entries: readonly ZonedName[];
  readonly endpoints: readonly ZonedName[];
  /** Fleets with no more entries than this are not divided. */
  readonly undividedEntries?: number;
  /** Entries that an endpoint of a divided fleet has as users, on average. */
  readonly usersPerEndpoint?: number;
  /** Endpoints that an entry uses at least, so that some may fail at once. */
  readonly minEndpoints?: number;
  /** Endpoints that an entry uses at most, unless some would have no user. */
  readonly maxEndpoints?: number;
}

/** All entries of the small deployments, with some to spare. */
const DEFAULT_UNDIVIDED_ENTRIES = 16;
/**
 * Each user tells the others of every request that begins or ends, so messages grow with the
 * square of this; with fewer, one that is gone leaves an endpoint to too few.
 */
const DEFAULT_USERS_PER_ENDPOINT = 5;
/** Half of them may fail at once; where the others are full, all endpoints of the fleet are used. */
const DEFAULT_MIN_ENDPOINTS = 4;
/** Enough to even out the load of one entry; a choice looks at each of them. */
const DEFAULT_MAX_ENDPOINTS = 64;

/** The division of one list of entries and one of endpoints. It never changes. */
export class EndpointSubsets {
  private readonly byEntry = new Map<string, readonly string[]>();
  private readonly byEndpoint = new Map<string, string[]>();
  private readonly byEndpointNear = new Map<string, readonly string[]>();
  private readonly peers = new Map<string, readonly string[]>();

  constructor(options: EndpointSubsetsOptions) {
    const entries = inOrder(options.entries);
    const endpoints = inOrder(options.endpoints);
    const count = endpointsPerEntry(entries.length, endpoints.length, options);
    for (const endpoint of endpoints) this.byEndpoint.set(endpoint, []);
    for (const [index, entry] of entries.entries()) {
      const place = ((index + 0.5) / entries.length) * endpoints.length;
      const first = Math.floor(place - count / 2);
      const used = Array.from({ length: count }, (_, offset) => at(endpoints, first + offset));
      this.byEntry.set(entry, used);
      for (const endpoint of used) this.byEndpoint.get(endpoint)?.push(entry);
    }
    this.noteNear(options);
  }

  /** Endpoints that an entry uses. */
  endpointsOf(entry: string): readonly string[] {
    return this.byEntry.get(entry) ?? [];
  }

  /** Entries that use an endpoint; always the same array for the same endpoint. */
  entriesOf(endpoint: string): readonly string[] {
    return this.byEndpoint.get(endpoint) ?? [];
  }

  /** Entries that use an endpoint and stand in its availability zone; all where none does. */
  nearEntriesOf(endpoint: string): readonly string[] {
    return this.byEndpointNear.get(endpoint) ?? this.entriesOf(endpoint);
  }

  /** Other entries that use some endpoint that this one uses. */
  peersOf(entry: string): readonly string[] {
    const known = this.peers.get(entry);
    if (known !== undefined) return known;
    const sharing = this.endpointsOf(entry).flatMap((endpoint) => this.entriesOf(endpoint));
    const peers = [...new Set(sharing)].filter((name) => name !== entry);
    this.peers.set(entry, peers);
    return peers;
  }

  private noteNear({ entries, endpoints }: EndpointSubsetsOptions): void {
    const zones = new Map(entries.map(({ name, availabilityZone }) => [name, availabilityZone]));
    for (const { name, availabilityZone } of endpoints) {
      const near = this.entriesOf(name).filter((entry) => zones.get(entry) === availabilityZone);
      if (near.length > 0) this.byEndpointNear.set(name, near);
    }
  }
}

function endpointsPerEntry(
  entries: number,
  endpoints: number,
  options: EndpointSubsetsOptions,
): number {
  const {
    undividedEntries = DEFAULT_UNDIVIDED_ENTRIES,
    usersPerEndpoint = DEFAULT_USERS_PER_ENDPOINT,
    minEndpoints = DEFAULT_MIN_ENDPOINTS,
    maxEndpoints = DEFAULT_MAX_ENDPOINTS,
  } = options;
  if (entries <= undividedEntries) return endpoints;
  const share = Math.round((usersPerEndpoint * endpoints) / entries);
  // One more than an even division, so that rounding leaves no endpoint without a user.
  const needed = Math.ceil(endpoints / entries) + 1;
  const bounded = Math.min(maxEndpoints, Math.max(minEndpoints, share));
  return Math.min(endpoints, Math.max(needed, bounded));
}

function inOrder(placed: readonly ZonedName[]): string[] {
  const keyOf = (one: ZonedName): string => `${one.availabilityZone}|${one.name}`;
  return [...placed].sort((a, b) => (keyOf(a) < keyOf(b) ? -1 : 1)).map(({ name }) => name);
}

/** Element of a list that is closed to a circle. */
function at(list: readonly string[], index: number): string {
  return list[((index % list.length) + list.length) % list.length] ?? '';
}
