/**
 * Hashes of prompt prefixes; routing uses them to find engines that have a prefix in their cache.
 */

/** Number of characters per block of a prompt. */
export const PREFIX_BLOCK_CHARS = 256;
/** Maximum number of blocks that are hashed. */
const MAX_BLOCKS = 64;
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns the 32-bit FNV-1a hash of a text, continued from `seed`. */
export function fastHash(text: string, seed = FNV_OFFSET): number {
  let hash = seed;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}

/** Returns a hash of each prefix that ends at a block boundary, shortest first. */
export function prefixHashes(prompt: string): string[] {
  const hashes: string[] = [];
  let first = FNV_OFFSET;
  let second = FNV_OFFSET ^ 0x5bd1e995;
  const blocks = Math.min(MAX_BLOCKS, Math.floor(prompt.length / PREFIX_BLOCK_CHARS));
  for (let block = 0; block < blocks; block += 1) {
    const start = block * PREFIX_BLOCK_CHARS;
    const text = prompt.slice(start, start + PREFIX_BLOCK_CHARS);
    first = fastHash(text, first);
    second = fastHash(text, second ^ first);
    hashes.push(first.toString(36) + second.toString(36));
  }
  return hashes;
}
