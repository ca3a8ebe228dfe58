/**
 * Keeps the table of an entry current: by regular looks, and by an extra one where a caller
 * names something that the table does not have yet or an operator has just changed.
 */
import type { ControlClient } from '@shedline/control-client';
import type { Logger } from '@shedline/logger';
import type { EntryStatus, TableDelta, TableView } from '@shedline/table';
import type { ServiceRow } from '@shedline/types';

const REFRESH_TIMEOUT_MS = 2000;
/** Least age of the table at which an unknown name is worth another look. */
const MIN_EXTRA_AGE_MS = 50;

/** Options of {@link TableReader}. */
export interface TableReaderOptions {
  readonly control: ControlClient;
  readonly table: TableView;
  readonly logger: Logger;
  readonly staleAfterMs: number;
  readonly nowMs: () => number;
  readonly ownStatus: () => EntryStatus;
  /** Asks a peer entry for its table, where control itself cannot be reached. */
  readonly askPeer: (fromRevision: number) => Promise<PeerTable | undefined>;
}

/** The table of a peer entry and how long ago a quorum confirmed it. */
export interface PeerTable {
  readonly delta: TableDelta;
  readonly ageMs: number;
}

/** Reads the table through the quorum. */
export class TableReader {
  /** Entries that hold their lease, as of the last look. */
  entries: readonly EntryStatus[] = [];
  private readonly options: TableReaderOptions;
  private readAtMs = -Infinity;
  private reading: Promise<boolean> | undefined;

  constructor(options: TableReaderOptions) {
    this.options = options;
  }

  /** Whether the table is young enough to serve by. */
  get isFresh(): boolean {
    return this.options.nowMs() - this.readAtMs < this.options.staleAfterMs;
  }

  /** What a peer that cannot reach control is told; nothing where this table is old itself. */
  tableForPeer(fromRevision: number): PeerTable | undefined {
    if (!this.isFresh) return undefined;
    const { table, nowMs } = this.options;
    const ageMs = nowMs() - this.readAtMs;
    return { delta: table.deltaFor(fromRevision), ageMs };
  }

  /** Looks now, or waits for the look under way; false where no quorum answered. */
  refresh(): Promise<boolean> {
    this.reading ??= this.readOnce().finally(() => {
      this.reading = undefined;
    });
    return this.reading;
  }

  /** Looks until the table is at least at a revision, for a caller that has seen it. */
  async reach(revision: number): Promise<void> {
    await this.refresh();
    if (this.options.table.revision < revision) await this.refresh();
  }

  /** A row by its key; an unknown one is looked for once more. */
  async row(key: string): Promise<ServiceRow | undefined> {
    const { table, nowMs } = this.options;
    const known = table.row(key);
    if (known !== undefined || nowMs() - this.readAtMs < MIN_EXTRA_AGE_MS) return known;
    await this.refresh();
    return table.row(key);
  }

  private async readOnce(): Promise<boolean> {
    const { control, table, logger, nowMs, ownStatus } = this.options;
    const askedAtMs = nowMs();
    try {
      const answer = await control.refresh(ownStatus(), REFRESH_TIMEOUT_MS);
      table.apply(answer.delta);
      this.entries = answer.entries;
      this.readAtMs = askedAtMs;
      return true;
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      logger.debug('table not refreshed', { step: 'refresh', reason });
      return this.readFromPeer(askedAtMs);
    }
  }

  /** A link to control that is cut does not make an entry useless while a peer has one. */
  private async readFromPeer(askedAtMs: number): Promise<boolean> {
    // A fresh entry serves nothing before a quorum itself has told it the table.
    if (this.readAtMs === -Infinity) return false;
    const { table, askPeer } = this.options;
    const answer = await askPeer(table.revision);
    if (answer === undefined) return false;
    table.apply(answer.delta);
    this.readAtMs = Math.max(this.readAtMs, askedAtMs - answer.ageMs);
    return true;
  }
}
