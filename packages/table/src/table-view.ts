/**
 * Copy of the table in an entry, updated by deltas.
 */
import { rowKey } from '@shedline/types';
import type { ServiceRow } from '@shedline/types';
import type { TableDelta } from './commands.js';

/** Table at the highest revision received; the revision never decreases. */
export class TableView {
  private currentRevision = -1;
  private rowsByKey = new Map<string, ServiceRow>();

  /** Highest revision received; -1 before the first. */
  get revision(): number {
    return this.currentRevision;
  }

  /** All rows. */
  get rows(): readonly ServiceRow[] {
    return [...this.rowsByKey.values()];
  }

  /** Returns a row by its key. */
  row(key: string): ServiceRow | undefined {
    return this.rowsByKey.get(key);
  }

  /** Returns the whole table for a peer, or an empty delta if the peer is up to date. */
  deltaFor(fromRevision: number): TableDelta {
    const revision = this.currentRevision;
    const common = { fromRevision, revision, models: [], removed: [] };
    if (fromRevision === revision) return { ...common, kind: 'delta', rows: [] };
    return { ...common, kind: 'snapshot', rows: this.rows };
  }

  /** Applies a delta; returns false if it is outdated or would leave a gap. */
  apply(delta: TableDelta): boolean {
    if (delta.revision < this.currentRevision) return false;
    if (delta.kind === 'delta' && delta.fromRevision > this.currentRevision) return false;
    if (delta.kind === 'snapshot') this.rowsByKey = new Map();
    for (const key of delta.removed) this.rowsByKey.delete(key);
    for (const row of delta.rows) this.put(row);
    this.currentRevision = delta.revision;
    return true;
  }

  /** Stores a row unless it is outdated: a delta may start before the current revision. */
  private put(row: ServiceRow): void {
    const key = rowKey(row.workspace, row.service);
    const known = this.rowsByKey.get(key);
    if (known === undefined || known.revision <= row.revision) this.rowsByKey.set(key, row);
  }
}
