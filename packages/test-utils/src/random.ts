/**
 * Seeded random numbers, so that a failing schedule can be reproduced.
 */

/** Returns a number in [0, 1). */
export type RandomSource = () => number;

/** Creates a mulberry32 generator: small, fast and with the same sequence on every machine. */
export function seededRandom(seed: number): RandomSource {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  };
}

/** Returns a random element of `items`; throws if it is empty. */
export function pick<T>(random: RandomSource, items: readonly T[]): T {
  const item = items[Math.floor(random() * items.length)];
  if (item === undefined) throw new Error('pick: the list is empty');
  return item;
}
