/**
 * The table of weights and limits as a replicated state machine.
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

/** Edits whose answers are remembered for resends. */
const DEFAULT_MAX_REMEMBERED_EDITS = 10_000;
/** Revisions whose changed rows are remembered for watchers. */
const MAX_REMEMBERED_REVISIONS = 2000;

interface RememberedEdit {
  readonly contentHash: string;
  readonly answer: EditAnswer;
  /** Revision of the table when the edit was answered. */
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
  readonly maxRememberedEdits?: number;
}

/** Rows, revisions and answers to edits. */
export class Table {
  private readonly maxRememberedEdits: number;
  private currentRevision = 0;
  private knownModels: readonly string[] = [];
  private rowsByKey = new Map<string, ServiceRow>();
  /** Revision at which a removed row went. */
  private removedAt = new Map<string, number>();
  private edits = new Map<string, RememberedEdit>();
  /** Table revision of the newest edit that is no longer remembered. */
  private forgottenUpTo = -1;
  private changes: ChangeSet[] = [];
  /** Lowest revision from which a delta can be given. */
  private deltaFloor = 0;

  constructor(options: TableOptions = {}) {
    this.maxRememberedEdits = options.maxRememberedEdits ?? DEFAULT_MAX_REMEMBERED_EDITS;
  }

  /** Revision of the last accepted edit. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Models that rows may name. */
  get models(): readonly string[] {
    return this.knownModels;
  }

  /** All rows. */
  get rows(): readonly ServiceRow[] {
    return [...this.rowsByKey.values()];
  }

  /** A row by its key. */
  row(key: string): ServiceRow | undefined {
    return this.rowsByKey.get(key);
  }

  /** Applies an edit; a resent one gets its first answer. */
  apply(command: TableCommand): EditAnswer {
    const remembered = this.edits.get(command.editId);
    if (remembered !== undefined) return answerResend(remembered, command);
    const refused = this.checkRevision(command);
    const answer = refused ?? this.carryOut(command);
    this.remember(command, answer);
    return answer;
  }

  /** What changed after a revision. */
  deltaSince(fromRevision: number): TableDelta {
    const common = {
      fromRevision,
      revision: this.currentRevision,
      models: this.knownModels,
    };
    const unknown = fromRevision < this.deltaFloor || fromRevision > this.currentRevision;
    if (unknown) return { ...common, kind: 'snapshot', rows: this.rows, removed: [] };
    const newer = this.changes.filter((change) => change.revision > fromRevision);
    const keys = new Set(newer.flatMap((change) => change.keys));
    const rows = [...keys].flatMap((key) => this.rowsByKey.get(key) ?? []);
    const removed = [...keys].filter((key) => !this.rowsByKey.has(key));
    return { ...common, kind: 'delta', rows, removed };
  }

  /** The state as bytes. */
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

  /** Takes the place of what is here. */
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

  private carryOut(command: TableCommand): EditAnswer {
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
    this.noteChange([key]);
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

  /** One atomic edit: any change since the expected revision makes it a conflict. */
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
    const sameModels = JSON.stringify(this.knownModels) === JSON.stringify(edit.models);
    if (changed.size === 0 && sameModels) {
      return { outcome: 'accepted', revision: this.currentRevision, changedRows: 0 };
    }
    this.currentRevision += 1;
    this.knownModels = edit.models;
    for (const [key, fields] of changed) this.replaceRow(key, fields);
    this.noteChange([...changed.keys()]);
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

  private noteChange(keys: readonly string[]): void {
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

/** Rows that a replacement changes; undefined stands for a row that goes. */
export function planReplacement(
  before: ReadonlyMap<string, ServiceRow>,
  rows: ReplaceTable['rows'],
): Map<string, RowFields | undefined> {
  const changed = new Map<string, RowFields | undefined>();
  const kept = new Set<string>();
  for (const { workspace, service, change } of rows) {
    const key = rowKey(workspace, service);
    kept.add(key);
    const fields = mergeFields(undefined, change);
    if (!sameFields(before.get(key), fields)) changed.set(key, fields);
  }
  for (const key of before.keys()) {
    if (!kept.has(key)) changed.set(key, undefined);
  }
  return changed;
}

function sameFields(row: ServiceRow | undefined, fields: RowFields): boolean {
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

function answerResend(remembered: RememberedEdit, command: TableCommand): EditAnswer {
  if (remembered.contentHash === command.contentHash) return remembered.answer;
  return {
    outcome: 'invalid',
    message: `edit id ${command.editId} was used before for another edit; use a new id`,
  };
}
