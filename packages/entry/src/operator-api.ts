/**
 * HTTP handlers for operators: the table and orders to endpoints.
 */
import { randomUUID } from 'node:crypto';
import { z } from 'zod';
import type { ControlClient } from '@shedline/control-client';
import { ShedlineError } from '@shedline/errors';
import { isName, parseRowChange, parseTableFile, planReplacement } from '@shedline/table';
import type { EditAnswer, TableCommand, TableDelta } from '@shedline/table';
import { rowKey, sha256Hex } from '@shedline/types';
import type { FleetView } from './fleet-view.js';
import { checkValue, invalid, notFound, parseJson, readBody, readJson } from './http-support.js';
import type { EntryHttpContext } from './http-support.js';
import type { TableReader } from './table-reader.js';

const MAX_TABLE_BYTES = 16 * 1024 * 1024;

const applySchema = z.strictObject({
  table: z.unknown(),
  expectedRevision: z.number().int().min(0),
  dryRun: z.boolean().default(false),
});

const orderSchema = z.strictObject({
  orderId: z.string().min(1).max(128).optional(),
  endpointId: z.string().min(1),
  kind: z.enum(['loadModel', 'loadAdapter', 'changeRole']),
  subject: z.string().min(1),
});

/** Options of {@link OperatorApi}. */
export interface OperatorApiOptions {
  readonly control: ControlClient;
  readonly fleet: FleetView;
  readonly reader: TableReader;
}

/** Handles requests of operators. */
export class OperatorApi {
  private readonly options: OperatorApiOptions;

  constructor(options: OperatorApiOptions) {
    this.options = options;
  }

  /** `GET /v1/table` */
  async getTable(c: EntryHttpContext): Promise<Response> {
    const { revision, models, rows } = await this.readTable();
    return c.json({ revision, models, rows });
  }

  /** `PATCH /v1/table/rows/:workspace/:service` */
  async editRow(c: EntryHttpContext): Promise<Response> {
    const workspace = c.req.param('workspace') ?? '';
    const service = c.req.param('service') ?? '';
    if (!isName(workspace) || !isName(service)) {
      throw invalid('workspace, service: use lower-case letters, digits and hyphens');
    }
    const expectedRevision = revisionOf(c.req.header('if-match'));
    const body = await readBody(c.env.incoming, MAX_TABLE_BYTES);
    const change = parseRowChange(parseJson(body.toString()));
    const content = { workspace, service, expectedRevision, change };
    const reply = await this.edit(c, { type: 'editRow', ...content }, content);
    return c.json({ revision: reply.revision, row: reply.row });
  }

  /** `PUT /v1/table`: replaces the table in one edit; a dry run returns only the difference. */
  async replaceTable(c: EntryHttpContext): Promise<Response> {
    const body = await readJson(c, applySchema, MAX_TABLE_BYTES);
    const file = parseTableFile(body.table);
    const rows = file.rows.map(({ workspace, service, ...change }) => ({
      workspace,
      service,
      change,
    }));
    const current = await this.readTable();
    const known = new Map(current.rows.map((row) => [rowKey(row.workspace, row.service), row]));
    const changes = planReplacement(known, rows);
    const diff = [...changes].map(([key, fields]) => ({
      row: key,
      before: known.get(key) ?? null,
      after: fields ?? null,
    }));
    if (body.dryRun) return c.json({ revision: current.revision, diff });
    const { expectedRevision } = body;
    const content = { expectedRevision, models: file.models, rows };
    const reply = await this.edit(c, { type: 'replaceTable', ...content }, content);
    return c.json({ revision: reply.revision, diff });
  }

  /** `GET /v1/table/revisions/:revision` */
  async revisionStatus(c: EntryHttpContext): Promise<Response> {
    const revision = Number(c.req.param('revision'));
    if (!Number.isSafeInteger(revision) || revision < 0) {
      throw invalid('revision: must be a non-negative integer');
    }
    const { revision: latest } = await this.readTable();
    if (revision > latest) throw notFound(`the table is at revision ${latest}`);
    return c.json(await this.options.control.inForce(revision));
  }

  /** `POST /v1/orders` */
  async placeOrder(c: EntryHttpContext): Promise<Response> {
    const body = await readJson(c, orderSchema, 64 * 1024);
    const endpoint = this.options.fleet.endpoints.get(body.endpointId)?.announcement;
    if (endpoint === undefined)
      throw notFound(`endpointId: ${body.endpointId} is not a known endpoint`);
    const { url, checksFencing } = endpoint;
    const { endpointId, kind, subject } = body;
    const orderId = body.orderId ?? randomUUID();
    const order = { orderId, endpointId, url, checksFencing, kind, subject };
    const reply = await this.options.control.proposeOrder({ type: 'placeOrder', order });
    return c.json(reply.order, 202);
  }

  /** `GET /v1/orders` */
  async listOrders(c: EntryHttpContext): Promise<Response> {
    return c.json({ orders: await this.options.control.orders() });
  }

  private readTable(): Promise<TableDelta> {
    return this.options.control.table(-1);
  }

  private async edit(
    c: EntryHttpContext,
    command: DistributiveOmit<TableCommand, 'editId' | 'contentHash'>,
    content: unknown,
  ): Promise<EditAnswer & { outcome: 'accepted' }> {
    const editId = checkValue(
      z.string().min(1).max(256),
      c.req.header('idempotency-key') ?? randomUUID(),
    );
    const contentHash = sha256Hex(JSON.stringify(content));
    const reply = await this.options.control.proposeEdit({ ...command, editId, contentHash });
    if (reply.outcome === 'accepted') {
      // Ensures that the operator's next request to this entry sees the edit.
      await this.options.reader.refreshUntil(reply.revision);
      return reply;
    }
    throw errorOfRefusedEdit(reply);
  }
}

type DistributiveOmit<T, K extends PropertyKey> = T extends unknown ? Omit<T, K> : never;

function revisionOf(header: string | undefined): number {
  const text = /^(?:W\/)?"?(\d+)"?$/.exec(header?.trim() ?? '')?.[1];
  if (text !== undefined) return Number(text);
  throw invalid('If-Match: must carry the table revision that the edit is based on');
}

function errorOfRefusedEdit(
  reply: EditAnswer & { outcome: 'conflict' | 'invalid' },
): ShedlineError {
  if (reply.outcome === 'invalid') return invalid(reply.message);
  const { message, revision, row } = reply;
  return new ShedlineError({
    type: 'conflict',
    message,
    step: 'edit table',
    peer: 'control',
    details: { revision, row: row ?? null },
  });
}
