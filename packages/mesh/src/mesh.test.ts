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

/** Returns the changes that send a whole list. */
function wholeList(...members: MemberRecord[]): MemberChanges {
  return { version: 1, changed: members, gone: [] };
}

describe('member registry', () => {
  test(title('lists a process until its lease expires'), (t) => {
    const registry = new MemberRegistry();
    registry.noteAnnouncement(record(), 0);
    const { version } = registry.live(10);
    registry.noteAnnouncement(record(), 1000);
    t.is(registry.live(1000 + MEMBER_LEASE_MS - 1).version, version);
    t.is(registry.live(1000 + MEMBER_LEASE_MS).members.length, 0);
    t.not(registry.live(1000 + MEMBER_LEASE_MS).version, version);
  });

  test(
    title('removes a process soon after its connection closed, unless it announces itself'),
    (t) => {
      const registry = new MemberRegistry();
      registry.noteAnnouncement(record(), 0);
      registry.connectionClosed(record().name, 100);
      t.is(registry.live(100 + CLOSED_LEASE_MS - 1).members.length, 1);
      registry.noteAnnouncement(record(), 100 + CLOSED_LEASE_MS - 1);
      t.is(registry.live(100 + CLOSED_LEASE_MS + 500).members.length, 1);
      registry.connectionClosed(record().name, 1500);
      t.is(registry.live(1500 + CLOSED_LEASE_MS).members.length, 0);
    },
  );

  test(
    title('ignores an outdated record of the same incarnation, accepts a new incarnation'),
    (t) => {
      const registry = new MemberRegistry();
      registry.noteAnnouncement(record({ sequence: 3, state: 'draining' }), 0);
      registry.noteAnnouncement(record({ sequence: 2, state: 'ready' }), 10);
      t.is(registry.live(10).members[0]?.state, 'draining');
      registry.noteAnnouncement(record({ epoch: 'second', sequence: 1, state: 'starting' }), 20);
      t.is(registry.live(20).members[0]?.state, 'starting');
    },
  );
});

describe('member changes', () => {
  test(
    title('make the list of a reader equal to that of the registry, whatever it missed'),
    (t) => {
      const step = fc.record({
        name: fc.integer({ min: 1, max: 6 }),
        isRemoved: fc.boolean(),
        elapsedMs: fc.nat(900),
        isRead: fc.boolean(),
      });
      fc.assert(
        fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
          const registry = new MemberRegistry();
          const view = new MemberView();
          let nowMs = 0;
          let sequence = 0;
          let knownVersion: number | undefined;
          for (const { name, isRemoved, elapsedMs, isRead } of steps) {
            nowMs += elapsedMs;
            sequence += 1;
            if (isRemoved) registry.remove(`p${name}`);
            else registry.noteAnnouncement(record({ name: `p${name}`, sequence }), nowMs);
            if (!isRead) continue;
            const changes = registry.changesSince(knownVersion, nowMs);
            knownVersion = changes.version;
            if (!view.applyChanges('control', changes, nowMs)) return false;
            const names = view
              .live('entry', nowMs)
              .map((member) => `${member.name} ${member.sequence}`);
            const members = registry.live(nowMs).members;
            const expected = members.map((member) => `${member.name} ${member.sequence}`).sort();
            if (names.join() !== expected.join()) return false;
          }
          return true;
        }),
        { seed: 23, numRuns: 300 },
      );
      t.pass();
    },
  );

  test(title('are the whole list if the reader missed too many departures'), (t) => {
    const registry = new MemberRegistry();
    for (let number = 0; number < 300; number += 1) {
      registry.noteAnnouncement(record({ name: `p${number}` }), 0);
      registry.remove(`p${number}`);
    }
    t.is(registry.changesSince(1, 0).since, undefined);
    t.is(registry.changesSince(599, 0).since, 599);
  });

  test(title('are rejected if they apply to an unknown list'), (t) => {
    const view = new MemberView();
    t.false(view.applyChanges('a', { version: 3, since: 2, changed: [record()], gone: [] }, 0));
    t.is(view.live('entry', 0).length, 0);
  });
});

describe('member view', () => {
  test(title('a process is up if one control process lists it'), (t) => {
    const view = new MemberView();
    view.applyChanges('a', wholeList(record()), 0);
    view.applyChanges('b', wholeList(), 0);
    t.is(view.live('entry', 100).length, 1);
    t.is(view.live('store', 100).length, 0);
  });

  test(title('a list that is not renewed is ignored in favor of fresher lists'), (t) => {
    const view = new MemberView();
    view.applyChanges('a', wholeList(record()), 0);
    view.applyChanges('b', wholeList(), 5000);
    t.is(view.live('entry', 5000).length, 0);
    t.true(view.isFresh(5000));
  });

  test(title('without any fresh list the last lists are used'), (t) => {
    const view = new MemberView();
    view.applyChanges('a', wholeList(record()), 0);
    t.is(view.live('entry', 60_000).length, 1);
    t.false(view.isFresh(60_000));
    view.applyChanges('a', { version: 1, since: 1, changed: [], gone: [] }, 60_000);
    t.true(view.isFresh(60_000));
  });
});

describe('member view', () => {
  test(
    title('a cached result is updated after each change, and when a list becomes stale'),
    (t) => {
      const view = new MemberView();
      view.applyChanges('c1', wholeList(record()), 0);
      t.is(view.live('entry', 0).length, 1);
      t.is(view.live('entry', 10), view.live('entry', 0));
      const second = record({ name: '10.0.0.2:7720' });
      view.applyChanges('c2', wholeList(second), 20);
      t.is(view.live('entry', 20).length, 2);
      view.applyChanges('c2', { version: 2, since: 1, changed: [], gone: [second.name] }, 30);
      t.is(view.live('entry', 30).length, 1);
      view.applyChanges('c2', { version: 2, since: 2, changed: [], gone: [] }, 3000);
      t.is(view.live('entry', 3000).length, 0);
    },
  );

  /** Guards against entries that recompute their subsets once for each control process. */
  test(title('a change that another control process reported before causes no new result'), (t) => {
    const view = new MemberView();
    const store = record({ name: '10.0.0.9:7720', kind: 'store' });
    for (const control of ['c1', 'c2']) view.applyChanges(control, wholeList(record(), store), 0);
    const entries = view.live('entry', 0);
    const change = { since: 1, version: 2, gone: [] };
    const draining = record({ sequence: 2, state: 'draining' });
    view.applyChanges('c1', { ...change, changed: [draining] }, 0);
    const changed = view.live('entry', 0);
    t.not(changed, entries);
    t.is(changed[0]?.state, 'draining');
    view.applyChanges('c2', { ...change, changed: [draining] }, 0);
    t.is(view.live('entry', 0), changed);
    view.applyChanges('c1', { ...change, since: 2, changed: [], gone: [store.name] }, 0);
    t.is(view.live('store', 0).length, 1, 'the other control process still lists it');
    t.is(view.live('entry', 0), changed, 'a change of a store does not concern entries');
  });
});
