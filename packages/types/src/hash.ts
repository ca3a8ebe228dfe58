/**
 * Hashes that yield the same value in every process.
 */
import { createHash } from 'node:crypto';

const HEX_PREFIX_LENGTH = 12;

/** Returns the hexadecimal SHA-256 hash of a text. */
export function sha256Hex(text: string | Uint8Array): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Maps a text to a number in [0, 1) by its hash. */
export function unitHash(text: string): number {
  return parseInt(sha256Hex(text).slice(0, HEX_PREFIX_LENGTH), 16) / 16 ** HEX_PREFIX_LENGTH;
}

/**
 * Returns the `count` candidates with the highest rendezvous hash for a key, highest first
 * (Thaler and Ravishankar, 1998). Few of them change when a candidate is added or removed.
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
  return scored.slice(0, count).map((scoredCandidate) => scoredCandidate.candidate);
}

/** Returns the group (1 to `groupCount`) that holds the jobs and call claims of `key`. */
export function groupOf(key: string, groupCount: number): number {
  return 1 + Math.floor(unitHash(`group|${key}`) * groupCount);
}
