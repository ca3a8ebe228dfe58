/**
 * Tracks on the leader of the table group which entries have applied which revision.
 */

/** Time without a status after which an entry is ignored; by then it has stopped serving. */
export const DEFAULT_ENTRY_LEASE_MS = 12_000;

/** Status that an entry sends with each poll of the table. */
export interface EntryStatus {
  readonly entry: string;
  readonly url: string;
  readonly availabilityZone: string;
  readonly revision: number;
  readonly draining: boolean;
  /** Load of the entry's part of the fleet, from 0 to 1. */
  readonly load: number;
}

/** Entries that have applied a revision, and entries that have not. */
export interface RevisionReport {
  readonly revision: number;
  /**
   * Whether all live entries have applied the revision. `unknown` until an entry lease has passed
   * since the leader was elected, because some entries may not have sent their status yet.
   */
  readonly inForce: 'yes' | 'no' | 'unknown';
  readonly confirmed: readonly string[];
  readonly missing: readonly string[];
}

interface ReceivedStatus {
  readonly status: EntryStatus;
  readonly receivedAtMs: number;
}

/** Latest status of each entry. */
export class RevisionTracker {
  private readonly entryLeaseMs: number;
  private readonly statuses = new Map<string, ReceivedStatus>();
  private leadingSinceMs = Infinity;

  constructor(options: { readonly entryLeaseMs?: number } = {}) {
    this.entryLeaseMs = options.entryLeaseMs ?? DEFAULT_ENTRY_LEASE_MS;
  }

  /** Discards all statuses, when a leader is elected. */
  reset(nowMs: number): void {
    this.statuses.clear();
    this.leadingSinceMs = nowMs;
  }

  /** Records the status of an entry. Its revision never decreases. */
  recordStatus(status: EntryStatus, nowMs: number): void {
    const known = this.statuses.get(status.entry)?.status.revision ?? -1;
    const revision = Math.max(known, status.revision);
    this.statuses.set(status.entry, { status: { ...status, revision }, receivedAtMs: nowMs });
  }

  /** Returns the entries whose lease is valid, and removes the others. */
  liveEntries(nowMs: number): EntryStatus[] {
    for (const [entry, { receivedAtMs }] of this.statuses) {
      if (nowMs - receivedAtMs > this.entryLeaseMs) this.statuses.delete(entry);
    }
    return [...this.statuses.values()].map((received) => received.status);
  }

  /** Returns which live entries have applied a revision. */
  report(revision: number, nowMs: number): RevisionReport {
    const live = this.liveEntries(nowMs);
    const confirmed = live.filter((status) => status.revision >= revision);
    const missing = live.filter((status) => status.revision < revision);
    const hasFullLeasePassed = nowMs - this.leadingSinceMs >= this.entryLeaseMs;
    const resultIfNoneMissing = hasFullLeasePassed ? 'yes' : 'unknown';
    return {
      revision,
      inForce: missing.length > 0 ? 'no' : resultIfNoneMissing,
      confirmed: confirmed.map((status) => status.entry),
      missing: missing.map((status) => status.entry),
    };
  }
}
