/**
 * Edits of the table and their answers.
 */
import type { ServiceRow } from '@shedline/types';
import type { RowChange } from './fields.js';

/** Changes fields of one row, or makes the row. */
export interface EditRow {
  readonly type: 'editRow';
  readonly editId: string;
  /** Hash of what the edit asks for, to tell a resend from another edit under its id. */
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

/** Any edit. */
export type TableCommand = EditRow | ReplaceTable;

/** The edit is in the table. */
export interface EditAccepted {
  readonly outcome: 'accepted';
  readonly revision: number;
  /** The row of a row edit. */
  readonly row?: ServiceRow;
  readonly changedRows: number;
}

/** Another edit came first; carries the row as it is. */
export interface EditConflict {
  readonly outcome: 'conflict';
  readonly revision: number;
  readonly message: string;
  readonly row?: ServiceRow;
}

/** The edit can never be accepted as it is. */
export interface EditInvalid {
  readonly outcome: 'invalid';
  readonly message: string;
}

/** Answer to an edit. */
export type EditAnswer = EditAccepted | EditConflict | EditInvalid;

/** Changes since a revision, or the whole table where the changes are no longer known. */
export interface TableDelta {
  readonly kind: 'delta' | 'snapshot';
  readonly fromRevision: number;
  readonly revision: number;
  readonly models: readonly string[];
  readonly rows: readonly ServiceRow[];
  readonly removed: readonly string[];
}
