/**
 * Proof of the shared secret, both ways, before any message counts.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

const NONCE_BYTES = 16;

/** First message of both sides. */
export interface Hello {
  readonly name: string;
  readonly nonce: string;
}

/** A fresh hello. */
export function createHello(name: string): Hello {
  return { name, nonce: randomBytes(NONCE_BYTES).toString('hex') };
}

/** Proof that `own` knows the secret, bound to both nonces. */
export function proofOf(secret: string, own: Hello, other: Hello): string {
  const text = JSON.stringify([own.name, own.nonce, other.name, other.nonce]);
  return createHmac('sha256', secret).update(text).digest('hex');
}

/** Whether a proof is right, compared in constant time. */
export function isProof(given: unknown, expected: string): boolean {
  if (typeof given !== 'string') return false;
  const a = Buffer.from(given);
  const b = Buffer.from(expected);
  return a.length === b.length && timingSafeEqual(a, b);
}
