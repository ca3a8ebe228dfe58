/**
 * `ANY /v1/services/:service/*`: forwards calls to plain services.
 */
import { ranAfterAttempts, mayRetry } from '@shedline/admission';
import type { SendProgress } from '@shedline/admission';
import { ShedlineError } from '@shedline/errors';
import { rowKey, sha256Hex } from '@shedline/types';
import type { ServiceRow } from '@shedline/types';
import type { CallClaimer, RecordedAnswer } from './call-claimer.js';
import type { CallOutcome } from './endpoint-driver.js';
import { notFound, readBody, requestDeadlineMs } from './http-support.js';
import type { EntryHttpContext } from './http-support.js';
import type { OnlineContext } from './online-run.js';

/** Options of {@link ServiceCalls}. */
export interface ServiceCallsOptions {
  readonly context: OnlineContext;
  readonly claimer: CallClaimer;
  readonly maxBodyBytes: number;
  /** Throws if the entry may not accept work now. */
  readonly checkServing: () => void;
}

/** A call of a batch item. */
export interface ItemCall {
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
  /** Identifies the item; the same on every attempt. */
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

type AnsweredCall = CallOutcome & { kind: 'answered' };

const MAX_ATTEMPTS = 3;
const RETRY_AFTER_MS = 500;
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);
/** Hop-by-hop headers, and headers that are meant for the entry only. */
const NOT_FORWARDED_HEADERS = new Set([
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

/** Forwards calls to plain services. */
export class ServiceCalls {
  private readonly options: ServiceCallsOptions;

  constructor(options: ServiceCallsOptions) {
    this.options = options;
  }

  /** Handles a call of a caller. */
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
      run: async () => recordedAnswerOf(await this.admitAndSend(call)),
    });
    return recordedResponse(recorded);
  }

  /** Sends the call of a batch item, without admission control or retries. */
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
      // Lets a service that supports idempotency keys detect a repeated item.
      headers: { 'content-type': 'application/json', 'idempotency-key': key },
      connectionClass: 'batch',
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
      path: pathAfterService(c.env.incoming.url ?? '/', service),
      headers: forwardedHeaders(c),
      body,
      deadlineMs: requestDeadlineMs(c, row),
      idempotent: row.idempotent || SAFE_METHODS.has(method),
    };
  }

  private admitAndSend(call: PreparedCall): Promise<AnsweredCall> {
    const work = { isOpenSession: false, limitMs: call.deadlineMs, maxOutput: undefined };
    return this.options.context.admission.run(call.row, work, () => this.send(call));
  }

  private async send(call: PreparedCall): Promise<AnsweredCall> {
    const { fleet, driver, nowMs, admission } = this.options.context;
    const key = rowKey(call.row.workspace, call.row.service);
    const startedMs = nowMs();
    const attempts: SendProgress[] = [];
    const excluded = new Set<string>();
    const signal = AbortSignal.timeout(Math.ceil(call.deadlineMs));
    for (;;) {
      const query = { row: call.row, prefixes: [], sessionId: undefined, excluded };
      const endpoint = fleet.route(query, nowMs());
      if (endpoint === undefined) throw unavailable(key, attempts);
      const { endpointId, url } = endpoint.announcement;
      fleet.loads.recordChange(endpointId, 'online', 1);
      fleet.endpoints.sent(endpointId);
      const outcome = await driver.call({ url, ...call, connectionClass: 'online', signal });
      fleet.loads.recordChange(endpointId, 'online', -1);
      if (outcome.kind === 'answered') {
        fleet.endpoints.succeeded(endpointId, undefined, nowMs());
        return outcome;
      }
      fleet.endpoints.failed(endpointId, nowMs());
      excluded.add(endpointId);
      attempts.push(outcome.progress);
      const remainingMs = call.deadlineMs - (nowMs() - startedMs);
      const mayRetryCall =
        mayRetry({
          progress: outcome.progress,
          idempotent: call.idempotent,
          attempts: attempts.length,
          maxAttempts: MAX_ATTEMPTS,
          leftMs: remainingMs,
          hasAlternative: fleet.route({ ...query, excluded }, nowMs()) !== undefined,
        }) && admission.budgetOf(key).takeRetry();
      if (!mayRetryCall) throw callFailed(endpointId, outcome.message, attempts, remainingMs);
    }
  }
}

/** Returns the path and query after `/v1/services/NAME`, byte for byte. */
function pathAfterService(url: string, service: string): string {
  const prefix = `/v1/services/${service}`;
  const path = url.slice(prefix.length);
  return path.startsWith('/') ? path : `/${path}`;
}

function forwardedHeaders(c: EntryHttpContext): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(c.req.header())) {
    if (!NOT_FORWARDED_HEADERS.has(name)) headers[name] = value;
  }
  return headers;
}

function recordedAnswerOf(answered: AnsweredCall): RecordedAnswer {
  const contentType = answered.headers['content-type'] ?? 'application/octet-stream';
  return { status: answered.status, contentType, body: answered.body };
}

function toResponse(answered: AnsweredCall): Response {
  const { status, headers } = answered;
  return new Response(responseBodyOf(status, answered.body), { status, headers });
}

function recordedResponse(recorded: RecordedAnswer): Response {
  const headers = { 'content-type': recorded.contentType };
  return new Response(responseBodyOf(recorded.status, recorded.body), {
    status: recorded.status,
    headers,
  });
}

function responseBodyOf(status: number, body: Buffer): Uint8Array<ArrayBuffer> | null {
  return status === 204 || status === 304 ? null : new Uint8Array(body);
}

function unavailable(key: string, attempts: readonly SendProgress[]): ShedlineError {
  return new ShedlineError({
    type: 'unavailable',
    message: `no endpoint of ${key} is available; retry later`,
    step: 'choose endpoint',
    peer: key,
    ran: ranAfterAttempts(attempts),
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function callFailed(
  peer: string,
  reason: string,
  attempts: readonly SendProgress[],
  remainingMs: number,
): ShedlineError {
  const isPastDeadline = remainingMs <= 0;
  return new ShedlineError({
    type: isPastDeadline ? 'deadline_exceeded' : 'endpoint_failed',
    message: isPastDeadline ? 'the deadline of the request has passed' : reason,
    step: 'call service',
    peer,
    ran: ranAfterAttempts(attempts),
  });
}
