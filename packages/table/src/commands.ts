/**
 * Edits of the table, their results, and table deltas.
 */
import type { ServiceRow } from '@shedline/types';
import type { RowChange } from './fields.js';

/** Changes fields of a row, or creates the row. */
export interface EditRow {
  readonly type: 'editRow';
  readonly editId: string;
  /** Hash of the edit, to distinguish a retry from another edit with the same id. */
  readonly contentHash: string;
  readonly expectedRevision: number;
  readonly workspace: string;
  readonly service: string;
  readonly change: RowChange;
}

/** Replaces the whole table in one step. */
export interface ReplaceTable {
  readonly type: 'replaceTable';
  readonly editId: string;
  readonly contentHash: string;
  readonly expectedRevision: number;
  readonly models: readonly string[];
  readonly rows: readonly {
    readonly workspace: string;
    readonly service: string;
    readonly change: RowChange;
  }[];
}

/** Edit of the table. */
export type TableCommand = EditRow | ReplaceTable;

/** Result of an edit that was applied. */
export interface EditAccepted {
  readonly outcome: 'accepted';
  readonly revision: number;
  /** Row after a row edit. */
  readonly row?: ServiceRow;
  readonly changedRows: number;
}

/** Result of an edit that lost against a concurrent edit; `row` is the current row. */
export interface EditConflict {
  readonly outcome: 'conflict';
  readonly revision: number;
  readonly message: string;
  readonly row?: ServiceRow;
}

/** Result of an edit that is invalid and would be rejected again. */
export interface EditInvalid {
  readonly outcome: 'invalid';
  readonly message: string;
}

/** Result of an edit. */
export type EditAnswer = EditAccepted | EditConflict | EditInvalid;

/** Changes since a revision, or the whole table if the changes are no longer known. */
export interface TableDelta {
  readonly kind: 'delta' | 'snapshot';
  readonly fromRevision: number;
  readonly revision: number;
  readonly models: readonly string[];
  readonly rows: readonly ServiceRow[];
  readonly removed: readonly string[];
}
