import { once } from 'node:events';
import { createServer, request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { OpenCalls, trackCalls } from './open-calls.js';

describe('OpenCalls', () => {
  test(title('counts calls of all kinds until they end'), async (t) => {
    const openCalls = new OpenCalls();
    await openCalls.waitUntilNone(60_000);
    const first = openCalls.begin('read');
    const second = openCalls.begin('forward');
    t.deepEqual(openCalls.byKind, ['read=1', 'forward=1']);
    let isIdle = false;
    const idle = openCalls.waitUntilNone(60_000).then(() => {
      isIdle = true;
    });
    first.end();
    first.end();
    t.is(openCalls.count, 1, 'a call ends once');
    await new Promise(setImmediate);
    t.false(isIdle);
    second.end();
    await idle;
    t.deepEqual(openCalls.byKind, []);
  });

  test(title('stops waiting for calls that do not end'), async (t) => {
    const openCalls = new OpenCalls();
    openCalls.begin('read');
    await openCalls.waitUntilNone(10);
    t.is(openCalls.count, 1);
  });
});

describe('trackCalls', () => {
  test(
    title('counts a call from its head until its response is sent or its caller leaves'),
    async (t) => {
      const openCalls = new OpenCalls();
      const server = createServer((incoming, response) => {
        incoming.on('end', () => response.end('done')).resume();
      });
      trackCalls(server, openCalls, ({ url = '' }) => url);
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      t.teardown(() => server.close());
      const { port } = server.address() as AddressInfo;
      const send = (path: string): ReturnType<typeof request> =>
        request({ port, path, method: 'POST', headers: { 'Content-Length': '2' }, agent: false });
      const slow = send('/slow');
      const leaving = send('/leaving');
      leaving.on('error', () => undefined);
      slow.write('a');
      leaving.write('a');
      while (openCalls.count < 2) await new Promise(setImmediate);
      t.deepEqual(openCalls.byKind, ['/slow=1', '/leaving=1'], 'before their bodies are whole');
      leaving.destroy();
      while (openCalls.count > 1) await new Promise(setImmediate);
      slow.end('b');
      const [response] = (await once(slow, 'response')) as [IncomingMessage];
      response.resume();
      await once(response, 'end');
      await openCalls.waitUntilNone(60_000);
      t.is(openCalls.count, 0);
    },
  );

  test(title('closes the connections of calls that arrive while the process stops'), async (t) => {
    const openCalls = new OpenCalls();
    const server = createServer((_incoming, response) => response.end('done'));
    trackCalls(server, openCalls, () => 'test');
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    t.teardown(() => server.close());
    const { port } = server.address() as AddressInfo;
    const connectionHeader = async (): Promise<string | undefined> => {
      const response = await fetch(`http://127.0.0.1:${port}/`);
      await response.text();
      return response.headers.get('connection') ?? undefined;
    };
    t.is(await connectionHeader(), 'keep-alive');
    openCalls.stop();
    t.is(await connectionHeader(), 'close');
  });
});
