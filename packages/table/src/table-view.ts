/**
 * The table as an entry sees it: fed by deltas, never going back.
 */
import { rowKey } from '@shedline/types';
import type { ServiceRow } from '@shedline/types';
import type { TableDelta } from './commands.js';

/** Rows at the highest revision ever seen. */
export class TableView {
  private currentRevision = -1;
  private rowsByKey = new Map<string, ServiceRow>();

  /** Highest revision seen; -1 before the first. */
  get revision(): number {
    return this.currentRevision;
  }

  /** All rows. */
  get rows(): readonly ServiceRow[] {
    return [...this.rowsByKey.values()];
  }

  /** A row by its key. */
  row(key: string): ServiceRow | undefined {
    return this.rowsByKey.get(key);
  }

  /** The whole table for a peer, or nothing where the peer has it already. */
  deltaFor(fromRevision: number): TableDelta {
    const revision = this.currentRevision;
    const common = { fromRevision, revision, models: [], removed: [] };
    if (fromRevision === revision) return { ...common, kind: 'delta', rows: [] };
    return { ...common, kind: 'snapshot', rows: this.rows };
  }

  /** Takes a delta; an older one, or one that leaves a gap, changes nothing. */
  apply(delta: TableDelta): boolean {
    if (delta.revision < this.currentRevision) return false;
    if (delta.kind === 'delta' && delta.fromRevision > this.currentRevision) return false;
    if (delta.kind === 'snapshot') this.rowsByKey = new Map();
    for (const key of delta.removed) this.rowsByKey.delete(key);
    for (const row of delta.rows) this.put(row);
    this.currentRevision = delta.revision;
    return true;
  }

  /** A delta may begin before what is here: then a row may be older than the one known. */
  private put(row: ServiceRow): void {
    const key = rowKey(row.workspace, row.service);
    const known = this.rowsByKey.get(key);
    if (known === undefined || known.revision <= row.revision) this.rowsByKey.set(key, row);
  }
}
