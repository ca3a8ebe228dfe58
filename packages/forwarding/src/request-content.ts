/**
 * Computes a key of a request's content that does not depend on the request id or the entry: a
 * caller that retries sends the same content with a new id, to any entry.
 */
import { createHash } from 'node:crypto';
import type { CallerRequest } from './protocol.js';

/** Bytes of the digest that are kept; a collision is expected among about 2^64 contents. */
const KEY_BYTES = 16;

/** The parts of a request that identify its content. */
export type RequestContent = Pick<CallerRequest, 'method' | 'path' | 'body' | 'prompt'>;

/** Returns the key of the content of a request to a host; equal in every process. */
export function contentKeyOf(host: string, { method, path, body, prompt }: RequestContent): string {
  const digest = createHash('sha256');
  digest.update(`${method} ${host} ${path}\n`);
  // A request without a body lists its prompt in its headers.
  digest.update(body.length > 0 ? body : (prompt ?? ''));
  return digest.digest().subarray(0, KEY_BYTES).toString('base64url');
}
