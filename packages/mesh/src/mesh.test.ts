import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { CLOSED_LEASE_MS, MEMBER_LEASE_MS, MemberRegister } from './member-register.js';
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

describe('member register', () => {
  test(title('lists a process until it is silent for longer than its lease'), (t) => {
    const register = new MemberRegister();
    register.hear(record(), 0);
    const { version } = register.live(10);
    register.hear(record(), 1000);
    t.is(register.live(1000 + MEMBER_LEASE_MS - 1).version, version);
    t.is(register.live(1000 + MEMBER_LEASE_MS).members.length, 0);
    t.not(register.live(1000 + MEMBER_LEASE_MS).version, version);
  });

  test(title('a process whose connection closed is gone soon, unless it speaks again'), (t) => {
    const register = new MemberRegister();
    register.hear(record(), 0);
    register.connectionClosed(record().name, 100);
    t.is(register.live(100 + CLOSED_LEASE_MS - 1).members.length, 1);
    register.hear(record(), 100 + CLOSED_LEASE_MS - 1);
    t.is(register.live(100 + CLOSED_LEASE_MS + 500).members.length, 1);
    register.connectionClosed(record().name, 1500);
    t.is(register.live(1500 + CLOSED_LEASE_MS).members.length, 0);
  });

  test(title('a late word of the same run changes nothing, a new run replaces it'), (t) => {
    const register = new MemberRegister();
    register.hear(record({ sequence: 3, state: 'draining' }), 0);
    register.hear(record({ sequence: 2, state: 'ready' }), 10);
    t.is(register.live(10).members[0]?.state, 'draining');
    register.hear(record({ epoch: 'second', sequence: 1, state: 'starting' }), 20);
    t.is(register.live(20).members[0]?.state, 'starting');
  });
});

describe('member view', () => {
  test(title('a process that one control process hears is up'), (t) => {
    const view = new MemberView();
    view.hear('a', [record()], 0);
    view.hear('b', [], 0);
    t.is(view.live('entry', 100).length, 1);
    t.is(view.live('store', 100).length, 0);
  });

  test(title('a list that is not renewed gives way to fresher ones'), (t) => {
    const view = new MemberView();
    view.hear('a', [record()], 0);
    view.hear('b', [], 5000);
    t.is(view.live('entry', 5000).length, 0);
    t.true(view.isFresh(5000));
  });

  test(title('without any fresh list the last ones still count'), (t) => {
    const view = new MemberView();
    view.hear('a', [record()], 0);
    t.is(view.live('entry', 60_000).length, 1);
    t.false(view.isFresh(60_000));
    view.hear('a', undefined, 60_000);
    t.true(view.isFresh(60_000));
  });
});
