/**
 * Choice of the entry addresses that a caller is given.
 */
import { rendezvousOrder, unitHash } from '@shedline/types';

/** An entry whose address may be given to a caller. */
export interface AddressCandidate {
  readonly entry: string;
  readonly url: string;
  readonly availabilityZone: string;
  readonly draining: boolean;
  /** Whether the entry's table is up to date. */
  readonly fresh: boolean;
  /** Load between 0 and 1. */
  readonly load: number;
}

/** Options of {@link chooseAddresses}. */
export interface ChooseAddressesOptions {
  readonly candidates: readonly AddressCandidate[];
  /** Availability zone of the caller, if the caller stated it. */
  readonly availabilityZone?: string;
  /** Session that should use the same entries for as long as they are available. */
  readonly session?: string;
  readonly random: () => number;
  readonly maxAddresses?: number;
}

const DEFAULT_MAX_ADDRESSES = 3;

/**
 * Returns a few entries in the order in which the caller should try them. Entries of its own zone
 * come first, and less loaded entries are more likely. Draining entries are never returned, and
 * entries with a stale table only if no other is left.
 */
export function chooseAddresses(options: ChooseAddressesOptions): AddressCandidate[] {
  const serving = options.candidates.filter((candidate) => !candidate.draining);
  const fresh = serving.filter((candidate) => candidate.fresh);
  const usable = fresh.length > 0 ? fresh : serving;
  const ordered = orderByPreference(options, usable);
  return ordered.slice(0, options.maxAddresses ?? DEFAULT_MAX_ADDRESSES);
}

function orderByPreference(
  options: ChooseAddressesOptions,
  usable: readonly AddressCandidate[],
): AddressCandidate[] {
  const { availabilityZone, session, random } = options;
  const scored = usable.map((candidate) => {
    const sample = session === undefined ? random() : unitHash(`${session}|${candidate.entry}`);
    const weight = Math.max(0.05, 1 - candidate.load);
    // Weighted random order by Efraimidis and Spirakis (2006).
    const key = Math.max(sample, 1e-9) ** (1 / weight);
    return { candidate, key, isInZone: candidate.availabilityZone === availabilityZone };
  });
  scored.sort((a, b) => Number(b.isInZone) - Number(a.isInZone) || b.key - a.key);
  return includeAnotherZone(scored.map(({ candidate }) => candidate));
}

/** Ensures that the returned entries include another zone, to tolerate the loss of a zone. */
function includeAnotherZone(ordered: AddressCandidate[]): AddressCandidate[] {
  const first = ordered[0];
  if (first === undefined || ordered.length <= DEFAULT_MAX_ADDRESSES) return ordered;
  const head = ordered.slice(0, DEFAULT_MAX_ADDRESSES - 1);
  const rest = ordered.slice(DEFAULT_MAX_ADDRESSES - 1);
  const other = rest.find((candidate) => candidate.availabilityZone !== first.availabilityZone);
  if (other === undefined) return ordered;
  return [...head, other, ...rest.filter((candidate) => candidate !== other)];
}

/** Returns the endpoint for the first request of a session; all entries compute the same one. */
export function firstSessionEndpoint(
  session: string,
  endpointIds: readonly string[],
): string | undefined {
  return rendezvousOrder(`session|${session}`, endpointIds, 1)[0];
}
