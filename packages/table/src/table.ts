/**
 * State machine of the replicated table of weights and limits.
 */
import { match } from 'ts-pattern';
import { pack, unpack } from 'msgpackr';
import { rowKey } from '@shedline/types';
import type { RowFields, ServiceRow } from '@shedline/types';
import type {
  EditAnswer,
  EditConflict,
  EditRow,
  ReplaceTable,
  TableCommand,
  TableDelta,
} from './commands.js';
import { mergeFields, rowProblem } from './fields.js';

/** Number of edits whose results are kept, so that a retry gets the same result. */
const DEFAULT_MAX_REMEMBERED_EDITS = 10_000;
/** Number of revisions whose changed rows are kept for deltas. */
const MAX_REMEMBERED_REVISIONS = 2000;

interface RememberedEdit {
  readonly contentHash: string;
  readonly answer: EditAnswer;
  /** Revision of the table after the edit. */
  readonly revision: number;
}

interface ChangeSet {
  readonly revision: number;
  readonly keys: readonly string[];
}

interface TableData {
  readonly revision: number;
  readonly models: readonly string[];
  readonly rows: readonly ServiceRow[];
  readonly removed: readonly [string, number][];
  readonly edits: readonly [string, RememberedEdit][];
  readonly forgottenUpTo: number;
  readonly changes: readonly ChangeSet[];
  readonly deltaFloor: number;
}

/** Options of {@link Table}. */
export interface TableOptions {
  /** Number of edits whose results are kept. */
  readonly maxRememberedEdits?: number;
}

/** Table rows with their revisions, and the results of recent edits. */
export class Table {
  private readonly maxRememberedEdits: number;
  private currentRevision = 0;
  private knownModels: readonly string[] = [];
  private rowsByKey = new Map<string, ServiceRow>();
  /** Revision at which each removed row was removed. */
  private removedAt = new Map<string, number>();
  private edits = new Map<string, RememberedEdit>();
  /** Table revision of the newest edit whose result is no longer kept. */
  private forgottenUpTo = -1;
  private changes: ChangeSet[] = [];
  /** Lowest revision for which a delta can be computed. */
  private deltaFloor = 0;

  constructor(options: TableOptions = {}) {
    this.maxRememberedEdits = options.maxRememberedEdits ?? DEFAULT_MAX_REMEMBERED_EDITS;
  }

  /** Revision of the last accepted edit. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Models that rows may refer to. */
  get models(): readonly string[] {
    return this.knownModels;
  }

  /** All rows. */
  get rows(): readonly ServiceRow[] {
    return [...this.rowsByKey.values()];
  }

  /** Returns a row by its key. */
  row(key: string): ServiceRow | undefined {
    return this.rowsByKey.get(key);
  }

  /** Applies an edit; a retry of an edit returns the first result again. */
  apply(command: TableCommand): EditAnswer {
    const remembered = this.edits.get(command.editId);
    if (remembered !== undefined) return answerRetry(remembered, command);
    const rejection = this.checkRevision(command);
    const answer = rejection ?? this.execute(command);
    this.remember(command, answer);
    return answer;
  }

  /** Returns the changes after a revision, or the whole table if they are no longer known. */
  deltaSince(fromRevision: number): TableDelta {
    const common = {
      fromRevision,
      revision: this.currentRevision,
      models: this.knownModels,
    };
    const isOutOfRange = fromRevision < this.deltaFloor || fromRevision > this.currentRevision;
    if (isOutOfRange) return { ...common, kind: 'snapshot', rows: this.rows, removed: [] };
    const newer = this.changes.filter((change) => change.revision > fromRevision);
    const keys = new Set(newer.flatMap((change) => change.keys));
    const rows = [...keys].flatMap((key) => this.rowsByKey.get(key) ?? []);
    const removed = [...keys].filter((key) => !this.rowsByKey.has(key));
    return { ...common, kind: 'delta', rows, removed };
  }

  /** Encodes the state. */
  snapshot(): Uint8Array {
    const data: TableData = {
      revision: this.currentRevision,
      models: this.knownModels,
      rows: this.rows,
      removed: [...this.removedAt],
      edits: [...this.edits],
      forgottenUpTo: this.forgottenUpTo,
      changes: this.changes,
      deltaFloor: this.deltaFloor,
    };
    return pack(data);
  }

  /** Replaces the state by an encoded state. */
  restore(state: Uint8Array): void {
    const data = unpack(state) as TableData;
    this.currentRevision = data.revision;
    this.knownModels = data.models;
    this.rowsByKey = new Map(data.rows.map((row) => [rowKey(row.workspace, row.service), row]));
    this.removedAt = new Map(data.removed);
    this.edits = new Map(data.edits);
    this.forgottenUpTo = data.forgottenUpTo;
    this.changes = [...data.changes];
    this.deltaFloor = data.deltaFloor;
  }

  private checkRevision(command: TableCommand): EditAnswer | undefined {
    const { expectedRevision } = command;
    if (expectedRevision > this.currentRevision) {
      return {
        outcome: 'invalid',
        message:
          `expected revision ${expectedRevision} is ahead of the table, ` +
          `which is at ${this.currentRevision}`,
      };
    }
    if (expectedRevision < this.forgottenUpTo) {
      return {
        outcome: 'invalid',
        message:
          `expected revision ${expectedRevision} is too old to tell a resend from a new edit ` +
          `(oldest remembered: ${this.forgottenUpTo}); read the table and edit again`,
      };
    }
    return undefined;
  }

