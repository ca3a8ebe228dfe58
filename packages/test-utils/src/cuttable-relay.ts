/**
 * A connection between two instances that a test can cut without a word: bytes stop, and
 * neither side is told.
 */
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';

/** Passes bytes on until it is cut. */
export class CuttableRelay {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private isCut = false;
  /** Ends of connections that have gone silent for good. */
  private readonly silent = new WeakSet<Socket>();

  private constructor(targetPort: () => number) {
    this.server = createServer((incoming) => {
      const outgoing = connect(targetPort(), '127.0.0.1');
      this.join(incoming, outgoing);
      this.join(outgoing, incoming);
    });
  }

  /** Starts a relay to a port of this machine, which may be known only later. */
  static async start(targetPort: () => number): Promise<CuttableRelay> {
    const relay = new CuttableRelay(targetPort);
    await new Promise<void>((resolve) => {
      relay.server.listen(0, '127.0.0.1', resolve);
    });
    return relay;
  }

  /** Where to connect. */
  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Stops or lets pass. What came while it was cut is lost with its connection. */
  cut(isCut: boolean): void {
    this.isCut = isCut;
    if (isCut) return;
    for (const socket of this.sockets) socket.destroy();
  }

  /** Lets all open connections go silent for good; neither end is told, and new ones work. */
  silenceOpen(): void {
    for (const socket of this.sockets) this.silent.add(socket);
  }

  /** Ends the relay. */
  async close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise((resolve) => this.server.close(resolve));
  }

  private join(from: Socket, to: Socket): void {
    this.sockets.add(from);
    from.on('data', (bytes: Buffer) => {
      if (!this.isCut && !this.silent.has(from)) to.write(bytes);
    });
    from.on('error', () => undefined);
    from.on('close', () => {
      this.sockets.delete(from);
      if (!this.isCut && !this.silent.has(from)) to.destroy();
    });
  }
}
