import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { PeerBook } from './peer-book.js';
import { PeerServer } from './peer-server.js';

const HOST = '127.0.0.1';
const SECRET = 'a secret of the book';

async function peer(name: string): Promise<{ server: PeerServer; port: number }> {
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

async function until(what: () => boolean): Promise<void> {
  while (!what()) await pause(10);
}

/** Passes bytes on until it is silenced; then it keeps connections open and says nothing. */
async function relayTo(
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

describe('peer book', () => {
  test(title('connects to those that are added, and closes those that are not kept'), async (t) => {
    const [first, second] = await Promise.all([peer('first'), peer('second')]);
    const ready: string[] = [];
    const book = new PeerBook({ name: 'own', secret: SECRET, onReady: (name) => ready.push(name) });
    book.add({ name: 'first', host: HOST, port: first.port });
    book.add({ name: 'first', host: HOST, port: 1 });
    book.add({ name: 'second', host: HOST, port: second.port });
    book.add({ name: 'own', host: HOST, port: 1 });
    await until(() => book.ready.length === 2);
    t.deepEqual(book.names.sort(), ['first', 'second']);
    t.deepEqual(ready.sort(), ['first', 'second']);
    t.is(await book.get('second')?.request('asked', {}), 'second asked');
    book.keepOnly(new Set(['second']));
    t.is(book.get('first'), undefined);
    await until(() => first.server.readyLinks.length === 0);
    book.close();
    book.add({ name: 'first', host: HOST, port: first.port });
    t.deepEqual(book.names, []);
    await Promise.all([first.server.close(), second.server.close()]);
  });

  test(
    title('keeps a connection that is soon wanted again, and closes one that is not'),
    async (t) => {
      const { server, port } = await peer('far');
      let nowMs = 0;
      const book = new PeerBook({ name: 'own', secret: SECRET, lingerMs: 100, nowMs: () => nowMs });
      book.add({ name: 'far', host: HOST, port });
      const first = book.get('far');
      book.keepOnly(new Set());
      nowMs = 99;
      book.keepOnly(new Set());
      t.is(book.get('far'), first);
      book.keepOnly(new Set(['far']));
      nowMs = 150;
      book.keepOnly(new Set());
      t.is(book.get('far'), first);
      nowMs = 250;
      book.keepOnly(new Set());
      t.is(book.get('far'), undefined);
      await server.close();
    },
  );

  test(
    title('does not go on to open a connection that is lost and no longer wanted'),
    async (t) => {
      const { server, port } = await peer('far');
      const book = new PeerBook({ name: 'own', secret: SECRET, lingerMs: 1e6, firstRetryMs: 1e6 });
      book.add({ name: 'far', host: HOST, port });
      await until(() => book.ready.length === 1);
      await server.close();
      await until(() => book.get('far')?.isDown === true);
      book.keepOnly(new Set());
      t.is(book.get('far'), undefined);
      book.close();
    },
  );

  test(title('gives a connection up that has fallen silent without closing'), async (t) => {
    const { server, port } = await peer('far');
    const relay = await relayTo(port);
    const book = new PeerBook({ name: 'own', secret: SECRET });
    book.add({ name: 'far', host: HOST, port: relay.port });
    await until(() => book.ready.length === 1);
    relay.silence();
    await until(() => book.ready.length === 0);
    t.pass();
    book.close();
    relay.close();
    await server.close();
  });
});
