/**
 * How long endpoints keep connections open that carry nothing, as observed: a `Keep-Alive` header
 * states whole seconds, and endpoints may close idle connections earlier.
 */

/**
 * Time in which the ends of all connections of a process arrive. Killed processes with 50
 * connections took up to 12 ms to close them on a busy machine.
 */
export const PROCESS_END_SPREAD_MS = 50;
/**
 * Time for which a request has to go on after a companion was opened that replaces another one. A
 * process that ends closes its port before its connections, so its successor may accept a companion
 * while the response looks in progress.
 */
export const REPLACEMENT_PROOF_MS = 20;
/** Minimum age from which a companion is replaced; bounds the connections opened per second. */
const MIN_REFRESH_MS = 100;
/** Maximum age from which a companion is replaced. */
const MAX_REFRESH_MS = 500;
/** Time for which a companion is needed after its age at replacement, until the next one is proof. */
const NEEDED_MS = REPLACEMENT_PROOF_MS + PROCESS_END_SPREAD_MS;
/** Lifetime that is assumed until another one was observed. */
const ASSUMED_LIFETIME_MS = 470;
/** Lifetime from which companions are replaced at the maximum age. */
const SUFFICIENT_LIFETIME_MS = 2 * MAX_REFRESH_MS + NEEDED_MS;

/** The idle lifetimes of the endpoints of one process, by address. */
export class IdleLifetimes {
  private readonly lifetimesMs = new Map<string, number>();

  /** Notes that an idle connection was open at an age. */
  noteOpen(address: string, ageMs: number): void {
    this.lifetimesMs.set(address, Math.max(ageMs, this.lifetimeMs(address)));
  }

  /** Notes that the endpoint closed an idle connection at an age. */
  noteClosed(address: string, ageMs: number): void {
    this.lifetimesMs.set(address, ageMs);
  }

  /**
   * Age from which a companion is replaced: half of the time for which it is open but not needed. The
   * other half is left for a busy event loop.
   */
  refreshMs(address: string): number {
    const spareMs = this.lifetimeMs(address) - NEEDED_MS;
    return Math.min(Math.max(spareMs / 2, MIN_REFRESH_MS), MAX_REFRESH_MS);
  }

  /** Time for which a connection has to stay open to show that its endpoint closes none too early. */
  missingMs(address: string, ageMs: number): number {
    const isSufficient = this.lifetimeMs(address) >= SUFFICIENT_LIFETIME_MS;
    return isSufficient ? 0 : Math.max(0, SUFFICIENT_LIFETIME_MS - ageMs);
  }

  /** Forgets an address that no endpoint uses. */
  forget(address: string): void {
    this.lifetimesMs.delete(address);
  }

  private lifetimeMs(address: string): number {
    return this.lifetimesMs.get(address) ?? ASSUMED_LIFETIME_MS;
  }
}
