/**
 * Helpers shared by the HTTP handlers.
 */
import type { HttpBindings } from '@hono/node-server';
import type { Context } from 'hono';
import type { IncomingMessage } from 'node:http';
import type { z } from 'zod';
import { ShedlineError } from '@shedline/errors';
import { DEADLINE_HEADER, RAN_HEADER } from '@shedline/types';
import type { ServiceRow } from '@shedline/types';

/** Context of an HTTP handler on the Node.js server. */
export type EntryHttpContext = Context<{ Bindings: HttpBindings }>;

/** Maximum time to receive a request body. */
const BODY_TIMEOUT_MS = 30_000;

/** Returns the headers of an error response. */
export function errorHeaders(error: ShedlineError): Record<string, string> {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    [RAN_HEADER]: error.ran,
  };
  if (error.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.max(1, Math.ceil(error.retryAfterMs / 1000)));
    headers['retry-after-ms'] = String(error.retryAfterMs);
  }
  return headers;
}

/** Returns the body of an error response; details are siblings of the `error` field. */
export function errorText(error: ShedlineError): string {
  const { details, ...body } = error.toBody();
  return JSON.stringify({ error: body, ...details });
}

/** Converts an error to an HTTP response. */
export function errorResponse(error: ShedlineError): Response {
  return new Response(errorText(error), { status: error.status, headers: errorHeaders(error) });
}

/** Reads a request body of limited size; closes the connection if it takes too long. */
export function readBody(incoming: IncomingMessage, maxBytes: number): Promise<Buffer> {
  const declared = Number(incoming.headers['content-length'] ?? 0);
  if (declared > maxBytes) return Promise.reject(tooLarge(maxBytes));
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    const timer = setTimeout(() => incoming.destroy(), BODY_TIMEOUT_MS);
    incoming.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes <= maxBytes) chunks.push(chunk);
      else reject(tooLarge(maxBytes));
    });
    incoming.on('end', () => {
      clearTimeout(timer);
      resolve(Buffer.concat(chunks, Math.min(sizeBytes, maxBytes)));
    });
    incoming.on('error', () => {
      clearTimeout(timer);
      reject(invalid('the connection was reset before the end of the body'));
    });
  });
}

/** Reads and validates a JSON body; errors name the invalid field. */
export async function readJson<T>(
  c: EntryHttpContext,
  schema: z.ZodType<T>,
  maxBytes: number,
): Promise<T> {
  const body = await readBody(c.env.incoming, maxBytes);
  return checkValue(schema, parseJson(body.toString()));
}

/** Parses JSON; throws an `invalid_request` error if it is malformed. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw invalid('the body is not valid JSON');
  }
}

/** Validates a value against a schema; errors name the invalid field. */
export function checkValue<T>(schema: z.ZodType<T>, value: unknown): T {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  const field = issue?.path.join('.') ?? '';
  throw invalid(`${field === '' ? 'body' : field}: ${issue?.message ?? 'invalid value'}`);
}

/** Returns the deadline from the request header, or the default deadline of the row. */
export function requestDeadlineMs(c: EntryHttpContext, row: ServiceRow): number {
  const header = c.req.header(DEADLINE_HEADER);
  if (header === undefined) return row.defaultDeadlineMs;
  const value = Number(header);
  if (Number.isFinite(value) && value > 0) return value;
  throw invalid(`${DEADLINE_HEADER}: must be a positive number of milliseconds`);
}

/** Creates an error for invalid input. */
export function invalid(message: string): ShedlineError {
  return new ShedlineError({
    type: 'invalid_request',
    message,
    step: 'check input',
    peer: 'caller',
  });
}

/** Creates an error for something that does not exist or that the sender may not see. */
export function notFound(message: string): ShedlineError {
  return new ShedlineError({ type: 'not_found', message, step: 'look up', peer: 'caller' });
}

/** Returns a query parameter as a whole number, 0 if omitted; throws if it is not one. */
export function queryWholeNumber(c: EntryHttpContext, name: string): number {
  const text = c.req.query(name) ?? '0';
  const value = Number(text);
  if (text === '' || !Number.isSafeInteger(value) || value < 0) {
    throw invalid(`${name}: must be a non-negative integer`);
  }
  return value;
}

function tooLarge(maxBytes: number): ShedlineError {
  return new ShedlineError({
    type: 'too_large',
    message: `the body is larger than ${maxBytes} bytes; split it into smaller requests`,
    step: 'read body',
    peer: 'caller',
  });
}
