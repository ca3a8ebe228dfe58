/**
 * Mutual authentication: each side proves that it knows the shared secret before messages are
 * accepted.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

const NONCE_BYTES = 16;

/** First message of each side. */
export interface Hello {
  readonly name: string;
  readonly nonce: string;
}

/** Creates a hello with a random nonce. */
export function createHello(name: string): Hello {
  return { name, nonce: randomBytes(NONCE_BYTES).toString('hex') };
}

/** Returns the proof that the sender of `own` knows the secret; it depends on both nonces. */
export function createProof(secret: string, own: Hello, other: Hello): string {
  const text = JSON.stringify([own.name, own.nonce, other.name, other.nonce]);
  return createHmac('sha256', secret).update(text).digest('hex');
}

/** Whether a proof equals the expected one; compares in constant time. */
export function isValidProof(given: unknown, expected: string): boolean {
  if (typeof given !== 'string') return false;
  const a = Buffer.from(given);
  const b = Buffer.from(expected);
  return a.length === b.length && timingSafeEqual(a, b);
}
