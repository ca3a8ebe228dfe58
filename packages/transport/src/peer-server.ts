/**
 * Takes connections from other instances.
 */
import { WebSocketServer } from 'ws';
import { Link } from './link.js';
import type { LinkHandlers } from './link.js';

const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/** Options of {@link PeerServer}. */
export interface PeerServerOptions {
  readonly name: string;
  readonly secret: string;
  readonly handlers: LinkHandlers;
}

/** Listens for other instances. */
export class PeerServer {
  private readonly options: PeerServerOptions;
  private readonly links = new Set<Link>();
  /** The newest proven connection of each peer. */
  private readonly newest = new Map<string, Link>();
  private server: WebSocketServer | undefined;

  constructor(options: PeerServerOptions) {
    this.options = options;
  }

  /** Starts listening; gives the port. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      const server = new WebSocketServer({ host, port, maxPayload: MAX_MESSAGE_BYTES });
      this.server = server;
      server.once('error', reject);
      server.once('listening', () => {
        const address = server.address();
        resolve(typeof address === 'object' && address !== null ? address.port : port);
      });
      server.on('connection', (socket) => {
        const link = new Link({
          socket,
          ...this.options,
          onReady: (ready) => {
            this.links.add(ready);
            this.newest.set(ready.peerName, ready);
          },
          onClosed: (closed) => {
            this.links.delete(closed);
            if (this.newest.get(closed.peerName) === closed) this.newest.delete(closed.peerName);
          },
        });
        link.start();
      });
    });
  }

  /** Connections that are proven and up. */
  get readyLinks(): Link[] {
    return [...this.links].filter((link) => link.isReady);
  }

  /** The newest connection that a peer has opened, if it is up. */
  linkOf(peerName: string): Link | undefined {
    return this.newest.get(peerName);
  }

  /** Closes all connections and stops listening. */
  async close(): Promise<void> {
    for (const link of this.links) link.terminate();
    const server = this.server;
    if (server === undefined) return;
    await new Promise<void>((resolve) => {
      server.close(() => {
        resolve();
      });
    });
  }
}
