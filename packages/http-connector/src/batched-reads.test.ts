/**
 * Guards against responses that are truncated or stall because their connection is not read all the
 * time.
 */
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Client } from 'undici';
import { describe, title } from '@shedline/test-utils';
import { BatchedReads, connectorWithin } from './index.js';

/** Longer than any test: a delayed read happens only on request. */
const NEVER_MS = 3_600_000;
/** Enough for data to arrive on the loopback interface and not be read. */
const ARRIVAL_MS = 50;

/** A response whose bytes the test writes, and the text that its reader has received. */
async function openResponse(t: ExecutionContext, intervalMs: number) {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const reads = new BatchedReads(intervalMs);
  const client = new Client(`http://127.0.0.1:${port}`, { connect: connectorWithin(1000, reads) });
  const response = client.request({ method: 'GET', path: '/' });
  const [socket] = (await once(server, 'connection')) as [Socket];
  await once(socket, 'data');
  t.teardown(async () => {
    await client.destroy();
    socket.destroy();
    server.close();
  });
  socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na');
  const { body } = await response;
  const received = { text: '', isComplete: false };
  body.setEncoding('utf8');
  body.on('data', (text: string) => (received.text += text));
  body.on('end', () => (received.isComplete = true));
  return { socket, reads, received };
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await pause(5);
}

describe('BatchedReads', () => {
  test(title('the first read is immediate, the next one waits or is requested'), async (t) => {
    const { socket, reads, received } = await openResponse(t, NEVER_MS);
    await until(() => received.text === 'a');
    socket.write('b');
    await pause(ARRIVAL_MS);
    t.is(received.text, 'a');
    reads.readNow();
    await until(() => received.text === 'ab');
    socket.end('c');
    await pause(ARRIVAL_MS);
    t.false(received.isComplete);
    reads.readNow();
    await until(() => received.text === 'abc');
    reads.readNow();
    await until(() => received.isComplete);
    t.pass();
  });

  test(title('all bytes arrive in order without a request'), async (t) => {
    const { socket, received } = await openResponse(t, 20);
    let sent = 'a';
    for (let part = 0; part < 40; part += 1) {
      const text = `part ${part};`;
      sent += text;
      socket.write(text);
      await pause(2);
    }
    socket.end();
    await until(() => received.isComplete);
    t.is(received.text, sent);
  });

  test(title('reads follow each other at once while much data arrives'), async (t) => {
    const { socket, reads, received } = await openResponse(t, NEVER_MS);
    await until(() => received.text === 'a');
    const large = 'x'.repeat(1_000_000);
    socket.write(large);
    await pause(ARRIVAL_MS);
    while (received.text.length <= large.length) {
      // Ends the pause after the head, and one after any small read in between.
      reads.readNow();
      await pause(5);
    }
    t.is(received.text, `a${large}`);
  });
});
