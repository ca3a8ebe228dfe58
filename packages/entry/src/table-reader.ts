/**
 * Keeps the table of an entry current: by regular looks, and by an extra one where a caller
 * names something that the table does not have yet or an operator has just changed.
 */
import type { ControlClient } from '@shedline/control-client';
import type { Logger } from '@shedline/logger';
import type { EntryStatus, TableView } from '@shedline/table';
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
}

/** Reads the table through the quorum. */
export class TableReader {
  /** Entries that hold their lease, as of the last look. */
  entries: readonly EntryStatus[] = [];
  private readonly options: TableReaderOptions;
  private readAtMs = -Infinity;
  private reading: Promise<void> | undefined;

  constructor(options: TableReaderOptions) {
    this.options = options;
  }

  /** Whether the table was ever read. */
  get hasRead(): boolean {
    return this.readAtMs !== -Infinity;
  }

  /** Whether the table is young enough to serve by. */
  get isFresh(): boolean {
    return this.options.nowMs() - this.readAtMs < this.options.staleAfterMs;
  }

  /** Looks now, or waits for the look under way. */
  refresh(): Promise<void> {
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

  private async readOnce(): Promise<void> {
    const { control, table, logger, nowMs, ownStatus } = this.options;
    const askedAtMs = nowMs();
    try {
      const answer = await control.refresh(ownStatus(), REFRESH_TIMEOUT_MS);
      table.apply(answer.delta);
      this.entries = answer.entries;
      this.readAtMs = askedAtMs;
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      logger.debug('table not refreshed', { step: 'refresh', reason });
    }
  }
}
