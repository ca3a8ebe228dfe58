import test from 'ava';
import { createLogger } from '@shedline/logger';
import { describe, title } from '@shedline/test-utils';
import { PeerConnections } from '@shedline/transport';
import { PeerPresence } from './peer-presence.js';

function createPresence(clock: { nowMs: number }): PeerPresence {
  const presence = new PeerPresence({
    peers: new PeerConnections({ name: 'own', secret: 'secret-of-the-tests' }),
    logger: createLogger({ level: 'silent' }),
    nowMs: () => clock.nowMs,
  });
  presence.recordJoin();
  return presence;
}

const PEER = { instance: 'a', memberId: 'a#1', clusterId: 'c' };

describe('PeerPresence', () => {
  test(
    title('a peer counts as up until no announcement arrived for the length of its lease'),
    (t) => {
      const clock = { nowMs: 0 };
      const presence = createPresence(clock);
      presence.receive(PEER, 'c');
      clock.nowMs = 2999;
      t.deepEqual(presence.liveIds, ['a#1']);
      clock.nowMs = 3000;
      t.deepEqual(presence.liveIds, []);
      t.is(presence.lastSeenAgoMs('a', 'a#1'), 3000);
    },
  );

  test(title('ignores peers of another cluster and peers without a cluster'), (t) => {
    const presence = createPresence({ nowMs: 0 });
    presence.receive({ ...PEER, clusterId: 'other' }, 'c');
    presence.receive({ ...PEER, clusterId: undefined }, 'c');
    presence.receive(PEER, undefined);
    t.deepEqual(presence.liveIds, []);
  });

  // Without a reply the peer pings the connection, or closes it.
  test(title('replies over the connection of the announcement, only if asked to'), (t) => {
    const presence = createPresence({ nowMs: 0 });
    const sent: string[] = [];
    const link = { send: (method: string) => sent.push(method) };
    presence.receive(PEER, 'c', link);
    t.deepEqual(sent, [], 'earlier versions do not ask');
    presence.receive({ ...PEER, wantsReply: true }, undefined, link);
    t.deepEqual(sent, ['presenceReply']);
  });

  test(title('treats a peer that lost its disk as another member'), (t) => {
    const clock = { nowMs: 0 };
    const presence = createPresence(clock);
    presence.receive(PEER, 'c');
    clock.nowMs = 1000;
    presence.receive({ ...PEER, memberId: 'a#2' }, 'c');
    t.deepEqual(presence.liveIds, ['a#2']);
    t.is(presence.lastSeenAgoMs('a', 'a#1'), 1000, 'counted from when this process joined');
    t.is(presence.lastSeenAgoMs('a', 'a#2'), 0);
  });
});
