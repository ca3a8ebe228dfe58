import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { PeerConnections, PeerServer } from '@shedline/transport';
import { EntryConnections } from './entry-connections.js';

const HOST = '127.0.0.1';
const SECRET = 'a secret of the entries';

/** An entry with its server; `received` holds the messages of other entries. */
class Entry {
  readonly received: string[] = [];
  readonly server: PeerServer;
  readonly connections: EntryConnections;
  readonly name: string;
  port = 0;

  constructor(name: string) {
    this.name = name;
    const onMessage = (method: string, payload: unknown, link: { peerName: string }): void => {
      this.received.push(`${link.peerName} ${method} ${String(payload)}`);
    };
    this.server = new PeerServer({
      name,
      secret: SECRET,
      handlers: { onMessage, onRequest: () => Promise.reject(new Error('unexpected request')) },
    });
    this.connections = new EntryConnections({
      self: name,
      opened: new PeerConnections({ name, secret: SECRET, handlers: { onMessage } }),
      accepted: (peerName) => this.server.linkOf(peerName),
    });
  }

  async listen(): Promise<void> {
    this.port = await this.server.listen(HOST, 0);
  }

  get address(): { name: string; host: string; port: number } {
    return { name: this.name, host: HOST, port: this.port };
  }

  async close(): Promise<void> {
    this.connections.close();
    await this.server.close();
  }
}

describe('EntryConnections', () => {
  test(title('one connection per pair carries messages in both directions'), async (t) => {
    const [low, high] = [new Entry('a'), new Entry('b')];
    await Promise.all([low.listen(), high.listen()]);
    low.connections.keepOnly([high.address]);
    high.connections.keepOnly([low.address]);
    while (high.server.linkOf('a') === undefined)
      await new Promise((resolve) => setTimeout(resolve, 5));
    while (low.received.length === 0 || high.received.length === 0) {
      low.connections.send('b', 'loads', 1);
      high.connections.send('a', 'loads', 2);
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    t.is(low.received[0], 'b loads 2');
    t.is(high.received[0], 'a loads 1');
    t.deepEqual(low.server.readyLinks, []);
    t.is(high.server.readyLinks.length, 1);
    await Promise.all([low.close(), high.close()]);
  });

  test(title('drops messages to entries without a connection'), async (t) => {
    const entry = new Entry('a');
    await entry.listen();
    entry.connections.send('nobody', 'loads', 1);
    t.deepEqual(entry.received, []);
    await entry.close();
  });
});
