/**
 * `ANY /v1/services/:service/*`: calls of plain services.
 */
import { ranAfter, mayRetry } from '@shedline/admission';
import type { SendProgress } from '@shedline/admission';
import { ShedlineError } from '@shedline/errors';
import { rowKey, sha256Hex } from '@shedline/types';
import type { ServiceRow } from '@shedline/types';
import type { CallClaimer, RecordedAnswer } from './call-claimer.js';
import type { CallOutcome } from './endpoint-driver.js';
import { notFound, readBody, requestDeadlineMs } from './http-support.js';
import type { EntryHttpContext } from './http-support.js';
import type { OnlineContext } from './online-run.js';

/** What the handler needs. */
export interface ServiceCallsOptions {
  readonly context: OnlineContext;
  readonly claimer: CallClaimer;
  readonly maxBodyBytes: number;
  readonly checkServing: () => void;
}

/** A call that a batch item makes. */
export interface ItemCall {
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
  /** Names the item, the same on every attempt. */
  readonly key: string;
}

interface PreparedCall {
  readonly row: ServiceRow;
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: Buffer;
  readonly deadlineMs: number;
  readonly idempotent: boolean;
}

type Answered = CallOutcome & { kind: 'answered' };

const MAX_ATTEMPTS = 3;
const RETRY_AFTER_MS = 500;
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);
const HOP_HEADERS = new Set([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'te',
  'transfer-encoding',
  'upgrade',
]);

/** Passes calls through to plain services. */
export class ServiceCalls {
  private readonly options: ServiceCallsOptions;

  constructor(options: ServiceCallsOptions) {
    this.options = options;
  }

  /** Answers one call. */
  async handle(c: EntryHttpContext, workspace: string): Promise<Response> {
    const call = await this.prepare(c, workspace);
    const key = c.req.header('idempotency-key');
    if (call.idempotent || key === undefined) return toResponse(await this.admitAndSend(call));
    const recorded = await this.options.claimer.runOnce({
      workspace,
      service: call.row.service,
      key,
      requestHash: sha256Hex(`${call.method} ${call.path}\n${call.body.toString('base64')}`),
      deadlineMs: call.deadlineMs,
      run: async () => recordOf(await this.admitAndSend(call)),
    });
    return recordedResponse(recorded);
  }

  /** Sends a batch item's call; it is neither limited nor repeated. */
  async sendItem(row: ServiceRow, item: ItemCall, signal: AbortSignal): Promise<CallOutcome> {
    const { context } = this.options;
    const endpoint = context.fleet.route(
      { row, prefixes: [], sessionId: undefined, excluded: new Set() },
      context.nowMs(),
    );
    if (endpoint === undefined) {
      return { kind: 'failed', progress: 'notSent', message: 'no endpoint is up' };
    }
    const { method, path, body, key } = item;
    return context.driver.call({
      url: endpoint.announcement.url,
      method,
      path,
      body,
      // A service that knows keys can tell a repeated idempotent item by it.
      headers: { 'content-type': 'application/json', 'idempotency-key': key },
      lane: 'batch',
      signal,
    });
  }

  private async prepare(c: EntryHttpContext, workspace: string): Promise<PreparedCall> {
    this.options.checkServing();
    const service = c.req.param('service') ?? '';
    const row = await this.options.context.reader.row(rowKey(workspace, service));
    if (row?.kind !== 'plain') throw notFound(`there is no plain service ${service}`);
    const body = await readBody(c.env.incoming, this.options.maxBodyBytes);
    const { method } = c.req;
    return {
      row,
      method,
      path: pathBehind(c.env.incoming.url ?? '/', service),
      headers: passedHeaders(c),
      body,
      deadlineMs: requestDeadlineMs(c, row),
      idempotent: row.idempotent || SAFE_METHODS.has(method),
    };
  }

  private admitAndSend(call: PreparedCall): Promise<Answered> {
    return this.options.context.admission.run(call.row, false, () => this.send(call));
  }

  private async send(call: PreparedCall): Promise<Answered> {
    const { fleet, driver, nowMs, admission } = this.options.context;
    const key = rowKey(call.row.workspace, call.row.service);
    const startedMs = nowMs();
    const sends: SendProgress[] = [];
    const excluded = new Set<string>();
    const signal = AbortSignal.timeout(Math.ceil(call.deadlineMs));
    for (;;) {
      const query = { row: call.row, prefixes: [], sessionId: undefined, excluded };
      const endpoint = fleet.route(query, nowMs());
      if (endpoint === undefined) throw unavailable(key, sends);
      const { endpointId, url } = endpoint.announcement;
      fleet.loads.change(endpointId, 'online', 1);
      fleet.endpoints.sent(endpointId);
      const outcome = await driver.call({ url, ...call, lane: 'online', signal });
      fleet.loads.change(endpointId, 'online', -1);
      if (outcome.kind === 'answered') {
        fleet.endpoints.succeeded(endpointId, undefined, nowMs());
        return outcome;
      }
      fleet.endpoints.failed(endpointId, nowMs());
      excluded.add(endpointId);
      sends.push(outcome.progress);
      const leftMs = call.deadlineMs - (nowMs() - startedMs);
      const goOn =
        mayRetry({
          progress: outcome.progress,
          idempotent: call.idempotent,
          attempts: sends.length,
          maxAttempts: MAX_ATTEMPTS,
          leftMs,
          hasAlternative: fleet.route({ ...query, excluded }, nowMs()) !== undefined,
        }) && admission.budgetOf(key).takeRetry();
      if (!goOn) throw callFailed(endpointId, outcome.message, sends, leftMs);
    }
  }
}

/** Path and query behind `/v1/services/NAME`, byte for byte. */
function pathBehind(url: string, service: string): string {
  const prefix = `/v1/services/${service}`;
  const rest = url.slice(prefix.length);
  return rest.startsWith('/') ? rest : `/${rest}`;
}

function passedHeaders(c: EntryHttpContext): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(c.req.header())) {
    if (!HOP_HEADERS.has(name)) headers[name] = value;
  }
  return headers;
}

function recordOf(answered: Answered): RecordedAnswer {
  const contentType = answered.headers['content-type'] ?? 'application/octet-stream';
  return { status: answered.status, contentType, body: answered.body };
}

function toResponse(answered: Answered): Response {
  const { status, headers } = answered;
  return new Response(bodyFor(status, answered.body), { status, headers });
}

function recordedResponse(recorded: RecordedAnswer): Response {
  const headers = { 'content-type': recorded.contentType };
  return new Response(bodyFor(recorded.status, recorded.body), {
    status: recorded.status,
    headers,
  });
}

function bodyFor(status: number, body: Buffer): Uint8Array<ArrayBuffer> | null {
  return status === 204 || status === 304 ? null : new Uint8Array(body);
}

function unavailable(key: string, sends: readonly SendProgress[]): ShedlineError {
  return new ShedlineError({
    type: 'unavailable',
    message: `no endpoint of ${key} is up; come back later`,
    step: 'choose endpoint',
    peer: key,
    ran: ranAfter(sends),
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function callFailed(
  peer: string,
  reason: string,
  sends: readonly SendProgress[],
  leftMs: number,
): ShedlineError {
  const late = leftMs <= 0;
  return new ShedlineError({
    type: late ? 'deadline_exceeded' : 'endpoint_failed',
    message: late ? 'the deadline of the request has passed' : reason,
    step: 'call service',
    peer,
    ran: ranAfter(sends),
  });
}
