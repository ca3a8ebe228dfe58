/**
 * Assigns endpoints to sets of entries that observe their full load. Each entry belongs to one
 * observer set and each endpoint is observed by one set, so an entry tracks the load of a bounded
 * part of the fleet and shares its request counts only with the entries of its own set.
 */
import { rendezvousOrder } from '@shedline/types';

/** An entry and its availability zone. */
export interface ZonedEntry {
  readonly name: string;
  readonly availabilityZone: string;
}

/** Observer sets by id; each is a sorted list of entry names. */
export type ObserverSets = ReadonlyMap<string, readonly string[]>;

/**
 * Splits the configured entries into observer sets of at most `setSize` entries. Entries that fit
 * into one set form one set; otherwise no set spans availability zones.
 */
export function planObserverSets(entries: readonly ZonedEntry[], setSize: number): ObserverSets {
  const names = entries.map((entry) => entry.name).sort();
  if (names.length <= setSize) return new Map([['all', names]]);
  const zones = [...new Set(entries.map((entry) => entry.availabilityZone))].sort();
  const sets = new Map<string, readonly string[]>();
  for (const zone of zones) {
    const inZone = entries.filter((entry) => entry.availabilityZone === zone);
    const sorted = inZone.map((entry) => entry.name).sort();
    const count = Math.ceil(sorted.length / setSize);
    for (let number = 0; number < count; number += 1) {
      const members = sorted.filter((_, index) => index % count === number);
      sets.set(`${zone}/${number}`, members);
    }
  }
  return sets;
}

/** Returns the id of the observer set of an entry, or an empty string if it has none. */
export function observerSetOf(sets: ObserverSets, entry: string): string {
  for (const [id, members] of sets) {
    if (members.includes(entry)) return id;
  }
  return '';
}

/**
 * Returns the id of the set that observes an endpoint: a set of its own availability zone if there
 * is any, or else one of all sets.
 */
export function observerSetOfEndpoint(
  sets: ObserverSets,
  endpointId: string,
  availabilityZone: string,
): string {
  const all = [...sets.keys()];
  const inZone = all.filter((id) => id.startsWith(`${availabilityZone}/`));
  const candidates = inZone.length > 0 ? inZone : all;
  return rendezvousOrder(`cell|${endpointId}`, candidates, 1)[0] ?? '';
}
