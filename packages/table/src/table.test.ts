import test from 'ava';
import fc from 'fast-check';
import { describe, title } from '@shedline/test-utils';
import type { EditAnswer, EditRow, TableCommand } from './commands.js';
import { parseRowChange, parseTableFile } from './fields.js';
import { RevisionTracker } from './revision-tracker.js';
import { Table } from './table.js';
import { TableView } from './table-view.js';

const SEED = 17;
const START: TableCommand = {
  type: 'replaceTable',
  editId: 'start',
  contentHash: 'start',
  expectedRevision: 0,
  models: ['m'],
  rows: ['a', 'b', 'c'].map((service) => ({ workspace: 'w', service, change: { models: ['m'] } })),
};

function edit(editId: string, service: string, weight: number, expectedRevision: number): EditRow {
  const contentHash = JSON.stringify([service, weight, expectedRevision]);
  const change = { weight };
  return {
    type: 'editRow',
    editId,
    contentHash,
    expectedRevision,
    workspace: 'w',
    service,
    change,
  };
}

function createTable(maxRememberedEdits?: number): Table {
  const table = new Table(maxRememberedEdits === undefined ? {} : { maxRememberedEdits });
  table.apply(START);
  return table;
}

describe('Table', () => {
  test(
    title('of two edits with the same revision, one is applied and the other gets the current row'),
    (t) => {
      const table = createTable();
      t.is(table.apply(edit('e1', 'a', 2, 1)).outcome, 'accepted');
      t.like(table.apply(edit('e2', 'a', 3, 1)), {
        outcome: 'conflict',
        row: { weight: 2, revision: 2 },
      });
      t.is(table.apply(edit('e3', 'b', 3, 1)).outcome, 'accepted');
    },
  );

  test(title('a retried edit gets its first result after other edits and a restart'), (t) => {
    const editArbitrary = fc.record({
      service: fc.constantFrom('a', 'b', 'c'),
      weight: fc.integer({ min: 1, max: 9 }),
      revisionLag: fc.nat(3),
      retryPick: fc.nat(20),
    });
    fc.assert(
      fc.property(
        fc.array(editArbitrary, { minLength: 1, maxLength: 60 }),
        fc.nat(60),
        (edits, restartAt) => {
          let table = createTable();
          const sent: EditRow[] = [];
          const results: EditAnswer[] = [];
          let lastRevision = table.revision;
          for (const [position, { service, weight, revisionLag, retryPick }] of edits.entries()) {
            if (position === restartAt) {
              const restored = new Table();
              restored.restore(table.snapshot());
              table = restored;
            }
            const command = edit(
              `e${position}`,
              service,
              weight,
              Math.max(0, table.revision - revisionLag),
            );
            sent.push(command);
            results.push(table.apply(command));
            const retried = sent[retryPick % sent.length];
            if (retried !== undefined)
              t.deepEqual(table.apply(retried), results[retryPick % sent.length]);
            t.true(table.revision >= lastRevision);
            lastRevision = table.revision;
          }
          const accepted = results.filter((result) => result.outcome === 'accepted');
          t.is(table.revision, 1 + accepted.length);
        },
      ),
      { seed: SEED, numRuns: 200 },
    );
  });

  test(
    title('an edit too old to be recognised as a retry is rejected and not applied twice'),
    (t) => {
      const table = createTable(10);
      const old = edit('old', 'a', 5, 1);
      t.is(table.apply(old).outcome, 'accepted');
      for (let n = 0; n < 20; n += 1) table.apply(edit(`n${n}`, 'b', 1 + n, table.revision));
      const revision = table.revision;
      t.like(table.apply(old), { outcome: 'invalid' });
      t.is(table.revision, revision);
    },
  );

  test(title('an edit id that was used for another edit is rejected'), (t) => {
    const table = createTable();
    table.apply(edit('e', 'a', 2, 1));
    t.like(table.apply(edit('e', 'b', 2, 1)), { outcome: 'invalid' });
  });

  test(title('validates an edit against the whole table and reports the field'), (t) => {
    const table = createTable();
    const unknown = { ...edit('e', 'a', 2, 1), change: { models: ['nope'] } };
    t.like(table.apply(unknown), {
      outcome: 'invalid',
      message: 'models: unknown model nope; the table declares m',
    });
    t.throws(() => parseRowChange({ weight: 0 }), { message: /^weight: / });
    t.throws(() => parseRowChange({ wieght: 1 }), { message: /wieght/ });
    t.throws(() => parseTableFile({ models: [], rows: [{ workspace: 'W!', service: 'a' }] }), {
      message: /^rows.0.workspace/,
    });
  });

  test(title('applies a file as one edit, or not at all if the table has changed'), (t) => {
    const table = createTable();
    const rows = [{ workspace: 'w', service: 'a', change: { models: ['m'], weight: 4 } }];
    const file: TableCommand = {
      ...START,
      editId: 'f',
      contentHash: 'f',
      expectedRevision: 1,
      rows,
    };
    t.like(table.apply(file), { outcome: 'accepted', changedRows: 3 });
    t.is(table.row('w/b'), undefined);
    t.like(table.apply({ ...file, editId: 'g' }), { outcome: 'conflict' });
    t.like(table.apply(edit('h', 'b', 2, 1)), { outcome: 'conflict' });
  });
});

describe('TableView', () => {
  test(
    title('never decreases its revision for any order of deltas, and converges to the table'),
    (t) => {
      const deltaOrder = fc.array(fc.nat(), { minLength: 30, maxLength: 30 });
      fc.assert(
        fc.property(deltaOrder, (deltaPicks) => {
          const table = createTable();
          const deltas = [table.deltaSince(-1)];
          for (let n = 0; n < 15; n += 1) {
            table.apply(edit(`e${n}`, ['a', 'b', 'c'][n % 3] ?? 'a', n + 2, table.revision));
            deltas.push(table.deltaSince(Math.max(0, table.revision - 1 - (n % 4))));
          }
          const view = new TableView();
          let last = -1;
          for (const pick of deltaPicks) {
            const delta = deltas[pick % deltas.length];
            if (delta !== undefined) view.apply(delta);
            t.true(view.revision >= last);
            last = view.revision;
          }
          view.apply(table.deltaSince(view.revision));
          t.deepEqual([...view.rows].sort(byService), [...table.rows].sort(byService));
        }),
        { seed: SEED, numRuns: 100 },
      );
    },
  );
});

describe('RevisionTracker', () => {
  const status = (entry: string, revision: number) =>
    ({ entry, url: '', availabilityZone: 'z', revision, draining: false, load: 0 }) as const;

  test(
    title('reports yes only when all live entries confirmed and a full entry lease has passed'),
    (t) => {
      const tracker = new RevisionTracker({ entryLeaseMs: 1000 });
      tracker.reset(0);
      tracker.recordStatus(status('e1', 5), 10);
      t.is(tracker.report(5, 20).inForce, 'unknown');
      tracker.recordStatus(status('e2', 4), 900);
      tracker.recordStatus(status('e1', 5), 900);
      t.like(tracker.report(5, 1100), { inForce: 'no', missing: ['e2'] });
      tracker.recordStatus(status('e1', 5), 1500);
      t.like(tracker.report(5, 2000), { inForce: 'yes', confirmed: ['e1'], missing: [] });
    },
  );
});

function byService(a: { service: string }, b: { service: string }): number {
  return a.service < b.service ? -1 : 1;
}
