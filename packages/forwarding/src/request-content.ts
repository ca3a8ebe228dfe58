/**
 * Names what a request asks for, whoever carries it and under whichever id: a caller that asks again
 * sends the same content under a new id, to any entry.
 */
import { createHash } from 'node:crypto';
import type { CallerRequest } from './protocol.js';

/** Bytes of the digest that are kept; two contents meet in one of 2^64 pairs. */
const KEY_BYTES = 16;

/** What tells the contents of requests apart. */
export type RequestContent = Pick<CallerRequest, 'method' | 'path' | 'body' | 'prompt'>;

/** Key of the content of a request to a host; the same in every process. */
export function contentKeyOf(host: string, { method, path, body, prompt }: RequestContent): string {
  const digest = createHash('sha256');
  digest.update(`${method} ${host} ${path}\n`);
  // A request without a body says in its headers what is to be answered.
  digest.update(body.length > 0 ? body : (prompt ?? ''));
  return digest.digest().subarray(0, KEY_BYTES).toString('base64url');
}
