/**
 * Helpers that the HTTP handlers share.
 */
import type { HttpBindings } from '@hono/node-server';
import type { Context } from 'hono';
import type { IncomingMessage } from 'node:http';
import type { z } from 'zod';
import { ShedlineError } from '@shedline/errors';
import { DEADLINE_HEADER, RAN_HEADER } from '@shedline/types';
import type { ServiceRow } from '@shedline/types';

/** Context of a handler on the Node.js server. */
export type EntryHttpContext = Context<{ Bindings: HttpBindings }>;

/** Time in which a body must have arrived. */
const BODY_TIMEOUT_MS = 30_000;

/** Headers of an error answer. */
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

/** The body of an error answer; details, such as the current row, stand beside the error. */
export function errorText(error: ShedlineError): string {
  const { details, ...body } = error.toBody();
  return JSON.stringify({ error: body, ...details });
}

/** An error as an HTTP answer. */
export function errorResponse(error: ShedlineError): Response {
  return new Response(errorText(error), { status: error.status, headers: errorHeaders(error) });
}

/** Reads a body up to a size; slow senders are cut off. */
export function readBody(incoming: IncomingMessage, maxBytes: number): Promise<Buffer> {
  const declared = Number(incoming.headers['content-length'] ?? 0);
  if (declared > maxBytes) return Promise.reject(tooLarge(maxBytes));
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let sizeBytes = 0;
    const timer = setTimeout(() => incoming.destroy(), BODY_TIMEOUT_MS);
    incoming.on('data', (part: Buffer) => {
      sizeBytes += part.length;
      if (sizeBytes <= maxBytes) parts.push(part);
      else reject(tooLarge(maxBytes));
    });
    incoming.on('end', () => {
      clearTimeout(timer);
      resolve(Buffer.concat(parts, Math.min(sizeBytes, maxBytes)));
    });
    incoming.on('error', () => {
      clearTimeout(timer);
      reject(invalid('the body broke off'));
    });
  });
}

/** Reads a JSON body and checks it; errors name the field. */
export async function readJson<T>(
  c: EntryHttpContext,
  schema: z.ZodType<T>,
  maxBytes: number,
): Promise<T> {
  const body = await readBody(c.env.incoming, maxBytes);
  return checkValue(schema, parseJson(body.toString()));
}

/** Parses JSON; throws an error for the caller. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw invalid('the body is no JSON');
  }
}

/** Checks a value by a schema; errors name the field. */
export function checkValue<T>(schema: z.ZodType<T>, value: unknown): T {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  const field = issue?.path.join('.') ?? '';
  throw invalid(`${field === '' ? 'body' : field}: ${issue?.message ?? 'not accepted'}`);
}

/** Time that a caller gives its request, or that the row gives it. */
export function requestDeadlineMs(c: EntryHttpContext, row: ServiceRow): number {
  const header = c.req.header(DEADLINE_HEADER);
  if (header === undefined) return row.defaultDeadlineMs;
  const value = Number(header);
  if (Number.isFinite(value) && value > 0) return value;
  throw invalid(`${DEADLINE_HEADER}: must be a positive number of milliseconds`);
}

/** An error for bad input. */
export function invalid(message: string): ShedlineError {
  return new ShedlineError({
    type: 'invalid_request',
    message,
    step: 'check input',
    peer: 'caller',
  });
}

/** An error for something that the sender cannot see or that is not there. */
export function notFound(message: string): ShedlineError {
  return new ShedlineError({ type: 'not_found', message, step: 'look up', peer: 'caller' });
}

/** A whole number from the query; throws where it is none. */
export function queryIndex(c: EntryHttpContext, name: string): number {
  const text = c.req.query(name) ?? '0';
  const value = Number(text);
  if (text === '' || !Number.isSafeInteger(value) || value < 0) {
    throw invalid(`${name}: must be a whole number from 0`);
  }
  return value;
}

function tooLarge(maxBytes: number): ShedlineError {
  return new ShedlineError({
    type: 'too_large',
    message: `the body is larger than ${maxBytes} bytes; send less at once`,
    step: 'read body',
    peer: 'caller',
  });
}
