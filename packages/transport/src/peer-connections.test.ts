import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { PeerConnections } from './peer-connections.js';
import { PeerServer } from './peer-server.js';

const HOST = '127.0.0.1';
const SECRET = 'a secret of the peers';

async function startPeer(name: string): Promise<{ server: PeerServer; port: number }> {
  const server = new PeerServer({
    name,
    secret: SECRET,
    handlers: {
      onRequest: (method) => Promise.resolve(`${name} ${method}`),
      onMessage: () => undefined,
    },
  });
  return { server, port: await server.listen(HOST, 0) };
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await pause(10);
}

/**
 * Starts a relay that forwards bytes until it is silenced; then it keeps connections open and
 * discards bytes.
 */
async function startRelay(
  port: number,
): Promise<{ port: number; silence: () => void; close: () => void }> {
  const { connect } = await import('node:net');
  const sockets: Socket[] = [];
  let isSilent = false;
  const server = createServer((socket) => {
    const target = connect(port, HOST);
    sockets.push(socket, target);
    for (const [from, to] of [
      [socket, target],
      [target, socket],
    ] as const) {
      from.on('error', () => undefined);
      from.on('data', (bytes) => {
        if (!isSilent) to.write(bytes);
      });
    }
  });
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    silence: () => {
      isSilent = true;
    },
    close: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

describe('peer connections', () => {
  test(title('connects to added peers, and closes connections that are not kept'), async (t) => {
    const [first, second] = await Promise.all([startPeer('first'), startPeer('second')]);
    const ready: string[] = [];
    const connections = new PeerConnections({
      name: 'own',
      secret: SECRET,
      onReady: (name) => ready.push(name),
    });
    connections.add({ name: 'first', host: HOST, port: first.port });
    connections.add({ name: 'first', host: HOST, port: 1 });
    connections.add({ name: 'second', host: HOST, port: second.port });
    connections.add({ name: 'own', host: HOST, port: 1 });
    await until(() => connections.ready.length === 2);
    t.deepEqual(connections.names.sort(), ['first', 'second']);
    t.deepEqual(ready.sort(), ['first', 'second']);
    t.is(await connections.get('second')?.request('asked', {}), 'second asked');
    connections.keepOnly(new Set(['second']));
    t.is(connections.get('first'), undefined);
    await until(() => first.server.readyLinks.length === 0);
    connections.close();
    connections.add({ name: 'first', host: HOST, port: first.port });
    t.deepEqual(connections.names, []);
    await Promise.all([first.server.close(), second.server.close()]);
  });

  test(title('keeps a connection that is soon needed again, and closes others'), async (t) => {
    const { server, port } = await startPeer('far');
    let nowMs = 0;
    const connections = new PeerConnections({
      name: 'own',
      secret: SECRET,
      lingerMs: 100,
      nowMs: () => nowMs,
    });
    connections.add({ name: 'far', host: HOST, port });
    const first = connections.get('far');
    connections.keepOnly(new Set());
    nowMs = 99;
    connections.keepOnly(new Set());
    t.is(connections.get('far'), first);
    connections.keepOnly(new Set(['far']));
    nowMs = 150;
    connections.keepOnly(new Set());
    t.is(connections.get('far'), first);
    nowMs = 250;
    connections.keepOnly(new Set());
    t.is(connections.get('far'), undefined);
    await server.close();
  });

  test(title('does not reopen a connection that is lost and no longer needed'), async (t) => {
    const { server, port } = await startPeer('far');
    const connections = new PeerConnections({
      name: 'own',
      secret: SECRET,
      lingerMs: 1e6,
      firstRetryMs: 1e6,
    });
    connections.add({ name: 'far', host: HOST, port });
    await until(() => connections.ready.length === 1);
    await server.close();
    await until(() => connections.get('far')?.isDown === true);
    connections.keepOnly(new Set());
    t.is(connections.get('far'), undefined);
    connections.close();
  });

  test(title('terminates a connection that became unresponsive without closing'), async (t) => {
    const { server, port } = await startPeer('far');
    const relay = await startRelay(port);
    const connections = new PeerConnections({ name: 'own', secret: SECRET });
    connections.add({ name: 'far', host: HOST, port: relay.port });
    await until(() => connections.ready.length === 1);
    relay.silence();
    await until(() => connections.ready.length === 0);
    t.pass();
    connections.close();
    relay.close();
    await server.close();
  });
});
