/**
 * Connections of an entry to the stores: persistent ones to the leaders of the groups that it
 * needs, and temporary ones to other stores while they are called. With a connection to each of 30
 * stores, 165 entries held 4,950 connections, each with a handshake at every start and with regular
 * pings.
 */
import type { CallPort } from '@shedline/control-client';
import type { MemberRecord } from '@shedline/mesh';
import type { PeerConnections } from '@shedline/transport';

/**
 * Time for which an unneeded connection is kept: leadership may move back and forth during a fault.
 */
export const STORE_LINGER_MS = 10_000;

/** Options of {@link StoreConnections}. */
export interface StoreConnectionsOptions {
  readonly connections: Pick<PeerConnections, 'add' | 'get' | 'keepOnly'>;
  /** Returns the stores that are up. */
  readonly stores: () => readonly MemberRecord[];
  /** Returns the groups that this entry needs. */
  readonly groups: () => ReadonlySet<number>;
}

/** Maintains the connections to the stores. */
export class StoreConnections {
  private readonly options: StoreConnectionsOptions;

  constructor(options: StoreConnectionsOptions) {
    this.options = options;
  }

  /** Connects to the leaders of the needed groups; other connections are closed after a delay. */
  update(): void {
    const { connections, stores, groups } = this.options;
    const needed = groups();
    const leaders = stores().filter(({ leads }) => leads?.some((group) => needed.has(group)));
    for (const leader of leaders) connections.add(leader);
    connections.keepOnly(new Set(leaders.map(({ name }) => name)));
  }

  /**
   * Returns the stores in the order of calls about a group: its leader, its other members, the
   * rest.
   */
  ports(group: number): CallPort[] {
    const ranked = this.options.stores().map((store) => ({ store, rank: rankOf(store, group) }));
    return ranked.sort((a, b) => a.rank - b.rank).map(({ store }) => this.portOf(store));
  }

  private portOf(store: MemberRecord): CallPort {
    const { connections } = this.options;
    const open = connections.get(store.name);
    return {
      name: store.name,
      // A store to which no connection was tried yet may well be reachable.
      isReady: open === undefined || open.isReady,
      call: (method, payload, timeoutMs) => {
        connections.add(store);
        const client = connections.get(store.name);
        if (client === undefined) return Promise.reject(new Error(`${store.name} is not known`));
        return client.request(method, payload, timeoutMs);
      },
    };
  }
}

/** Returns 0 for the leader of a group, 1 for its other members, 2 for all other stores. */
function rankOf({ leads, holds }: MemberRecord, group: number): number {
  if (leads?.includes(group) === true) return 0;
  return holds?.includes(group) === true ? 1 : 2;
}
