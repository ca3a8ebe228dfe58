/**
 * Selects the entry that runs batch work on an endpoint: each endpoint has one owner, chosen by
 * rendezvous hashing over the live entries that may own it. The caller supplies these candidates:
 * the live entries of the endpoint's observer set, or live entries that use the endpoint.
 */
import { rendezvousOrder } from '@shedline/types';

/** Time that a new owner waits, so that the previous owner has stopped before. */
export const DEFAULT_TAKEOVER_WAIT_MS = 3000;

/** Options of {@link BatchOwnership}. */
export interface BatchOwnershipOptions {
  readonly self: string;
  readonly takeoverWaitMs?: number;
}

/** Owner computed for a list of candidates. */
interface OwnerChoice {
  readonly candidates: readonly string[];
  readonly owner: string;
}

/** Tracks the owners of endpoints, and the endpoints that this entry owns for batch work. */
export class BatchOwnership {
  private readonly self: string;
  private readonly takeoverWaitMs: number;
  private readonly owners = new Map<string, string>();
  private readonly ownedSinceMs = new Map<string, number>();
  private readonly ownerChoices = new Map<string, OwnerChoice>();

  constructor(options: BatchOwnershipOptions) {
    this.self = options.self;
    this.takeoverWaitMs = options.takeoverWaitMs ?? DEFAULT_TAKEOVER_WAIT_MS;
  }

  /** Sets the present endpoints, and for each the live entries that may own it. */
  update(
    endpointIds: readonly string[],
    candidatesOf: (endpointId: string) => readonly string[],
    nowMs: number,
  ): void {
    const present = new Set(endpointIds);
    for (const endpointId of this.owners.keys()) {
      if (!present.has(endpointId)) this.forget(endpointId);
    }
    for (const endpointId of endpointIds) {
      const owner = this.ownerAmong(endpointId, candidatesOf(endpointId));
      this.setOwner(endpointId, owner, nowMs);
    }
  }

  /** Returns the owner of an endpoint; undefined if the endpoint is unknown. */
  ownerOf(endpointId: string): string | undefined {
    return this.owners.get(endpointId);
  }

  /** Returns the endpoints on which this entry may run batch work now. */
  owned(nowMs: number): string[] {
    return [...this.ownedSinceMs]
      .filter(([, sinceMs]) => nowMs >= sinceMs)
      .map(([endpointId]) => endpointId);
  }

  /**
   * Returns the owner among the candidates. Hashes are computed only if the candidates changed,
   * since this is called at every change of the fleet.
   */
  private ownerAmong(endpointId: string, candidates: readonly string[]): string {
    const last = this.ownerChoices.get(endpointId);
    if (last !== undefined && isSameList(last.candidates, candidates)) return last.owner;
    const owner = rendezvousOrder(`batch|${endpointId}`, candidates, 1)[0] ?? this.self;
    this.ownerChoices.set(endpointId, { candidates, owner });
    return owner;
  }

  private setOwner(endpointId: string, owner: string, nowMs: number): void {
    const previous = this.owners.get(endpointId);
    if (previous === owner) return;
    this.owners.set(endpointId, owner);
    if (owner !== this.self) {
      this.ownedSinceMs.delete(endpointId);
      return;
    }
    // A new endpoint has no previous owner to wait for.
    const waitMs = previous === undefined ? 0 : this.takeoverWaitMs;
    this.ownedSinceMs.set(endpointId, nowMs + waitMs);
  }

  private forget(endpointId: string): void {
    this.owners.delete(endpointId);
    this.ownerChoices.delete(endpointId);
    this.ownedSinceMs.delete(endpointId);
  }
}

function isSameList(a: readonly string[], b: readonly string[]): boolean {
  if (a === b) return true;
  return a.length === b.length && a.every((name, index) => name === b[index]);
}
