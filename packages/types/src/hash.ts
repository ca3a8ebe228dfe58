/**
 * Hashes that every process computes alike.
 */
import { createHash } from 'node:crypto';

const HEX_PREFIX_LENGTH = 12;

/** Hexadecimal SHA-256 of a text. */
export function sha256Hex(text: string | Uint8Array): string {
  return createHash('sha256').update(text).digest('hex');
}

/** A number in [0, 1) that depends on the text alone. */
export function unitHash(text: string): number {
  return parseInt(sha256Hex(text).slice(0, HEX_PREFIX_LENGTH), 16) / 16 ** HEX_PREFIX_LENGTH;
}

/**
 * The `count` candidates with the highest rendezvous score for a key
 * (Thaler and Ravishankar, 1998): few of them change when a candidate comes or goes.
 */
export function rendezvousOrder(
  key: string,
  candidates: readonly string[],
  count: number,
): string[] {
  const scored = candidates.map((candidate) => ({
    candidate,
    score: unitHash(`${key}|${candidate}`),
  }));
  scored.sort((a, b) => b.score - a.score || (a.candidate < b.candidate ? -1 : 1));
  return scored.slice(0, count).map((entry) => entry.candidate);
}

/** The group (1 to `groupCount`) that holds the jobs and keys of `key`. */
export function groupOf(key: string, groupCount: number): number {
  return 1 + Math.floor(unitHash(`group|${key}`) * groupCount);
}
