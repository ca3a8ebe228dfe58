/**
 * Server that accepts connections from other processes.
 */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { WebSocketServer } from 'ws';
import type { WebSocket } from 'ws';
import { Link } from './link.js';
import type { LinkHandlers } from './link.js';

const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;
const UPGRADE_REQUIRED = 426;

/** Options of {@link PeerServer}. */
export interface PeerServerOptions {
  readonly name: string;
  readonly secret: string;
  readonly handlers: LinkHandlers;
}

/** Accepts connections and authenticates their peers. */
export class PeerServer {
  private readonly options: PeerServerOptions;
  private readonly links = new Set<Link>();
  /** The most recent authenticated connection of each peer. */
  private readonly newestLinks = new Map<string, Link>();
  private readonly listener: Server;
  private readonly server: WebSocketServer;

  constructor(options: PeerServerOptions) {
    this.options = options;
    this.listener = createServer((_request, response) => {
      response.writeHead(UPGRADE_REQUIRED).end();
    });
    this.server = new WebSocketServer({ server: this.listener, maxPayload: MAX_MESSAGE_BYTES });
    this.server.on('connection', (socket) => {
      this.accept(socket);
    });
  }

  /** Starts listening; resolves with the port. */
  listen(host: string, port: number): Promise<number> {
    const { listener, server } = this;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      listener.listen(port, host, () => {
        const address = listener.address();
        resolve(typeof address === 'object' && address !== null ? address.port : port);
      });
    });
  }

  /** Connections that are authenticated and open. */
  get readyLinks(): Link[] {
    return [...this.links].filter((link) => link.isReady);
  }

  /** Returns the most recent connection of a peer; undefined if it is closed. */
  linkOf(peerName: string): Link | undefined {
    return this.newestLinks.get(peerName);
  }

  /**
   * Stops listening and closes all connections, including those that are not authenticated or have
   * received nothing yet. Their peers would keep them open, and this call would wait for them.
   */
  async close(): Promise<void> {
    const { listener, server } = this;
    server.close();
    for (const socket of server.clients) socket.terminate();
    if (!listener.listening) return;
    await new Promise<void>((resolve) => {
      listener.close(() => {
        resolve();
      });
      listener.closeAllConnections();
    });
  }

  private accept(socket: WebSocket): void {
    const link = new Link({
      socket,
      ...this.options,
      onReady: (ready) => {
        this.links.add(ready);
        this.newestLinks.set(ready.peerName, ready);
      },
      onClosed: (closed) => {
        this.links.delete(closed);
        if (this.newestLinks.get(closed.peerName) === closed)
          this.newestLinks.delete(closed.peerName);
      },
    });
    link.start();
  }
}
