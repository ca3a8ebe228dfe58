import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { KnownCoreMembers } from './known-core-members.js';
import { fakeControl } from './fake-member.js';
import type { MemberRecord } from './member-record.js';

/** Returns the record of a control process with a disk. */
function control(name: string): MemberRecord {
  return fakeControl(name, `${name}#1`);
}

const HOUR_MS = 3_600_000;

describe('KnownCoreMembers', () => {
  test(title('remembers missing members, and reports when they reappear'), (t) => {
    const knownCore = new KnownCoreMembers();
    t.deepEqual(knownCore.update([control('a'), control('b')], 0), { missing: [], reappeared: [] });
    t.deepEqual(knownCore.update([control('a')], 5000), { missing: ['b'], reappeared: [] });
    t.deepEqual(
      knownCore.update([control('a')], 6000),
      { missing: [], reappeared: [] },
      'reported once',
    );
    t.deepEqual(knownCore.missing, [{ name: 'b', host: '127.0.0.1', port: 1 }]);
    t.deepEqual(knownCore.update([control('a'), control('b')], 9000), {
      missing: [],
      reappeared: [{ name: 'b', silentMs: 9000 }],
    });
    t.deepEqual(knownCore.missing, []);
  });

  test(title('tells which members were listed within some time'), (t) => {
    const knownCore = new KnownCoreMembers();
    knownCore.update([control('a'), control('b')], 0);
    knownCore.update([control('a')], HOUR_MS);
    t.deepEqual(knownCore.listedSince(HOUR_MS), ['a', 'b']);
    t.deepEqual(knownCore.listedSince(HOUR_MS + 1), ['a']);
  });

  test(title('does not remember control processes without a disk'), (t) => {
    const knownCore = new KnownCoreMembers();
    knownCore.update([fakeControl('a')], 0);
    knownCore.update([], 10);
    t.deepEqual(knownCore.missing, []);
  });

  test(title('remembers missing members for hours, but not for days, and not too many'), (t) => {
    const knownCore = new KnownCoreMembers();
    knownCore.update([control('old')], 0);
    knownCore.update([], HOUR_MS);
    t.is(knownCore.missing.length, 1);
    const many = Array.from({ length: 40 }, (_, index) => control(`c${index}`));
    knownCore.update(many, 2 * HOUR_MS);
    knownCore.update([], 3 * HOUR_MS);
    t.is(knownCore.missing.length, 32);
    t.false(
      knownCore.missing.some(({ name }) => name === 'old'),
      'the last seen members are kept',
    );
    knownCore.update([], 27 * HOUR_MS);
    t.deepEqual(knownCore.missing, []);
  });
});
