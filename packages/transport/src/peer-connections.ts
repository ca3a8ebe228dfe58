/**
 * Connections to a set of peers that changes while the process runs.
 */
import type { LinkHandlers, LinkLoss } from './link.js';
import type { LinkUse } from './link-silence.js';
import { PeerClient } from './peer-client.js';

/** Where a peer takes connections. */
export interface PeerAddress {
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

/** Options of {@link PeerConnections}. */
export interface PeerConnectionsOptions {
  /** Name of this process. */
  readonly name: string;
  readonly secret: string;
  /** Own IP number to connect from; the system chooses where it is left out. */
  readonly localAddress?: string;
  readonly handlers?: Partial<LinkHandlers>;
  /** How soon silence of a peer has to be noticed; `usual` where it is left out. */
  readonly use?: LinkUse;
  /** Pause before a lost connection is opened again. */
  readonly firstRetryMs?: number;
  /** Called with the name of a peer whenever a connection to it has been proven. */
  readonly onReady?: (peerName: string) => void;
  /** Called when the connection to a peer was lost; it is opened again. */
  readonly onLost?: (peerName: string, loss: LinkLoss) => void;
  /**
   * Time that a connection is kept after its peer is no longer wanted: one that is wanted again
   * soon need not be opened anew.
   */
  readonly lingerMs?: number;
  readonly nowMs?: () => number;
}

/** One lasting connection a peer. */
export class PeerConnections {
  private readonly options: PeerConnectionsOptions;
  private readonly clients = new Map<string, PeerClient>();
  private readonly unwantedSinceMs = new Map<string, number>();
  private closed = false;

  constructor(options: PeerConnectionsOptions) {
    this.options = options;
  }

  /** The connection to a peer, if it is one. */
  get(name: string): PeerClient | undefined {
    return this.clients.get(name);
  }

  /** Names of all peers. */
  get names(): string[] {
    return [...this.clients.keys()];
  }

  /** Peers whose connection is up. */
  get ready(): PeerClient[] {
    return [...this.clients.values()].filter((client) => client.isReady);
  }

  /** Makes a process a peer; one that is already is left alone. */
  add(address: PeerAddress): void {
    if (this.closed || address.name === this.options.name) return;
    if (this.clients.has(address.name)) return;
    const { name, secret, localAddress, handlers, use, firstRetryMs, onReady, onLost } =
      this.options;
    const client = new PeerClient({
      name,
      secret,
      peerName: address.name,
      url: `ws://${address.host}:${address.port}`,
      ...(localAddress === undefined ? {} : { localAddress }),
      ...(handlers === undefined ? {} : { handlers }),
      ...(use === undefined ? {} : { use }),
      ...(firstRetryMs === undefined ? {} : { firstRetryMs }),
      onReady: () => onReady?.(address.name),
      onLost: (loss) => onLost?.(address.name, loss),
    });
    this.clients.set(address.name, client);
  }

  /** Closes the connections to all peers but these, those that linger at a later call. */
  keepOnly(names: ReadonlySet<string>): void {
    const nowMs = this.options.nowMs?.() ?? performance.now();
    for (const [name, client] of this.clients) {
      if (names.has(name)) {
        this.unwantedSinceMs.delete(name);
        continue;
      }
      const sinceMs = this.unwantedSinceMs.get(name) ?? nowMs;
      this.unwantedSinceMs.set(name, sinceMs);
      const hasLingered = nowMs - sinceMs >= (this.options.lingerMs ?? 0);
      // One that is down would only be opened in vain until then.
      if (hasLingered || client.isDown) this.drop(name, client);
    }
  }

  /** Closes all connections for good. */
  close(): void {
    this.closed = true;
    for (const [name, client] of this.clients) this.drop(name, client);
  }

  private drop(name: string, client: PeerClient): void {
    client.close();
    this.clients.delete(name);
    this.unwantedSinceMs.delete(name);
  }
}
