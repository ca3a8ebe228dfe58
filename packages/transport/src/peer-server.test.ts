/**
 * Guards against a process that does not stop. If closing the server ended only the authenticated
 * connections and waited for all, a connection whose handshake was still in progress would complete
 * it afterwards, and both sides would keep it open. A control process that was stopped half a
 * second after its start, while others connected to it, kept running this way, with two such
 * connections, and responded with 503 to operators.
 */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { once } from 'node:events';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { describe, title } from '@shedline/test-utils';
import { PeerConnections } from './peer-connections.js';
import { PeerServer } from './peer-server.js';

const HOST = '127.0.0.1';
const SECRET = 'a secret of the server';

async function startServer(): Promise<{ server: PeerServer; port: number }> {
  const handlers = { onRequest: () => Promise.resolve(''), onMessage: () => undefined };
  const server = new PeerServer({ name: 'server', secret: SECRET, handlers });
  return { server, port: await server.listen(HOST, 0) };
}

/**
 * Forwards the first bytes of a connection, the protocol upgrade, and buffers the rest until
 * released.
 */
class HandshakeRelay {
  private readonly server = createServer((socket) => {
    this.relay(socket);
  });
  private readonly sockets: Socket[] = [];
  private readonly bufferedWrites: (() => void)[] = [];
  private isBuffering = true;

  constructor(private readonly targetPort: number) {}

  async listen(t: ExecutionContext): Promise<number> {
    this.server.listen(0, HOST);
    await once(this.server, 'listening');
    t.teardown(() => {
      for (const socket of this.sockets) socket.destroy();
      this.server.close();
    });
    return (this.server.address() as AddressInfo).port;
  }

  /** Whether the connecting side has begun its handshake. */
  get hasBegun(): boolean {
    return this.bufferedWrites.length > 0;
  }

  release(): void {
    this.isBuffering = false;
    for (const write of this.bufferedWrites) write();
  }

  private relay(socket: Socket): void {
    const target = connect(this.targetPort, HOST);
    this.sockets.push(socket, target);
    target.on('data', (bytes) => socket.write(bytes));
    target.on('close', () => socket.destroy());
    target.on('error', () => undefined);
    socket.on('error', () => undefined);
    let isUpgrade = true;
    socket.on('data', (bytes) => {
      if (isUpgrade || !this.isBuffering) target.write(bytes);
      else this.bufferedWrites.push(() => target.write(bytes));
      isUpgrade = false;
    });
  }
}

describe('PeerServer', () => {
  test(title('closes while the handshake with a peer is in progress'), async (t) => {
    t.timeout(20_000);
    const { server, port } = await startServer();
    const relay = new HandshakeRelay(port);
    const connections = new PeerConnections({ name: 'peer', secret: SECRET });
    t.teardown(() => {
      connections.close();
    });
    connections.add({ name: 'server', host: HOST, port: await relay.listen(t) });
    while (!relay.hasBegun) await new Promise(setImmediate);
    const closing = server.close();
    relay.release();
    await closing;
    t.is(server.readyLinks.length, 0);
  });

  test(title('closes while a client is connected that sends nothing'), async (t) => {
    t.timeout(20_000);
    const { server, port } = await startServer();
    const socket = connect(port, HOST);
    socket.on('error', () => undefined);
    await once(socket, 'connect');
    const ended = once(socket, 'close');
    socket.resume();
    await server.close();
    await ended;
    t.pass();
  });
});
