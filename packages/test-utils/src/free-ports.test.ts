import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { describe, title } from './describe.js';
import { freePorts } from './free-ports.js';

/** Number of connections that an entry of a failure test has to its engines and callers. */
const CONNECTIONS = 200;

async function listenOn(t: ExecutionContext, port: number): Promise<Server> {
  const server = createServer();
  t.teardown(() => server.close());
  server.listen(port, '127.0.0.1');
  await once(server, 'listening');
  return server;
}

describe('freePorts', () => {
  test(title('returns each port once, and none that is in use'), async (t) => {
    const first = await freePorts(20);
    for (const port of first) await listenOn(t, port);
    const next = await freePorts(80);
    t.is(new Set([...first, ...next]).size, 100);
  });

  // A restarted process can't listen on its previous port if an outgoing connection has taken the
  // port in the meantime: listening then fails with EADDRINUSE, and the process exits.
  test(title('returns no port that an outgoing connection may take'), async (t) => {
    const server = await listenOn(t, 0);
    const { port } = server.address() as AddressInfo;
    const sockets = Array.from({ length: CONNECTIONS }, () => connect(port, '127.0.0.1'));
    t.teardown(() => {
      for (const socket of sockets) socket.destroy();
    });
    await Promise.all(sockets.map((socket) => once(socket, 'connect')));
    const lowest = Math.min(...sockets.map(({ localPort = 0 }) => localPort));
    const ports = await freePorts(50);
    t.true(Math.max(...ports) < lowest);
  });
});
