/**
 * Selects the entries whose addresses are returned to a caller.
 */
import type { MemberRecord } from '@shedline/mesh';

/** Maximum number of addresses in one response; callers accept no more. */
const MAX_ADDRESSES = 64;
/**
 * Number of entries in the caller's zone from which the other zones are omitted; one of these
 * entries may be down.
 */
const MIN_IN_ZONE = 2;

/**
 * Returns the addresses of the entries in the caller's zone, or in all zones if its zone has too
 * few.
 */
export function callerAddresses(
  entries: readonly MemberRecord[],
  availabilityZone: string,
): string[] {
  const ready = entries.filter((entry) => entry.state === 'ready');
  const serving = ready.filter(({ callerAddress }) => callerAddress !== undefined);
  const inZone = serving.filter((entry) => entry.availabilityZone === availabilityZone);
  const chosen = inZone.length >= MIN_IN_ZONE ? inZone : serving;
  return chosen.flatMap(({ callerAddress }) => callerAddress ?? []).slice(0, MAX_ADDRESSES);
}
