import test from 'ava';
import fc from 'fast-check';
import { describe, title } from '@shedline/test-utils';
import { CLOSED_LEASE_MS, MEMBER_LEASE_MS, MemberRegistry } from './member-registry.js';
import type { MemberChanges } from './member-registry.js';
import { MemberView } from './member-view.js';
import type { MemberRecord } from './member-record.js';

function record(change: Partial<MemberRecord> = {}): MemberRecord {
  return {
    name: '10.0.0.1:7720',
    kind: 'entry',
    host: '10.0.0.1',
    port: 7720,
    instance: 'i',
    availabilityZone: 'z',
    epoch: 'first',
    sequence: 1,
    state: 'ready',
    ...change,
  };
}

/** A whole list. */
function whole(...members: MemberRecord[]): MemberChanges {
  return { version: 1, changed: members, gone: [] };
}

describe('member registry', () => {
  test(title('lists a process until it is silent for longer than its lease'), (t) => {
    const registry = new MemberRegistry();
    registry.hear(record(), 0);
    const { version } = registry.live(10);
    registry.hear(record(), 1000);
    t.is(registry.live(1000 + MEMBER_LEASE_MS - 1).version, version);
    t.is(registry.live(1000 + MEMBER_LEASE_MS).members.length, 0);
    t.not(registry.live(1000 + MEMBER_LEASE_MS).version, version);
  });

  test(title('a process whose connection closed is gone soon, unless it speaks again'), (t) => {
    const registry = new MemberRegistry();
    registry.hear(record(), 0);
    registry.connectionClosed(record().name, 100);
    t.is(registry.live(100 + CLOSED_LEASE_MS - 1).members.length, 1);
    registry.hear(record(), 100 + CLOSED_LEASE_MS - 1);
    t.is(registry.live(100 + CLOSED_LEASE_MS + 500).members.length, 1);
    registry.connectionClosed(record().name, 1500);
    t.is(registry.live(1500 + CLOSED_LEASE_MS).members.length, 0);
  });

  test(title('a late word of the same run changes nothing, a new run replaces it'), (t) => {
    const registry = new MemberRegistry();
    registry.hear(record({ sequence: 3, state: 'draining' }), 0);
    registry.hear(record({ sequence: 2, state: 'ready' }), 10);
    t.is(registry.live(10).members[0]?.state, 'draining');
    registry.hear(record({ epoch: 'second', sequence: 1, state: 'starting' }), 20);
    t.is(registry.live(20).members[0]?.state, 'starting');
  });
});

describe('changes of a list', () => {
  test(
    title('make the list of a reader the same as that of the register, whatever it missed'),
    (t) => {
      const step = fc.record({
        name: fc.integer({ min: 1, max: 6 }),
        leaves: fc.boolean(),
        gapMs: fc.nat(900),
        reads: fc.boolean(),
      });
      fc.assert(
        fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
          const registry = new MemberRegistry();
          const view = new MemberView();
          let nowMs = 0;
          let sequence = 0;
          let known: number | undefined;
          for (const { name, leaves, gapMs, reads } of steps) {
            nowMs += gapMs;
            sequence += 1;
            if (leaves) registry.forget(`p${name}`);
            else registry.hear(record({ name: `p${name}`, sequence }), nowMs);
            if (!reads) continue;
            const changes = registry.changesSince(known, nowMs);
            known = changes.version;
            if (!view.hear('control', changes, nowMs)) return false;
            const names = view.live('entry', nowMs).map((one) => `${one.name} ${one.sequence}`);
            const expected = registry.live(nowMs).members;
            const wanted = expected.map((one) => `${one.name} ${one.sequence}`).sort();
            if (names.join() !== wanted.join()) return false;
          }
          return true;
        }),
        { seed: 23, numRuns: 300 },
      );
      t.pass();
    },
  );

  test(title('begin with the whole list where too many departures were missed'), (t) => {
    const registry = new MemberRegistry();
    for (let number = 0; number < 300; number += 1) {
      registry.hear(record({ name: `p${number}` }), 0);
      registry.forget(`p${number}`);
    }
    t.is(registry.changesSince(1, 0).since, undefined);
    t.is(registry.changesSince(599, 0).since, 599);
  });

  test(title('to a list that is not held are not taken'), (t) => {
    const view = new MemberView();
    t.false(view.hear('a', { version: 3, since: 2, changed: [record()], gone: [] }, 0));
    t.is(view.live('entry', 0).length, 0);
  });
});

describe('member view', () => {
  test(title('a process that one control process hears is up'), (t) => {
    const view = new MemberView();
    view.hear('a', whole(record()), 0);
    view.hear('b', whole(), 0);
    t.is(view.live('entry', 100).length, 1);
    t.is(view.live('store', 100).length, 0);
  });

  test(title('a list that is not renewed gives way to fresher ones'), (t) => {
    const view = new MemberView();
    view.hear('a', whole(record()), 0);
    view.hear('b', whole(), 5000);
    t.is(view.live('entry', 5000).length, 0);
    t.true(view.isFresh(5000));
  });

  test(title('without any fresh list the last ones still count'), (t) => {
    const view = new MemberView();
    view.hear('a', whole(record()), 0);
    t.is(view.live('entry', 60_000).length, 1);
    t.false(view.isFresh(60_000));
    view.hear('a', { version: 1, since: 1, changed: [], gone: [] }, 60_000);
    t.true(view.isFresh(60_000));
  });
});

describe('member view', () => {
  test(title('an answer that is kept follows every change, and lists that grow old'), (t) => {
    const view = new MemberView();
    view.hear('c1', whole(record()), 0);
    t.is(view.live('entry', 0).length, 1);
    t.is(view.live('entry', 10), view.live('entry', 0));
    const second = record({ name: '10.0.0.2:7720' });
    view.hear('c2', whole(second), 20);
    t.is(view.live('entry', 20).length, 2);
    view.hear('c2', { version: 2, since: 1, changed: [], gone: [second.name] }, 30);
    t.is(view.live('entry', 30).length, 1);
    view.hear('c2', { version: 2, since: 2, changed: [], gone: [] }, 3000);
    t.is(view.live('entry', 3000).length, 0);
  });
});
