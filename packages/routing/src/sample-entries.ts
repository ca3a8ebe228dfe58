/**
 * Which entries one entry is told of, so that the answer does not grow with the fleet.
 */

/** Entries named in one answer. */
export const MAX_SAMPLED_ENTRIES = 24;
/** Share of them that stands in the asker's own availability zone, as far as there are any. */
const OWN_ZONE_SHARE = 0.5;

/** An entry that may be named. */
interface Sampled {
  readonly availabilityZone: string;
}

/** Options of {@link sampleEntries}. */
export interface SampleEntriesOptions<T extends Sampled> {
  readonly live: readonly T[];
  readonly availabilityZone: string;
  readonly random: () => number;
  readonly max?: number;
}

/** All entries of a small fleet; of a large one others each time, half of the asker's zone. */
export function sampleEntries<T extends Sampled>(options: SampleEntriesOptions<T>): T[] {
  const { live, availabilityZone, random, max = MAX_SAMPLED_ENTRIES } = options;
  if (live.length <= max) return [...live];
  const own = live.filter((entry) => entry.availabilityZone === availabilityZone);
  const others = live.filter((entry) => entry.availabilityZone !== availabilityZone);
  const nearCount = Math.min(own.length, Math.max(max - others.length, max * OWN_ZONE_SHARE));
  const near = window(own, Math.floor(nearCount), random);
  return [...near, ...window(others, max - near.length, random)];
}

/** Neighbours in the list from a random place on: as fair as a shuffle, and cheaper. */
function window<T>(items: readonly T[], count: number, random: () => number): T[] {
  const start = Math.floor(random() * items.length);
  return [...items.slice(start), ...items.slice(0, start)].slice(0, count);
}
