/**
 * Validates the fields of rows in edits and table files.
 */
import { z } from 'zod';
import { ShedlineError } from '@shedline/errors';
import { DEFAULT_ROW_FIELDS } from '@shedline/types';
import type { RowFields } from '@shedline/types';

const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;
const name = z.string().regex(NAME_PATTERN, 'use lower-case letters, digits and hyphens');
const positiveNumber = z.number().positive();
const fraction = z.number().min(0).max(1);

const limitsSchema = z.strictObject({
  requestsPerSecond: positiveNumber,
  concurrentRequests: positiveNumber,
  tokensPerSecond: positiveNumber,
});
const batchSchema = z.strictObject({ floorShare: fraction, ceilingShare: fraction });
const targetsSchema = z.strictObject({
  firstTokenMs: positiveNumber,
  betweenTokensMs: positiveNumber,
});

const fieldsSchema = z.strictObject({
  kind: z.enum(['engine', 'plain']),
  weight: positiveNumber,
  models: z.array(z.string().min(1)),
  idempotent: z.boolean(),
  limits: limitsSchema,
  batch: batchSchema,
  targets: targetsSchema,
  defaultDeadlineMs: positiveNumber,
  pastDue: z.enum(['continue', 'stop']),
});

const changeSchema = z.strictObject({
  ...fieldsSchema.partial().shape,
  limits: limitsSchema.partial().optional(),
  batch: batchSchema.partial().optional(),
  targets: targetsSchema.partial().optional(),
});

const tableFileSchema = z.strictObject({
  models: z.array(z.string().min(1)),
  rows: z.array(z.strictObject({ workspace: name, service: name, ...changeSchema.shape })),
});

/** Fields of a row that an edit changes. */
export type RowChange = z.infer<typeof changeSchema>;
/** Contents of a table file, which holds the whole table. */
export type TableFile = z.infer<typeof tableFileSchema>;

/** Validates the body of an edit; throws `invalid_request` with the field name. */
export function parseRowChange(value: unknown): RowChange {
  return parse(changeSchema, value, 'check edit');
}

/** Validates a table file; throws `invalid_request` with the field name. */
export function parseTableFile(value: unknown): TableFile {
  return parse(tableFileSchema, value, 'check table file');
}

/** Whether a string is a valid name of a workspace or a service. */
export function isName(value: string): boolean {
  return NAME_PATTERN.test(value);
}

/** Returns the fields of a row after a change; fields that are not set keep their value. */
export function mergeFields(before: RowFields | undefined, change: RowChange): RowFields {
  const base = before ?? DEFAULT_ROW_FIELDS;
  return {
    kind: change.kind ?? base.kind,
    weight: change.weight ?? base.weight,
    models: change.models ?? base.models,
    idempotent: change.idempotent ?? base.idempotent,
    limits: { ...base.limits, ...change.limits },
    batch: { ...base.batch, ...change.batch },
    targets: { ...base.targets, ...change.targets },
    defaultDeadlineMs: change.defaultDeadlineMs ?? base.defaultDeadlineMs,
    pastDue: change.pastDue ?? base.pastDue,
  };
}

/** Returns the first problem of a row within its table, or undefined if it is valid. */
export function rowProblem(fields: RowFields, models: readonly string[]): string | undefined {
  const unknown = fields.models.find((model) => !models.includes(model));
  if (unknown !== undefined) {
    const known = models.length === 0 ? 'none' : models.join(', ');
    return `models: unknown model ${unknown}; the table declares ${known}`;
  }
  if (fields.kind === 'engine' && fields.models.length === 0) {
    return 'models: a service of kind engine needs at least one model';
  }
  if (fields.batch.floorShare > fields.batch.ceilingShare) {
    return 'batch.floorShare: must not be above batch.ceilingShare';
  }
  return undefined;
}

function parse<T>(schema: z.ZodType<T>, value: unknown, step: string): T {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  const path = issue?.path.join('.') ?? '';
  const message = `${path === '' ? 'body' : path}: ${issue?.message ?? 'not accepted'}`;
  throw new ShedlineError({ type: 'invalid_request', message, step, peer: 'operator' });
}
