/**
 * Connections of an entry to the stores: lasting ones to those that lead a group which it needs, others
 * while a question goes there. With one to each of 30 stores, 165 entries held 4,950 connections, each with its
 * handshake at every start and its pings.
 */
import type { CallPort } from '@shedline/control-client';
import type { MemberRecord } from '@shedline/mesh';
import type { PeerConnections } from '@shedline/transport';

/** Time that a connection outlives the need for it: leaders change back and forth around a fault. */
export const STORE_LINGER_MS = 10_000;

/** Options of {@link StoreLinks}. */
export interface StoreLinksOptions {
  readonly connections: Pick<PeerConnections, 'add' | 'get' | 'keepOnly'>;
  /** Stores that are up. */
  readonly stores: () => readonly MemberRecord[];
  /** Groups that this entry needs. */
  readonly groups: () => ReadonlySet<number>;
}

/** Connections to the stores. */
export class StoreLinks {
  private readonly options: StoreLinksOptions;

  constructor(options: StoreLinksOptions) {
    this.options = options;
  }

  /** Connects to the leaders of the groups needed; all others end after a while. */
  update(): void {
    const { connections, stores, groups } = this.options;
    const needed = groups();
    const leaders = stores().filter(({ leads }) => leads?.some((group) => needed.has(group)));
    for (const leader of leaders) connections.add(leader);
    connections.keepOnly(new Set(leaders.map(({ name }) => name)));
  }

  /** The stores as places to ask about a group: its leader, then those that hold it, then the others. */
  ports(group: number): CallPort[] {
    const ranked = this.options.stores().map((store) => ({ store, rank: rankOf(store, group) }));
    return ranked.sort((a, b) => a.rank - b.rank).map(({ store }) => this.portOf(store));
  }

  private portOf(store: MemberRecord): CallPort {
    const { connections } = this.options;
    const open = connections.get(store.name);
    return {
      name: store.name,
      // One to which no connection was tried yet may well answer.
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

/** 0 for the leader of a group, 1 for its other holders, 2 for all others. */
function rankOf({ leads, holds }: MemberRecord, group: number): number {
  if (leads?.includes(group) === true) return 0;
  return holds?.includes(group) === true ? 1 : 2;
}
