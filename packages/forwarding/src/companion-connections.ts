/**
 * Companion connections show whether the process of an endpoint has ended. They carry no request. The
 * kernel closes all connections of a process that ends, so while a companion is open, the process
 * that accepted it has not ended, whoever listens at its address by now and whatever its health
 * checks state.
 */
import { Companion } from './companion.js';
import { CompanionHold } from './companion-hold.js';
import type { CompanionSource, HoldOptions } from './companion-hold.js';
import { IdleLifetimes } from './idle-lifetimes.js';

/** Time for which an unused companion stays open, so that the next request finds it open. */
const IDLE_MS = 300;

/** The companion connections of one process to all endpoints. */
export class CompanionConnections implements CompanionSource {
  private readonly lifetimes = new IdleLifetimes();
  /** Companions that new requests get, by address. */
  private readonly newest = new Map<string, Companion>();
  /** Companions that show how long an endpoint keeps idle connections open, by address. */
  private readonly probes = new Map<string, Companion>();
  private readonly all = new Set<Companion>();

  /** Accompanies a request with a connection to its endpoint; the caller releases the hold. */
  hold(options: HoldOptions): CompanionHold {
    return new CompanionHold(options, this);
  }

  /** Age from which a companion is replaced. */
  refreshMs(address: string): number {
    return this.lifetimes.refreshMs(address);
  }

  /** Returns a companion that need not be replaced yet. */
  open(address: string): Companion {
    const newest = this.newest.get(address);
    if (newest?.isUnused === true && newest.ageMs < this.refreshMs(address)) return newest;
    const opened: Companion = new Companion({
      address,
      unusedMs: (ageMs) => this.unusedMs(opened, address, ageMs),
      onClosed: (isByEndpoint) => {
        this.onClosed(opened, address, isByEndpoint);
      },
    });
    this.newest.set(address, opened);
    if (!this.probes.has(address)) this.probes.set(address, opened);
    this.all.add(opened);
    return opened;
  }

  /** Forgets what is known of an address that no endpoint uses. */
  forget(address: string): void {
    this.lifetimes.forget(address);
  }

  /** Closes all companions at once. */
  destroy(): void {
    for (const companion of this.all) companion.close();
  }

  private unusedMs(companion: Companion, address: string, ageMs: number): number {
    const missingMs =
      this.probes.get(address) === companion ? this.lifetimes.missingMs(address, ageMs) : 0;
    return this.newest.get(address) === companion ? Math.max(IDLE_MS, missingMs) : missingMs;
  }

  private onClosed(companion: Companion, address: string, isByEndpoint: boolean): void {
    this.all.delete(companion);
    for (const current of [this.newest, this.probes]) {
      if (current.get(address) === companion) current.delete(address);
    }
    if (isByEndpoint && companion.isUnused) this.lifetimes.noteClosed(address, companion.ageMs);
    else if (companion.isOpen) this.lifetimes.noteOpen(address, companion.ageMs);
  }
}
