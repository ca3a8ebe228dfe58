/**
 * Sampling of the entries listed in a reply, so that its size does not grow with the fleet.
 */

/** Maximum number of entries in one reply. */
export const MAX_SAMPLED_ENTRIES = 24;
/** Share of the sample from the requester's own availability zone, if it has enough entries. */
const OWN_ZONE_SHARE = 0.5;

/** An entry that may be sampled. */
interface SampledEntry {
  readonly availabilityZone: string;
}

/** Options of {@link sampleEntries}. */
export interface SampleEntriesOptions<T extends SampledEntry> {
  readonly live: readonly T[];
  /** Availability zone of the requester. */
  readonly availabilityZone: string;
  readonly random: () => number;
  readonly max?: number;
}

/**
 * Returns all entries of a small fleet, or a random sample of a large one, half of it from the
 * requester's zone.
 */
export function sampleEntries<T extends SampledEntry>(options: SampleEntriesOptions<T>): T[] {
  const { live, availabilityZone, random, max = MAX_SAMPLED_ENTRIES } = options;
  if (live.length <= max) return [...live];
  const own = live.filter((entry) => entry.availabilityZone === availabilityZone);
  const others = live.filter((entry) => entry.availabilityZone !== availabilityZone);
  const ownCount = Math.min(own.length, Math.max(max - others.length, max * OWN_ZONE_SHARE));
  const sampled = takeFromRandomStart(own, Math.floor(ownCount), random);
  return [...sampled, ...takeFromRandomStart(others, max - sampled.length, random)];
}

/**
 * Returns consecutive items from a random position on, wrapping around. Each item is as likely as
 * with a shuffle, at lower cost.
 */
function takeFromRandomStart<T>(items: readonly T[], count: number, random: () => number): T[] {
  const start = Math.floor(random() * items.length);
  return [...items.slice(start), ...items.slice(0, start)].slice(0, count);
}
