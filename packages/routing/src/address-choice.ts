/**
 * Which entries a caller should use.
 */
import { rendezvousOrder, unitHash } from '@shedline/types';

/** An entry that may be handed out. */
export interface AddressCandidate {
  readonly entry: string;
  readonly url: string;
  readonly availabilityZone: string;
  readonly draining: boolean;
  /** Whether the entry's table is current. */
  readonly fresh: boolean;
  /** Load between 0 and 1. */
  readonly load: number;
}

/** Options of {@link chooseAddresses}. */
export interface ChooseAddressesOptions {
  readonly candidates: readonly AddressCandidate[];
  /** Availability zone of the caller, as far as it said. */
  readonly availabilityZone?: string;
  /** Session that should come to the same entries while they last. */
  readonly session?: string;
  readonly random: () => number;
  readonly maxAddresses?: number;
}

const DEFAULT_MAX_ADDRESSES = 3;

/**
 * A few entries in the order in which the caller should try them: its own zone first, less
 * loaded ones likelier, never one that drains or whose table is stale while others are left.
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
    const draw = session === undefined ? random() : unitHash(`${session}|${candidate.entry}`);
    const weight = Math.max(0.05, 1 - candidate.load);
    // Weighted order by the method of Efraimidis and Spirakis (2006).
    const key = Math.max(draw, 1e-9) ** (1 / weight);
    return { candidate, key, near: candidate.availabilityZone === availabilityZone };
  });
  scored.sort((a, b) => Number(b.near) - Number(a.near) || b.key - a.key);
  return withAnotherZone(scored.map(({ candidate }) => candidate));
}

/** The last of the first three comes from another zone, for the loss of a whole zone. */
function withAnotherZone(ordered: AddressCandidate[]): AddressCandidate[] {
  const first = ordered[0];
  if (first === undefined || ordered.length <= DEFAULT_MAX_ADDRESSES) return ordered;
  const head = ordered.slice(0, DEFAULT_MAX_ADDRESSES - 1);
  const rest = ordered.slice(DEFAULT_MAX_ADDRESSES - 1);
  const elsewhere = rest.find((candidate) => candidate.availabilityZone !== first.availabilityZone);
  if (elsewhere === undefined) return ordered;
  return [...head, elsewhere, ...rest.filter((candidate) => candidate !== elsewhere)];
}

/** The endpoint that a session without history begins at, alike on all entries. */
export function sessionHome(session: string, endpointIds: readonly string[]): string | undefined {
  return rendezvousOrder(`session|${session}`, endpointIds, 1)[0];
}
