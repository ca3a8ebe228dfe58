import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { PeerConnections, PeerServer } from '@shedline/transport';
import { EntryLinks } from './entry-links.js';

const HOST = '127.0.0.1';
const SECRET = 'a secret of the entries';

/** An entry with its server; `heard` holds what came from others. */
class Entry {
  readonly heard: string[] = [];
  readonly server: PeerServer;
  readonly links: EntryLinks;
  readonly name: string;
  port = 0;

  constructor(name: string) {
    this.name = name;
    const onMessage = (method: string, payload: unknown, link: { peerName: string }): void => {
      this.heard.push(`${link.peerName} ${method} ${String(payload)}`);
    };
    this.server = new PeerServer({
      name,
      secret: SECRET,
      handlers: { onMessage, onRequest: () => Promise.reject(new Error('nothing is asked')) },
    });
    this.links = new EntryLinks({
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
    this.links.close();
    await this.server.close();
  }
}

describe('EntryLinks', () => {
  test(title('one connection a pair carries messages both ways'), async (t) => {
    const [low, high] = [new Entry('a'), new Entry('b')];
    await Promise.all([low.listen(), high.listen()]);
    low.links.keepOnly([high.address]);
    high.links.keepOnly([low.address]);
    while (high.server.linkOf('a') === undefined) await new Promise((go) => setTimeout(go, 5));
    while (low.heard.length === 0 || high.heard.length === 0) {
      low.links.send('b', 'loads', 1);
      high.links.send('a', 'loads', 2);
      await new Promise((go) => setTimeout(go, 5));
    }
    t.is(low.heard[0], 'b loads 2');
    t.is(high.heard[0], 'a loads 1');
    t.deepEqual(low.server.readyLinks, []);
    t.is(high.server.readyLinks.length, 1);
    await Promise.all([low.close(), high.close()]);
  });

  test(title('messages to whom there is no connection are dropped'), async (t) => {
    const entry = new Entry('a');
    await entry.listen();
    entry.links.send('nobody', 'loads', 1);
    t.deepEqual(entry.heard, []);
    await entry.close();
  });
});
