/**
 * Connections between entries that share endpoints: one per pair, used in both directions. One per
 * direction would double the handshakes at each start and the pings of idle connections.
 */
import type { Link, PeerAddress, PeerConnections } from '@shedline/transport';

/** Options of {@link EntryConnections}. */
export interface EntryConnectionsOptions {
  /** Name of this entry. */
  readonly self: string;
  /** Connections that this entry opens. */
  readonly opened: PeerConnections;
  /** Returns the connection that another entry opened to this one. */
  readonly accepted: (peerName: string) => Pick<Link, 'send'> | undefined;
}

/** Maintains the connections to other entries, and sends messages over them. */
export class EntryConnections {
  private readonly options: EntryConnectionsOptions;

  constructor(options: EntryConnectionsOptions) {
    this.options = options;
  }

  /**
   * Keeps connections to exactly these entries; the entry with the lower name of a pair connects.
   */
  keepOnly(entries: readonly PeerAddress[]): void {
    const { self, opened } = this.options;
    const toOpen = entries.filter(({ name }) => self < name);
    for (const { name, host, port } of toOpen) opened.add({ name, host, port });
    opened.keepOnly(new Set(toOpen.map(({ name }) => name)));
  }

  /** Sends a one-way message; drops it if there is no connection. */
  send(peerName: string, method: string, payload: unknown): void {
    const link = this.options.opened.get(peerName) ?? this.options.accepted(peerName);
    link?.send(method, payload);
  }

  /** Closes the connections that this entry opened. */
  close(): void {
    this.options.opened.close();
  }
}
