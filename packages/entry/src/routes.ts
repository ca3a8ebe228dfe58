/**
 * The HTTP interface of an entry.
 */
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';
import { z } from 'zod';
import { toShedlineError } from '@shedline/errors';
import type { ShedlineError } from '@shedline/errors';
import { abortResponse } from '@shedline/http-connector';
import type { Logger } from '@shedline/logger';
import { burnPage, burnReport, burnTable } from '@shedline/metrics';
import type { BurnSeries } from '@shedline/metrics';
import { rowKey } from '@shedline/types';
import type { Announcement } from '@shedline/types';
import type { Authenticator, AuthRole } from './auth.js';
import type { Completions } from './completions.js';
import { handleAnnouncement } from './endpoint-api.js';
import type { FleetView } from './fleet-view.js';
import { errorResponse, notFound, readJson } from './http-support.js';
import type { EntryHttpContext } from './http-support.js';
import type { JobsApi } from './jobs-api.js';
import type { OperatorApi } from './operator-api.js';
import type { ServiceCalls } from './service-calls.js';
import { openSession, readSession } from './sessions.js';
import type { TableReader } from './table-reader.js';

const sessionSchema = z.strictObject({ service: z.string().min(1) });
const SMALL_BODY_BYTES = 16 * 1024;

/** Options of {@link createRoutes}. */
export interface RoutesOptions {
  readonly authenticator: Authenticator;
  readonly completions: Completions;
  readonly serviceCalls: ServiceCalls;
  readonly jobs: JobsApi;
  readonly operator: OperatorApi;
  readonly sessionSecret: string;
  readonly fleet: FleetView;
  readonly reader: TableReader;
  readonly onAnnouncement: (announcement: Announcement) => void;
  readonly addresses: (query: { availabilityZone?: string; session?: string }) => unknown;
  readonly status: () => Promise<unknown>;
  readonly burnSeries: () => Promise<readonly BurnSeries[]>;
  readonly metricsText: () => Promise<string>;
  readonly drain: () => void;
  readonly isServing: () => boolean;
  /** Called when a caller's request starts (1) and ends (-1). */
  readonly trackOpenRequests: (change: 1 | -1) => void;
  readonly logger: Logger;
}

type Handler = (c: EntryHttpContext, workspace: string) => Promise<Response> | Response;

/** Creates the routes of an entry. */
export function createRoutes(options: RoutesOptions): Hono<{ Bindings: HttpBindings }> {
  const app = new Hono<{ Bindings: HttpBindings }>();
  app.onError((error, c) => handleError(options, error, c));
  app.notFound((c) => errorResponse(notFound(`no route matches ${c.req.method} ${c.req.path}`)));
  addOpenRoutes(app, options);
  addCallerRoutes(app, options);
  addJobRoutes(app, options);
  addOperatorRoutes(app, options);
  return app;
}

function handleError(options: RoutesOptions, thrown: unknown, c: EntryHttpContext): Response {
  const error = toShedlineError(thrown, { step: 'answer', peer: 'caller', ran: 'unknown' });
  logFailure(options, error, c);
  const { outgoing } = c.env;
  if (!outgoing.headersSent) return errorResponse(error);
  abortResponse(outgoing);
  return RESPONSE_ALREADY_SENT;
}

function logFailure(options: RoutesOptions, error: ShedlineError, c: EntryHttpContext): void {
  const fields = {
    step: error.step,
    peer: error.peer,
    type: error.type,
    ran: error.ran,
    method: c.req.method,
    path: c.req.path,
    reason: error.message,
  };
  if (error.type === 'internal') options.logger.error('request failed', fields);
  else options.logger.debug('request refused', fields);
}

function addOpenRoutes(app: Hono<{ Bindings: HttpBindings }>, options: RoutesOptions): void {
  app.get('/healthz', (c) =>
    options.isServing() ? c.json({ ready: true }) : c.json({ ready: false }, 503),
  );
  app.post('/v1/endpoints/announce', (c) => {
    options.authenticator.requireRole(c.req.header('authorization'), 'endpoint');
    return handleAnnouncement(c, options.onAnnouncement);
  });
}

/** Creates a handler that authenticates the caller and counts the request until it ends. */
function forCaller(options: RoutesOptions, handler: Handler) {
  return async (c: EntryHttpContext): Promise<Response> => {
    const workspace = options.authenticator.requireCaller(c.req.header('authorization'));
    options.trackOpenRequests(1);
    try {
      return await handler(c, workspace);
    } finally {
      options.trackOpenRequests(-1);
    }
  };
}