  private execute(command: TableCommand): EditAnswer {
    return match(command)
      .with({ type: 'editRow' }, (edit) => this.editRow(edit))
      .with({ type: 'replaceTable' }, (edit) => this.replaceTable(edit))
      .exhaustive();
  }

  private editRow(edit: EditRow): EditAnswer {
    const key = rowKey(edit.workspace, edit.service);
    const before = this.rowsByKey.get(key);
    const changedAt = before?.revision ?? this.removedAt.get(key) ?? 0;
    if (changedAt > edit.expectedRevision) return this.conflict(key, changedAt, edit);
    const fields = mergeFields(before, edit.change);
    const problem = rowProblem(fields, this.knownModels);
    if (problem !== undefined) return { outcome: 'invalid', message: problem };
    this.currentRevision += 1;
    const row = this.putRow(edit.workspace, edit.service, fields);
    this.recordChange([key]);
    return { outcome: 'accepted', revision: this.currentRevision, row, changedRows: 1 };
  }

  private conflict(key: string, changedAt: number, edit: EditRow): EditConflict {
    const row = this.rowsByKey.get(key);
    return {
      outcome: 'conflict',
      revision: this.currentRevision,
      message:
        `row ${key} changed at revision ${changedAt}, after the expected ` +
        `revision ${edit.expectedRevision}; look at the current row and edit again`,
      ...(row === undefined ? {} : { row }),
    };
  }

  /** Replaces the whole table; any change since the expected revision is a conflict. */
  private replaceTable(edit: ReplaceTable): EditAnswer {
    if (edit.expectedRevision !== this.currentRevision) {
      return {
        outcome: 'conflict',
        revision: this.currentRevision,
        message:
          `the table is at revision ${this.currentRevision}, not at the expected ` +
          `${edit.expectedRevision}; look at the difference and apply again`,
      };
    }
    const problem = tableProblem(edit);
    if (problem !== undefined) return { outcome: 'invalid', message: problem };
    const changed = planReplacement(this.rowsByKey, edit.rows);
    const hasSameModels = JSON.stringify(this.knownModels) === JSON.stringify(edit.models);
    if (changed.size === 0 && hasSameModels) {
      return { outcome: 'accepted', revision: this.currentRevision, changedRows: 0 };
    }
    this.currentRevision += 1;
    this.knownModels = edit.models;
    for (const [key, fields] of changed) this.replaceRow(key, fields);
    this.recordChange([...changed.keys()]);
    return { outcome: 'accepted', revision: this.currentRevision, changedRows: changed.size };
  }

  private replaceRow(key: string, fields: RowFields | undefined): void {
    const [workspace = '', service = ''] = key.split('/');
    if (fields !== undefined) {
      this.putRow(workspace, service, fields);
      return;
    }
    this.rowsByKey.delete(key);
    this.removedAt.set(key, this.currentRevision);
  }

  private putRow(workspace: string, service: string, fields: RowFields): ServiceRow {
    const key = rowKey(workspace, service);
    const row = { workspace, service, ...fields, revision: this.currentRevision };
    this.rowsByKey.set(key, row);
    this.removedAt.delete(key);
    return row;
  }

  private recordChange(keys: readonly string[]): void {
    this.changes.push({ revision: this.currentRevision, keys });
    if (this.changes.length <= MAX_REMEMBERED_REVISIONS) return;
    const dropped = this.changes.shift();
    this.deltaFloor = dropped?.revision ?? this.deltaFloor;
  }

  private remember(command: TableCommand, answer: EditAnswer): void {
    const { editId, contentHash } = command;
    this.edits.set(editId, { contentHash, answer, revision: this.currentRevision });
    if (this.edits.size <= this.maxRememberedEdits) return;
    const oldest = this.edits.entries().next().value;
    if (oldest === undefined) return;
    this.edits.delete(oldest[0]);
    this.forgottenUpTo = oldest[1].revision;
  }
}

/** Returns the rows that a replacement changes, by key; undefined for a removed row. */
export function planReplacement(
  before: ReadonlyMap<string, ServiceRow>,
  rows: ReplaceTable['rows'],
): Map<string, RowFields | undefined> {
  const changed = new Map<string, RowFields | undefined>();
  const listedKeys = new Set<string>();
  for (const { workspace, service, change } of rows) {
    const key = rowKey(workspace, service);
    listedKeys.add(key);
    const fields = mergeFields(undefined, change);
    if (!hasSameFields(before.get(key), fields)) changed.set(key, fields);
  }
  for (const key of before.keys()) {
    if (!listedKeys.has(key)) changed.set(key, undefined);
  }
  return changed;
}

function hasSameFields(row: ServiceRow | undefined, fields: RowFields): boolean {
  if (row === undefined) return false;
  return JSON.stringify(mergeFields(row, {})) === JSON.stringify(mergeFields(fields, {}));
}

function tableProblem(edit: ReplaceTable): string | undefined {
  const seen = new Set<string>();
  for (const { workspace, service, change } of edit.rows) {
    const key = rowKey(workspace, service);
    if (seen.has(key)) return `row ${key} stands twice`;
    seen.add(key);
    const problem = rowProblem(mergeFields(undefined, change), edit.models);
    if (problem !== undefined) return `row ${key}: ${problem}`;
  }
  return undefined;
}

function answerRetry(remembered: RememberedEdit, command: TableCommand): EditAnswer {
  if (remembered.contentHash === command.contentHash) return remembered.answer;
  return {
    outcome: 'invalid',
    message: `edit id ${command.editId} was used before for another edit; use a new id`,
  };
}
