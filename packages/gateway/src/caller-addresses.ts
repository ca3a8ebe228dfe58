/**
 * Which entries a caller is sent to.
 */
import type { MemberRecord } from '@shedline/mesh';

/** Most addresses in one answer; callers take no more. */
const MAX_ADDRESSES = 64;
/** Entries in the caller's zone from which the answer leaves the other zones out: one may be down. */
const ENOUGH_IN_ZONE = 2;

/** Addresses for a caller: entries of its own zone where that has enough, those of all zones otherwise. */
export function callerAddresses(
  entries: readonly MemberRecord[],
  availabilityZone: string,
): string[] {
  const ready = entries.filter((entry) => entry.state === 'ready');
  const serving = ready.filter(({ callerAddress }) => callerAddress !== undefined);
  const near = serving.filter((entry) => entry.availabilityZone === availabilityZone);
  const chosen = near.length >= ENOUGH_IN_ZONE ? near : serving;
  return chosen.flatMap(({ callerAddress }) => callerAddress ?? []).slice(0, MAX_ADDRESSES);
}
