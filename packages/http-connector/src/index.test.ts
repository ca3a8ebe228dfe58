import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { Agent, request } from 'undici';
import { describe, title } from '@shedline/test-utils';
import { connectorWithin } from './index.js';

const UNFRAMED = 'HTTP/1.1 200 OK\r\n\r\npart';

async function textFrom(ending: 'end' | 'reset'): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      socket.write(UNFRAMED, () => {
        if (ending === 'end') socket.end();
        else setTimeout(() => socket.resetAndDestroy(), 20);
      });
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const dispatcher = new Agent({ connect: connectorWithin(1000) });
  try {
    const answer = await request(`http://127.0.0.1:${port}/`, { dispatcher });
    return await answer.body.text();
  } finally {
    await dispatcher.destroy();
    server.close();
  }
}

describe('connector', () => {
  test(title('an answer without length is whole if its connection closed in order'), async (t) => {
    t.is(await textFrom('end'), 'part');
  });

  test(title('one whose connection was reset is an error'), async (t) => {
    await t.throwsAsync(textFrom('reset'));
  });
});
