/**
 * A minimal proxy that forwards all requests to one engine. It is the baseline for the overhead
 * of an entry.
 */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Agent, request } from 'undici';

const target = process.argv[2] ?? '';
const agent = new Agent({ pipelining: 1 });

const server = createServer((incoming, outgoing) => {
  const parts: Buffer[] = [];
  incoming.on('data', (part: Buffer) => parts.push(part));
  incoming.on('end', () => {
    const headers = { 'content-type': 'application/json' };
    const body = Buffer.concat(parts);
    void request(target + (incoming.url ?? ''), {
      dispatcher: agent,
      method: 'POST',
      headers,
      body,
    }).then((response) => {
      outgoing.writeHead(response.statusCode, { 'content-type': 'text/event-stream' });
      response.body.on('data', (bytes: Buffer) => outgoing.write(bytes));
      response.body.on('end', () => outgoing.end());
    });
  });
});
server.listen(0, '127.0.0.1', () => {
  process.send?.((server.address() as AddressInfo).port);
});
process.on('disconnect', () => process.exit(0));
