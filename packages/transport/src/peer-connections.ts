/**
 * Connections to a set of peers, which changes while the process runs.
 */
import type { LinkHandlers, LinkLoss } from './link.js';
import type { SilenceDetection } from './link-silence.js';
import { PeerClient } from './peer-client.js';

/** Address at which a peer accepts connections. */
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
  /** Local IP address to connect from; chosen by the system if omitted. */
  readonly localAddress?: string;
  readonly handlers?: Partial<LinkHandlers>;
  /** How soon an unresponsive peer is detected; `normal` if omitted. */
  readonly silenceDetection?: SilenceDetection;
  /** Delay before the first reconnection attempt. */
  readonly firstRetryMs?: number;
  /** Called whenever the handshake with a peer is complete. */
  readonly onReady?: (peerName: string) => void;
  /** Called when the connection to a peer was lost; it will be reopened. */
  readonly onLost?: (peerName: string, loss: LinkLoss) => void;
  /**
   * Time for which a connection is kept after its peer is no longer needed, so that it does not
   * have to be reopened if the peer is needed again soon. 0 if omitted.
   */
  readonly lingerMs?: number;
  readonly nowMs?: () => number;
}

/** One {@link PeerClient} per peer. */
export class PeerConnections {
  private readonly options: PeerConnectionsOptions;
  private readonly clients = new Map<string, PeerClient>();
  /** Since when each connected peer has not been needed. */
  private readonly unneededSinceMs = new Map<string, number>();
  private isClosed = false;

  constructor(options: PeerConnectionsOptions) {
    this.options = options;
  }

  /** Returns the client of a peer; undefined if the process is not a peer. */
  get(name: string): PeerClient | undefined {
    return this.clients.get(name);
  }

  /** Names of all peers. */
  get names(): string[] {
    return [...this.clients.keys()];
  }

  /** Clients whose connection is ready. */
  get ready(): PeerClient[] {
    return [...this.clients.values()].filter((client) => client.isReady);
  }

  /** Adds a peer and connects to it; does nothing if it is already a peer. */
  add(address: PeerAddress): void {
    if (this.isClosed || address.name === this.options.name) return;
    if (this.clients.has(address.name)) return;
    const {
      name,
      secret,
      localAddress,
      handlers,
      silenceDetection,
      firstRetryMs,
      onReady,
      onLost,
    } = this.options;
    const client = new PeerClient({
      name,
      secret,
      peerName: address.name,
      url: `ws://${address.host}:${address.port}`,
      ...(localAddress === undefined ? {} : { localAddress }),
      ...(handlers === undefined ? {} : { handlers }),
      ...(silenceDetection === undefined ? {} : { silenceDetection }),
      ...(firstRetryMs === undefined ? {} : { firstRetryMs }),
      onReady: () => onReady?.(address.name),
      onLost: (loss) => onLost?.(address.name, loss),
    });
    this.clients.set(address.name, client);
  }

  /**
   * Closes the connections to all other peers, at a later call if `lingerMs` has not passed yet.
   */
  keepOnly(names: ReadonlySet<string>): void {
    const nowMs = this.options.nowMs?.() ?? performance.now();
    for (const [name, client] of this.clients) {
      if (names.has(name)) {
        this.unneededSinceMs.delete(name);
        continue;
      }
      const sinceMs = this.unneededSinceMs.get(name) ?? nowMs;
      this.unneededSinceMs.set(name, sinceMs);
      const hasLingered = nowMs - sinceMs >= (this.options.lingerMs ?? 0);
      // A lost connection is not kept: reopening it would serve no purpose.
      if (hasLingered || client.isDown) this.remove(name, client);
    }
  }

  /** Closes all connections for good. */
  close(): void {
    this.isClosed = true;
    for (const [name, client] of this.clients) this.remove(name, client);
  }

  private remove(name: string, client: PeerClient): void {
    client.close();
    this.clients.delete(name);
    this.unneededSinceMs.delete(name);
  }
}
