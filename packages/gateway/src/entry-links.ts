/**
 * Connections between the entries that share endpoints: one a pair, over which both send. One each
 * way cost twice the handshakes at each start, and twice the pings of connections that rest.
 */
import type { Link, PeerAddress, PeerConnections } from '@shedline/transport';

/** Options of {@link EntryLinks}. */
export interface EntryLinksOptions {
  /** Name of this entry. */
  readonly self: string;
  /** Connections that this entry opens. */
  readonly opened: PeerConnections;
  /** The connection that another entry has opened to this one. */
  readonly accepted: (peerName: string) => Pick<Link, 'send'> | undefined;
}

/** Sends messages to other entries. */
export class EntryLinks {
  private readonly options: EntryLinksOptions;

  constructor(options: EntryLinksOptions) {
    this.options = options;
  }

  /** Keeps connections to exactly these entries; of each pair the one of the lower name opens it. */
  keepOnly(entries: readonly PeerAddress[]): void {
    const { self, opened } = this.options;
    const toOpen = entries.filter(({ name }) => self < name);
    for (const { name, host, port } of toOpen) opened.add({ name, host, port });
    opened.keepOnly(new Set(toOpen.map(({ name }) => name)));
  }

  /** Sends a one-way message; it is dropped while there is no connection. */
  send(peerName: string, method: string, payload: unknown): void {
    const link = this.options.opened.get(peerName) ?? this.options.accepted(peerName);
    link?.send(method, payload);
  }

  /** Closes the connections that this entry opened. */
  close(): void {
    this.options.opened.close();
  }
}
