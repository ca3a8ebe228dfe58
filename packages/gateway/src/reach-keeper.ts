/**
 * Keeps the division of the fleet as this entry sees it up to date.
 */
import { Reach } from '@shedline/directory';
import type { Placed } from '@shedline/directory';

/** Options of {@link ReachKeeper}. */
export interface ReachKeeperOptions {
  /** Name of this entry. */
  readonly self: string;
  /** Entries that serve now, this one included. */
  readonly entries: () => readonly Placed[];
  /** Endpoints that are up now. */
  readonly endpoints: () => readonly Placed[];
}

/** The division in force. */
export class ReachKeeper {
  private readonly options: ReachKeeperOptions;
  private reach = new Reach({ entries: [], endpoints: [] });
  private own: ReadonlySet<string> = new Set();
  private key = '';
  private entries = 1;
  private endpointCount = 0;

  constructor(options: ReachKeeperOptions) {
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
    this.reach = new Reach({ entries, endpoints });
    this.own = new Set(this.reach.endpointsOf(this.options.self));
    return true;
  }

  /** Endpoints that this entry sends to while they have room. */
  get endpoints(): ReadonlySet<string> {
    return this.own;
  }

  /** Entries that use an endpoint. */
  usersOf(endpointId: string): readonly string[] {
    return this.reach.entriesOf(endpointId);
  }

  /** Entries that may run batch work at an endpoint: bodies and events stay in its zone. */
  batchUsersOf(endpointId: string): readonly string[] {
    return this.reach.nearEntriesOf(endpointId);
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
    return this.reach.peersOf(this.options.self);
  }
}

function namesOf(placed: readonly Placed[]): string {
  return placed
    .map(({ name, availabilityZone }) => `${availabilityZone}|${name}`)
    .sort()
    .join(',');
}
