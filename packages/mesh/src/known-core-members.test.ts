import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { KnownCoreMembers } from './known-core-members.js';
import { fakeControl } from './fake-member.js';
import type { MemberRecord } from './member-record.js';

/** A control process with a disk. */
function control(name: string): MemberRecord {
  return fakeControl(name, `${name}#1`);
}

const HOUR_MS = 3_600_000;

describe('KnownCoreMembers', () => {
  test(title('remembers who is silent, and tells when one is heard again'), (t) => {
    const knownCore = new KnownCoreMembers();
    t.deepEqual(knownCore.note([control('a'), control('b')], 0), { silent: [], reappeared: [] });
    t.deepEqual(knownCore.note([control('a')], 5000), { silent: ['b'], reappeared: [] });
    t.deepEqual(knownCore.note([control('a')], 6000), { silent: [], reappeared: [] }, 'told once');
    t.deepEqual(knownCore.silent, [{ name: 'b', host: '127.0.0.1', port: 1 }]);
    t.deepEqual(knownCore.note([control('a'), control('b')], 9000), {
      silent: [],
      reappeared: [{ name: 'b', silentMs: 9000 }],
    });
    t.deepEqual(knownCore.silent, []);
  });

  test(title('does not remember control processes without a disk'), (t) => {
    const knownCore = new KnownCoreMembers();
    knownCore.note([fakeControl('a')], 0);
    knownCore.note([], 10);
    t.deepEqual(knownCore.silent, []);
  });

  test(title('outlives hours of silence, but neither days nor a crowd'), (t) => {
    const knownCore = new KnownCoreMembers();
    knownCore.note([control('old')], 0);
    knownCore.note([], HOUR_MS);
    t.is(knownCore.silent.length, 1);
    const many = Array.from({ length: 40 }, (_, index) => control(`c${index}`));
    knownCore.note(many, 2 * HOUR_MS);
    knownCore.note([], 3 * HOUR_MS);
    t.is(knownCore.silent.length, 32);
    t.false(
      knownCore.silent.some(({ name }) => name === 'old'),
      'the last heard ones stay',
    );
    knownCore.note([], 27 * HOUR_MS);
    t.deepEqual(knownCore.silent, []);
  });
});
