/**
 * The naive baseline: a round-robin proxy to the engines, without limits, ejection or retries. Its
 * parent process sends it the engine URLs.
 */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Agent, request } from 'undici';

const agent = new Agent({
  pipelining: 1,
  connect: { timeout: 500 },
  headersTimeout: 0,
  bodyTimeout: 0,
});
let engines: string[] = [];
let requestCount = 0;

process.on('message', (urls: string[]) => {
  engines = urls;
  process.send?.('taken');
});

const server = createServer((incoming, outgoing) => {
  const parts: Buffer[] = [];
  incoming.on('data', (part: Buffer) => parts.push(part));
  incoming.on('end', () => {
    requestCount += 1;
    const target = (engines[requestCount % engines.length] ?? '') + (incoming.url ?? '');
    const headers = { 'content-type': 'application/json' };
    request(target, {
      dispatcher: agent,
      method: 'POST',
      headers,
      body: Buffer.concat(parts),
    }).then(
      (response) => {
        outgoing.writeHead(response.statusCode, { 'content-type': 'text/event-stream' });
        response.body.on('data', (bytes: Buffer) => outgoing.write(bytes));
        response.body.on('end', () => outgoing.end());
        response.body.on('error', () => outgoing.destroy());
      },
      () => outgoing.destroy(),
    );
  });
});
server.listen(0, '127.0.0.1', () => {
  process.send?.((server.address() as AddressInfo).port);
});
process.on('disconnect', () => process.exit(0));
