/**
 * What operators saw: a control process that was told to stop was still there minutes later, with its port for
 * operators open, answering 503 to all of them.
 *
 * Order of events: it was told to stop half a second after its start, while others dialled it; one line after "stopping" a peer
 * noted its connection to it as up.
 *
 * Cause: closing ended the connections that had proved who they were, and waited for the end of all. One that was
 * still proving itself did so afterwards, and both sides kept it alive for good. Evidence: the process had nothing left but two
 * such connections on a port that nobody listened on any more.
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

/** Passes the first bytes of a connection on, the upgrade of its protocol; holds the rest until it is let go. */
class HandshakeRelay {
  private readonly server = createServer((socket) => {
    this.relay(socket);
  });
  private readonly sockets: Socket[] = [];
  private readonly held: (() => void)[] = [];
  private isHolding = true;

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

  /** Whether the dialling side has begun to prove itself. */
  get hasBegun(): boolean {
    return this.held.length > 0;
  }

  letGo(): void {
    this.isHolding = false;
    for (const pass of this.held) pass();
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
      if (isUpgrade || !this.isHolding) target.write(bytes);
      else this.held.push(() => target.write(bytes));
      isUpgrade = false;
    });
  }
}

describe('PeerServer', () => {
  test(title('closes while a peer is proving who it is'), async (t) => {
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
    relay.letGo();
    await closing;
    t.is(server.readyLinks.length, 0);
  });

  test(title('closes while somebody is connected who says nothing'), async (t) => {
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
