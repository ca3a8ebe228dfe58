/**
 * Keeps the table of an entry up to date. The table is refreshed periodically, and additionally
 * when a caller names an unknown row or an operator has just edited the table.
 */
import type { ControlClient } from '@shedline/control-client';
import type { Logger } from '@shedline/logger';
import type { EntryStatus, TableDelta, TableView } from '@shedline/table';
import type { ServiceRow } from '@shedline/types';

const REFRESH_TIMEOUT_MS = 2000;
/** Minimum age of the table at which an unknown name triggers an additional refresh. */
const MIN_EXTRA_REFRESH_AGE_MS = 50;

/** Options of {@link TableReader}. */
export interface TableReaderOptions {
  readonly control: ControlClient;
  readonly table: TableView;
  readonly logger: Logger;
  readonly staleAfterMs: number;
  readonly nowMs: () => number;
  readonly ownStatus: () => EntryStatus;
  /** Requests the table from a peer entry; called if no control process can be reached. */
  readonly requestFromPeer: (fromRevision: number) => Promise<PeerTable | undefined>;
}

/** The table of a peer entry, and the time since a quorum confirmed it. */
export interface PeerTable {
  readonly delta: TableDelta;
  readonly ageMs: number;
}

/** Reads the table from the control processes, confirmed by a quorum. */
export class TableReader {
  /** Entries that held their lease at the last refresh. */
  entries: readonly EntryStatus[] = [];
  private readonly options: TableReaderOptions;
  private confirmedAtMs = -Infinity;
  private refreshing: Promise<boolean> | undefined;

  constructor(options: TableReaderOptions) {
    this.options = options;
  }

  /** Whether the table was confirmed recently enough to serve requests. */
  get isFresh(): boolean {
    return this.options.nowMs() - this.confirmedAtMs < this.options.staleAfterMs;
  }

  /** Returns the table for a peer that cannot reach control; undefined if this table is stale. */
  tableForPeer(fromRevision: number): PeerTable | undefined {
    if (!this.isFresh) return undefined;
    const { table, nowMs } = this.options;
    const ageMs = nowMs() - this.confirmedAtMs;
    return { delta: table.deltaFor(fromRevision), ageMs };
  }

  /**
   * Refreshes the table, or joins the refresh in progress. Returns false if neither a quorum nor a
   * peer replied.
   */
  refresh(): Promise<boolean> {
    this.refreshing ??= this.readOnce().finally(() => {
      this.refreshing = undefined;
    });
    return this.refreshing;
  }

  /** Refreshes the table, twice if it has not reached `revision` after the first refresh. */
  async refreshUntil(revision: number): Promise<void> {
    await this.refresh();
    if (this.options.table.revision < revision) await this.refresh();
  }

  /** Returns a row by its key; refreshes the table once if the key is unknown. */
  async row(key: string): Promise<ServiceRow | undefined> {
    const { table, nowMs } = this.options;
    const known = table.row(key);
    if (known !== undefined || nowMs() - this.confirmedAtMs < MIN_EXTRA_REFRESH_AGE_MS)
      return known;
    await this.refresh();
    return table.row(key);
  }

  private async readOnce(): Promise<boolean> {
    const { control, table, logger, nowMs, ownStatus } = this.options;
    const requestedAtMs = nowMs();
    try {
      const reply = await control.refresh(ownStatus(), REFRESH_TIMEOUT_MS);
      table.apply(reply.delta);
      this.entries = reply.entries;
      this.confirmedAtMs = requestedAtMs;
      return true;
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      logger.debug('table refresh failed', { step: 'refresh', reason });
      return this.readFromPeer(requestedAtMs);
    }
  }

  /** Reads the table from a peer, so that an entry without connection to control can serve. */
  private async readFromPeer(requestedAtMs: number): Promise<boolean> {
    // A new entry serves nothing until it has read the table from a quorum itself.
    if (this.confirmedAtMs === -Infinity) return false;
    const { table, requestFromPeer } = this.options;
    const reply = await requestFromPeer(table.revision);
    if (reply === undefined) return false;
    table.apply(reply.delta);
    this.confirmedAtMs = Math.max(this.confirmedAtMs, requestedAtMs - reply.ageMs);
    return true;
  }
}
