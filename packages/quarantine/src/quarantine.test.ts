import test from 'ava';
import fc from 'fast-check';
import { describe, title } from '@shedline/test-utils';
import { CrashRecords } from './crash-records.js';
import type { CrashCommand } from './crash-records.js';
import { KnownCrashes } from './known-crashes.js';

function crashed(contentKey: string, knownCrashes: number, hasBegun?: boolean): CrashCommand {
  const crash = { contentKey, knownCrashes, ...(hasBegun === undefined ? {} : { hasBegun }) };
  return { type: 'recordCrashes', crashed: [crash], survived: [] };
}

function survived(contentKey: string): CrashCommand {
  return { type: 'recordCrashes', crashed: [], survived: [contentKey] };
}

/** An entry that follows a record; `nowMs` is its clock. */
class Follower {
  nowMs = 1000;
  readonly known = new KnownCrashes(() => this.nowMs);
  private position = 0;

  follow(records: CrashRecords): string[] {
    const changes = records.changesSince(this.position);
    this.position = changes.number;
    return this.known.take(changes);
  }
}

describe('records of crashes', () => {
  test(title('ends in a row count, simultaneous ones are one'), (t) => {
    const records = new CrashRecords();
    for (let copy = 0; copy < 5; copy += 1) records.apply(crashed('popular', 0));
    t.is(records.changesSince(0).records[0]?.crashes, 1, 'an outage of five endpoints');
    t.true(records.apply(crashed('popular', 1)));
    t.is(records.changesSince(0).records[0]?.crashes, 2);
    t.false(records.apply(crashed('popular', 0)), 'late news of the first wave');
  });

  test(title('a run that goes well clears the content, and ends count anew'), (t) => {
    const records = new CrashRecords();
    records.apply(crashed('c', 0));
    t.true(records.apply(survived('c')));
    t.false(records.apply(survived('c')), 'nothing is left to be cleared');
    records.apply(crashed('c', 0));
    t.is(records.changesSince(0).records[0]?.crashes, 1);
  });

  test(title('of all who ask for a trial one is let'), (t) => {
    const records = new CrashRecords();
    records.apply(crashed('c', 1));
    const asked = [0, 0, 0].map((trials) =>
      records.apply({ type: 'beginTrial', contentKey: 'c', trials }),
    );
    t.deepEqual(asked, [true, false, false]);
    t.false(records.apply({ type: 'beginTrial', contentKey: 'unknown', trials: 0 }));
  });

  test(title('thousands that differ by a byte take bounded room, and the worst are kept'), (t) => {
    const records = new CrashRecords();
    records.apply(crashed('worst', 1));
    for (let number = 0; number < 5000; number += 1) records.apply(crashed(`c${number}`, 0));
    const { records: kept, isWhole } = records.changesSince(1);
    t.true(isWhole, 'a reader that lags takes all anew');
    t.is(kept.length, 512);
    t.true(kept.some(({ contentKey }) => contentKey === 'worst'));
  });

  test(
    title('a reader of any changes, and a copy from a snapshot, know what the record says'),
    (t) => {
      const key = fc.integer({ min: 0, max: 700 }).map((number) => `k${number}`);
      const command = fc.oneof(
        fc.tuple(key, fc.nat(3)).map(([name, known]) => crashed(name, known)),
        key.map(survived),
        fc.tuple(key, fc.nat(2)).map(([contentKey, trials]): CrashCommand => ({
          type: 'beginTrial',
          contentKey,
          trials,
        })),
      );
      fc.assert(
        fc.property(fc.array(fc.tuple(command, fc.boolean()), { maxLength: 900 }), (steps) => {
          const records = new CrashRecords();
          const copy = new CrashRecords();
          const follower = new Follower();
          for (const [next, reads] of steps) {
            records.apply(next);
            if (reads) follower.follow(records);
          }
          follower.follow(records);
          copy.restore(records.toData());
          return copy
            .changesSince(-1)
            .records.every(
              ({ contentKey, crashes }) => follower.known.crashesOf(contentKey) === crashes,
            );
        }),
        { seed: 11, numRuns: 60 },
      );
      t.pass();
    },
  );
});

describe('an entry that knows of crashes', () => {
  test(title('holds a content back after two ends in a row, for longer after each trial'), (t) => {
    const records = new CrashRecords();
    const follower = new Follower();
    const { known } = follower;
    t.true(known.isEmpty);
    records.apply(crashed('c', 0));
    t.deepEqual(follower.follow(records), []);
    t.is(known.status('c').kind, 'free');
    records.apply(crashed('c', known.crashesOf('c')));
    t.deepEqual(follower.follow(records), ['c']);
    t.deepEqual(known.status('c'), { kind: 'held', forMs: 60_000 });
    follower.nowMs += 60_000;
    t.deepEqual(known.status('c'), { kind: 'trialDue', trials: 0 });
    records.apply({ type: 'beginTrial', contentKey: 'c', trials: 0 });
    follower.follow(records);
    t.deepEqual(known.status('c'), { kind: 'held', forMs: 600_000 }, 'others wait for its end');
    records.apply(crashed('c', known.crashesOf('c')));
    follower.follow(records);
    t.deepEqual(known.status('c'), { kind: 'held', forMs: 600_000 });
  });

  test(title('holds what was being answered at the ends only after a third one'), (t) => {
    const records = new CrashRecords();
    const follower = new Follower();
    const { known } = follower;
    for (let end = 0; end < 2; end += 1) {
      records.apply(crashed('beside', known.crashesOf('beside'), true));
      t.deepEqual(follower.follow(records), []);
    }
    t.is(known.status('beside').kind, 'free');
    records.apply(crashed('beside', known.crashesOf('beside'), true));
    t.deepEqual(follower.follow(records), ['beside'], 'it ends its endpoints late');
  });

  test(title('one end before an answer and one after hold nothing back yet'), (t) => {
    const { known } = new Follower();
    known.crashed('c', { knownCrashes: 0, hasBegun: true });
    known.crashed('c', { knownCrashes: 1, hasBegun: false });
    t.is(known.status('c').kind, 'free');
    known.crashed('c', { knownCrashes: 2, hasBegun: true });
    t.is(known.status('c').kind, 'held');
  });

  test(title('holds what it saw itself before the fleet knows of it'), (t) => {
    const { known } = new Follower();
    known.crashed('c', { knownCrashes: 0 });
    known.crashed('c', { knownCrashes: 0 });
    t.is(known.crashesOf('c'), 1);
    known.crashed('c', { knownCrashes: 1 });
    t.is(known.status('c').kind, 'held');
    t.true(known.survived('c'));
    t.is(known.status('c').kind, 'free');
    t.true(known.isEmpty);
  });

  test(title('good runs of contents that were never blamed push no clearance out'), (t) => {
    const records = new CrashRecords();
    const follower = new Follower();
    records.apply(crashed('c', 0));
    const late = records.changesSince(0);
    follower.follow(records);
    t.true(follower.known.survived('c'));
    for (let run = 0; run < 1000; run += 1) t.false(follower.known.survived(`good ${run}`));
    follower.known.take(late);
    t.true(follower.known.isEmpty);
  });

  test(title('forgets one end after an hour, and late news after a clearance'), (t) => {
    const records = new CrashRecords();
    const follower = new Follower();
    records.apply(crashed('c', 0));
    const late = records.changesSince(0);
    follower.follow(records);
    follower.nowMs += 3_600_001;
    t.is(follower.known.crashesOf('c'), 0);
    records.apply(survived('c'));
    follower.follow(records);
    follower.known.take(late);
    t.true(follower.known.isEmpty);
  });
});