function addCallerRoutes(app: Hono<{ Bindings: HttpBindings }>, options: RoutesOptions): void {
  const { completions, serviceCalls } = options;
  app.get('/v1/addresses', async (c) => c.json((await addressesFor(options, c)) as object));
  app.post(
    '/v1/chat/completions',
    forCaller(options, (c, workspace) => completions.handle(c, workspace, '/v1/chat/completions')),
  );
  app.post(
    '/v1/completions',
    forCaller(options, (c, workspace) => completions.handle(c, workspace, '/v1/completions')),
  );
  app.post(
    '/v1/sessions',
    forCaller(options, (c, workspace) => createSession(options, c, workspace)),
  );
  app.delete(
    '/v1/sessions/:token',
    forCaller(options, (c, workspace) => {
      const token = c.req.param('token') ?? '';
      const session = readSession(options.sessionSecret, token, workspace);
      options.fleet.closeSession(session.sessionId);
      return c.json({ closed: true });
    }),
  );
  const call = forCaller(options, (c, workspace) => serviceCalls.handle(c, workspace));
  app.all('/v1/services/:service', call);
  app.all('/v1/services/:service/*', call);
}

async function addressesFor(options: RoutesOptions, c: EntryHttpContext): Promise<unknown> {
  const workspace = options.authenticator.requireCaller(c.req.header('authorization'));
  const name = c.req.query('service');
  if (name !== undefined) await findOwnRow(options, name, workspace);
  const availabilityZone = c.req.query('availabilityZone');
  const session = c.req.query('session');
  return options.addresses({
    ...(availabilityZone === undefined ? {} : { availabilityZone }),
    ...(session === undefined ? {} : { session }),
  });
}

async function findOwnRow(
  options: RoutesOptions,
  name: string,
  workspace: string,
): Promise<string> {
  const service = name.startsWith(`${workspace}/`) ? name.slice(workspace.length + 1) : name;
  const row = await options.reader.row(rowKey(workspace, service));
  if (row === undefined) throw notFound(`service: there is no service ${name}`);
  return service;
}

async function createSession(
  options: RoutesOptions,
  c: EntryHttpContext,
  workspace: string,
): Promise<Response> {
  const { service: name } = await readJson(c, sessionSchema, SMALL_BODY_BYTES);
  const service = await findOwnRow(options, name, workspace);
  const session = openSession(options.sessionSecret, workspace, service);
  return c.json({ session, service: `${workspace}/${service}` }, 201);
}

function addJobRoutes(app: Hono<{ Bindings: HttpBindings }>, options: RoutesOptions): void {
  const { jobs } = options;
  app.post(
    '/v1/jobs',
    forCaller(options, (c, workspace) => jobs.create(c, workspace)),
  );
  app.get(
    '/v1/jobs',
    forCaller(options, (c, workspace) => jobs.list(c, workspace)),
  );
  app.get(
    '/v1/jobs/:id',
    forCaller(options, (c, workspace) => jobs.get(c, workspace)),
  );
  app.put(
    '/v1/jobs/:id/items',
    forCaller(options, (c, workspace) => jobs.putItems(c, workspace)),
  );
  app.post(
    '/v1/jobs/:id/seal',
    forCaller(options, (c, workspace) => jobs.seal(c, workspace)),
  );
  app.post(
    '/v1/jobs/:id/cancel',
    forCaller(options, (c, workspace) => jobs.cancel(c, workspace)),
  );
  app.get(
    '/v1/jobs/:id/results',
    forCaller(options, (c, workspace) => jobs.results(c, workspace)),
  );
}

function forRole(
  options: RoutesOptions,
  role: AuthRole,
  handler: (c: EntryHttpContext) => Promise<Response> | Response,
) {
  return async (c: EntryHttpContext): Promise<Response> => {
    options.authenticator.requireRole(c.req.header('authorization'), role);
    return handler(c);
  };
}

function addOperatorRoutes(app: Hono<{ Bindings: HttpBindings }>, options: RoutesOptions): void {
  const { operator } = options;
  const forOperator = (handler: (c: EntryHttpContext) => Promise<Response> | Response) =>
    forRole(options, 'operator', handler);
  app.get(
    '/v1/table',
    forOperator((c) => operator.getTable(c)),
  );
  app.put(
    '/v1/table',
    forOperator((c) => operator.replaceTable(c)),
  );
  app.patch(
    '/v1/table/rows/:workspace/:service',
    forOperator((c) => operator.editRow(c)),
  );
  app.get(
    '/v1/table/revisions/:revision',
    forOperator((c) => operator.revisionStatus(c)),
  );
  app.post(
    '/v1/orders',
    forOperator((c) => operator.placeOrder(c)),
  );
  app.get(
    '/v1/orders',
    forOperator((c) => operator.listOrders(c)),
  );
  app.get(
    '/v1/status',
    forOperator(async (c) => c.json((await options.status()) as object)),
  );
  app.get(
    '/v1/report/burn',
    forOperator((c) => burnResponse(options, c)),
  );
  app.get(
    '/metrics',
    forOperator(async (c) => c.text(await options.metricsText())),
  );
  app.post(
    '/v1/drain',
    forOperator((c) => {
      options.drain();
      return c.json({ draining: true }, 202);
    }),
  );
}

async function burnResponse(options: RoutesOptions, c: EntryHttpContext): Promise<Response> {
  const series = await options.burnSeries();
  const format = c.req.query('format') ?? 'json';
  if (format === 'html') return c.html(burnPage(series));
  if (format === 'table') return c.text(`${burnTable(burnReport(series))}\n`);
  return c.json({ rows: burnReport(series) });
}
