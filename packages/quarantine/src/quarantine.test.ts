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

/** An entry that reads the changes of a record; `nowMs` is its clock. */
class ReadingEntry {
  nowMs = 1000;
  readonly known = new KnownCrashes(() => this.nowMs);
  private position = 0;

  read(records: CrashRecords): string[] {
    const changes = records.changesSince(this.position);
    this.position = changes.number;
    return this.known.applyChanges(changes);
  }
}

describe('records of crashes', () => {
  test(title('counts consecutive crashes, and simultaneous crashes as one'), (t) => {
    const records = new CrashRecords();
    for (let copy = 0; copy < 5; copy += 1) records.apply(crashed('frequent', 0));
    t.is(records.changesSince(0).records[0]?.crashes, 1, 'a simultaneous outage of five endpoints');
    t.true(records.apply(crashed('frequent', 1)));
    t.is(records.changesSince(0).records[0]?.crashes, 2);
    t.false(records.apply(crashed('frequent', 0)), 'delayed report of the first crashes');
  });

  test(title('a run without a crash clears the content, and counting starts again'), (t) => {
    const records = new CrashRecords();
    records.apply(crashed('c', 0));
    t.true(records.apply(survived('c')));
    t.false(records.apply(survived('c')), 'the content is already cleared');
    records.apply(crashed('c', 0));
    t.is(records.changesSince(0).records[0]?.crashes, 1);
  });

  test(title('only one of several senders may begin the same trial'), (t) => {
    const records = new CrashRecords();
    records.apply(crashed('c', 1));
    const results = [0, 0, 0].map((trials) =>
      records.apply({ type: 'beginTrial', contentKey: 'c', trials }),
    );
    t.deepEqual(results, [true, false, false]);
    t.false(records.apply({ type: 'beginTrial', contentKey: 'unknown', trials: 0 }));
  });

  test(title('the number of records is limited, and those with most crashes are kept'), (t) => {
    const records = new CrashRecords();
    records.apply(crashed('worst', 1));
    for (let number = 0; number < 5000; number += 1) records.apply(crashed(`c${number}`, 0));
    const { records: kept, isWhole } = records.changesSince(1);
    t.true(isWhole, 'a lagging reader receives the complete record');
    t.is(kept.length, 512);
    t.true(kept.some(({ contentKey }) => contentKey === 'worst'));
  });

  test(title('a reader of changes and a copy of a snapshot agree with the record'), (t) => {
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
        const entry = new ReadingEntry();
        for (const [next, reads] of steps) {
          records.apply(next);
          if (reads) entry.read(records);
        }
        entry.read(records);
        copy.restore(records.toData());
        return copy
          .changesSince(-1)
          .records.every(
            ({ contentKey, crashes }) => entry.known.crashCountOf(contentKey) === crashes,
          );
      }),
      { seed: 11, numRuns: 60 },
    );
    t.pass();
  });
});

describe('quarantine at an entry', () => {
  test(
    title('quarantines a content after two consecutive crashes, longer after each trial'),
    (t) => {
      const records = new CrashRecords();
      const entry = new ReadingEntry();
      const { known } = entry;
      t.true(known.isEmpty);
      records.apply(crashed('c', 0));
      t.deepEqual(entry.read(records), []);
      t.is(known.status('c').kind, 'free');
      records.apply(crashed('c', known.crashCountOf('c')));
      t.deepEqual(entry.read(records), ['c']);
      t.deepEqual(known.status('c'), { kind: 'held', forMs: 60_000 });
      entry.nowMs += 60_000;
      t.deepEqual(known.status('c'), { kind: 'trialDue', trials: 0 });
      records.apply({ type: 'beginTrial', contentKey: 'c', trials: 0 });
      entry.read(records);
      t.deepEqual(
        known.status('c'),
        { kind: 'held', forMs: 600_000 },
        'other entries wait for the end of the trial',
      );
      records.apply(crashed('c', known.crashCountOf('c')));
      entry.read(records);
      t.deepEqual(known.status('c'), { kind: 'held', forMs: 600_000 });
    },
  );

  test(title('quarantines a content whose responses had begun only after the third crash'), (t) => {
    const records = new CrashRecords();
    const entry = new ReadingEntry();
    const { known } = entry;
    for (let crash = 0; crash < 2; crash += 1) {
      records.apply(crashed('streaming', known.crashCountOf('streaming'), true));
      t.deepEqual(entry.read(records), []);
    }
    t.is(known.status('streaming').kind, 'free');
    records.apply(crashed('streaming', known.crashCountOf('streaming'), true));
    t.deepEqual(entry.read(records), ['streaming'], 'it crashes endpoints during the response');
  });

  test(title('does not quarantine after one crash before and one during the response'), (t) => {
    const { known } = new ReadingEntry();
    known.recordCrash('c', { knownCrashes: 0, hasBegun: true });
    known.recordCrash('c', { knownCrashes: 1, hasBegun: false });
    t.is(known.status('c').kind, 'free');
    known.recordCrash('c', { knownCrashes: 2, hasBegun: true });
    t.is(known.status('c').kind, 'held');
  });

  test(title('quarantines by its own observations before the fleet records them'), (t) => {
    const { known } = new ReadingEntry();
    known.recordCrash('c', { knownCrashes: 0 });
    known.recordCrash('c', { knownCrashes: 0 });
    t.is(known.crashCountOf('c'), 1);
    known.recordCrash('c', { knownCrashes: 1 });
    t.is(known.status('c').kind, 'held');
    t.true(known.recordSurvival('c'));
    t.is(known.status('c').kind, 'free');
    t.true(known.isEmpty);
  });

  test(title('runs of contents without crashes do not evict cleared contents'), (t) => {
    const records = new CrashRecords();
    const entry = new ReadingEntry();
    records.apply(crashed('c', 0));
    const outdated = records.changesSince(0);
    entry.read(records);
    t.true(entry.known.recordSurvival('c'));
    for (let run = 0; run < 1000; run += 1) t.false(entry.known.recordSurvival(`good ${run}`));
    entry.known.applyChanges(outdated);
    t.true(entry.known.isEmpty);
  });

  test(
    title('drops a single crash after an hour, and outdated changes of a cleared content'),
    (t) => {
      const records = new CrashRecords();
      const entry = new ReadingEntry();
      records.apply(crashed('c', 0));
      const outdated = records.changesSince(0);
      entry.read(records);
      entry.nowMs += 3_600_001;
      t.is(entry.known.crashCountOf('c'), 0);
      records.apply(survived('c'));
      entry.read(records);
      entry.known.applyChanges(outdated);
      t.true(entry.known.isEmpty);
    },
  );
});
