/**
 * Proxies connections between a process and its peers, and impairs them: delays or blocks traffic,
 * or resets connections.
 */
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';

/** Addresses on both sides of a relay. */
export interface RelayOptions {
  /** IP address that the peers connect to. */
  readonly host: string;
  /** IP address that the process listens on and connects from. */
  readonly processHost: string;
  readonly port: number;
}

/** Impairment of the traffic from one process to another. */
export interface LinkImpairment {
  readonly isBlocked: boolean;
  readonly delayMs: number;
}

export const NO_IMPAIRMENT: LinkImpairment = { isBlocked: false, delayMs: 0 };

/** Blocks all traffic. */
export const BLOCKED: LinkImpairment = { isBlocked: true, delayMs: 0 };

/** Returns the impairment of the traffic from one process to another, by IP address. */
export type ImpairmentBetween = (fromHost: string, toHost: string) => LinkImpairment;

/** A connection through a relay, with its incoming and outgoing socket. */
interface RelayedConnection {
  isSilent: boolean;
}

/** Relay in front of one port of a process. */
export class Relay {
  private readonly options: RelayOptions;
  private readonly impairmentBetween: ImpairmentBetween;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private readonly connections = new Set<RelayedConnection>();

  constructor(options: RelayOptions, impairmentBetween: ImpairmentBetween) {
    this.options = options;
    this.impairmentBetween = impairmentBetween;
    this.server = createServer((incoming) => {
      this.acceptConnection(incoming);
    });
  }

  async listen(): Promise<void> {
    const { host, port } = this.options;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** Resets all connections. */
  reset(): void {
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  /** Drops all further data of the open connections, which stay open; new connections work. */
  silenceOpen(): void {
    for (const connection of this.connections) connection.isSilent = true;
  }

  /** Resets all connections and stops listening. */
  async close(): Promise<void> {
    this.reset();
    await new Promise((resolve) => this.server.close(resolve));
  }

  private acceptConnection(incoming: Socket): void {
    const { processHost, port } = this.options;
    const peerHost = incoming.remoteAddress ?? '';
    const outgoing = connect({ host: processHost, port });
    const connection: RelayedConnection = { isSilent: false };
    this.connections.add(connection);
    incoming.on('close', () => this.connections.delete(connection));
    this.forward(connection, incoming, outgoing, () =>
      this.impairmentBetween(peerHost, processHost),
    );
    this.forward(connection, outgoing, incoming, () =>
      this.impairmentBetween(processHost, peerHost),
    );
  }

  /**
   * Forwards data and the end of the connection in order. While traffic is blocked both are queued
   * and sent later, like the packets of a broken link.
   */
  private forward(
    connection: RelayedConnection,
    from: Socket,
    to: Socket,
    impairment: () => LinkImpairment,
  ): void {
    const queue: (Buffer | 'end')[] = [];
    let isSending = false;
    const sendNext = (): void => {
      const { isBlocked, delayMs } = impairment();
      if (isBlocked) {
        setTimeout(sendNext, POLL_MS);
        return;
      }
      setTimeout(() => {
        const next = queue.shift();
        if (next === 'end') destroyWhenWritten(to);
        else if (next !== undefined && to.writable) to.write(next);
        isSending = queue.length > 0;
        if (isSending) sendNext();
      }, delayMs);
    };
    const enqueue = (next: Buffer | 'end'): void => {
      if (connection.isSilent) return;
      queue.push(next);
      if (isSending) return;
      isSending = true;
      sendNext();
    };
    this.sockets.add(from);
    from.on('data', enqueue);
    // Errors are ignored, because a close event follows.
    from.on('error', () => undefined);
    from.on('close', () => {
      this.sockets.delete(from);
      enqueue('end');
    });
  }
}

/**
 * Destroys a socket when it has written everything. `destroySoon` would also shut it down first, and
 * a socket that is reset at that time may stay open for good.
 */
function destroyWhenWritten(socket: Socket): void {
  if (!socket.writable) socket.destroy();
  else socket.write('', () => socket.destroy());
}

/** Interval at which a blocked connection checks whether it may continue. */
const POLL_MS = 20;
