import test from 'ava';
import { ControlClient } from '@shedline/control-client';
import { createLogger } from '@shedline/logger';
import { Table, TableView } from '@shedline/table';
import type { EntryStatus } from '@shedline/table';
import { describe, title } from '@shedline/test-utils';
import { TableReader } from './table-reader.js';
import type { PeerTable } from './table-reader.js';

const STATUS: EntryStatus = {
  entry: 'e',
  url: '',
  availabilityZone: 'z',
  revision: 0,
  draining: false,
  load: 0,
};

/** A table reader and its control process, which can be made unreachable. */
class Fixture {
  nowMs = 0;
  isPartitioned = false;
  peer: PeerTable | undefined;
  readonly table = new Table();
  readonly view = new TableView();
  readonly reader: TableReader;

  constructor() {
    const port = {
      name: 'control',
      isReady: true,
      call: (): Promise<unknown> => {
        if (this.isPartitioned) return Promise.reject(new Error('partitioned'));
        const delta = this.table.deltaSince(this.view.revision);
        return Promise.resolve({ delta, entries: [] });
      },
      close: () => undefined,
    };
    this.reader = new TableReader({
      control: new ControlClient({ ports: [port], timeoutMs: 1 }),
      table: this.view,
      logger: createLogger({ level: 'silent' }),
      staleAfterMs: 10_000,
      nowMs: () => this.nowMs,
      ownStatus: () => STATUS,
      requestFromPeer: () => Promise.resolve(this.peer),
    });
  }

  addRow(service: string): void {
    const { revision } = this.table;
    const rows = [...this.table.rows.map((row) => row.service), service];
    this.table.apply({
      type: 'replaceTable',
      editId: service,
      contentHash: service,
      expectedRevision: revision,
      models: [],
      rows: rows.map((name) => ({ workspace: 'w', service: name, change: { kind: 'plain' } })),
    });
  }
}

describe('TableReader', () => {
  test(
    title('a new entry does not accept the table of a peer before a quorum has confirmed one'),
    async (t) => {
      const fixture = new Fixture();
      fixture.isPartitioned = true;
      fixture.peer = { delta: fixture.table.deltaSince(-1), ageMs: 0 };
      t.false(await fixture.reader.refresh());
      t.false(fixture.reader.isFresh);
    },
  );

  test(
    title("an entry partitioned from control uses the table of a peer, with the peer's age"),
    async (t) => {
      const fixture = new Fixture();
      fixture.addRow('a');
      t.true(await fixture.reader.refresh());
      fixture.isPartitioned = true;
      fixture.addRow('b');
      fixture.nowMs = 9000;
      fixture.peer = { delta: fixture.table.deltaSince(-1), ageMs: 2000 };
      t.true(await fixture.reader.refresh());
      t.truthy(fixture.view.row('w/b'));
      fixture.nowMs = 16_500;
      t.true(fixture.reader.isFresh);
      fixture.nowMs = 17_500;
      t.false(fixture.reader.isFresh);
      t.is(fixture.reader.tableForPeer(0), undefined);
    },
  );

  test(title('an unknown name triggers one additional refresh'), async (t) => {
    const fixture = new Fixture();
    await fixture.reader.refresh();
    fixture.addRow('new');
    fixture.nowMs = 100;
    t.truthy(await fixture.reader.row('w/new'));
    t.is(await fixture.reader.row('w/none'), undefined);
  });
});
