/**
 * A TCP relay between two instances that simulates a network partition: it drops all bytes, and
 * neither side sees its connection close.
 */
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';

/** Relays bytes in both directions, except while it is partitioned. */
export class PartitionRelay {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private isPartitioned = false;
  /** Sockets from which no more bytes are relayed. */
  private readonly stalled = new WeakSet<Socket>();

  private constructor(targetPort: () => number) {
    this.server = createServer((incoming) => {
      const outgoing = connect(targetPort(), '127.0.0.1');
      this.forward(incoming, outgoing);
      this.forward(outgoing, incoming);
    });
  }

  /** Starts a relay to a local port; `targetPort` is called for each connection. */
  static async start(targetPort: () => number): Promise<PartitionRelay> {
    const relay = new PartitionRelay(targetPort);
    await new Promise<void>((resolve) => {
      relay.server.listen(0, '127.0.0.1', resolve);
    });
    return relay;
  }

  /** Port on which the relay listens. */
  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /**
   * Begins or ends a partition. The end closes all open connections, because bytes that arrived
   * during the partition were dropped.
   */
  setPartitioned(isPartitioned: boolean): void {
    this.isPartitioned = isPartitioned;
    if (isPartitioned) return;
    for (const socket of this.sockets) socket.destroy();
  }

  /** Permanently stalls all open connections without closing them; new connections work. */
  stallOpenConnections(): void {
    for (const socket of this.sockets) this.stalled.add(socket);
  }

  /** Closes the relay and all its connections. */
  async close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise((resolve) => this.server.close(resolve));
  }

  private forward(from: Socket, to: Socket): void {
    this.sockets.add(from);
    from.on('data', (bytes: Buffer) => {
      if (!this.isPartitioned && !this.stalled.has(from)) to.write(bytes);
    });
    from.on('error', () => undefined);
    from.on('close', () => {
      this.sockets.delete(from);
      if (!this.isPartitioned && !this.stalled.has(from)) to.destroy();
    });
  }
}
