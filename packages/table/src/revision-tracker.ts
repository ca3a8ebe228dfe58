/**
 * Which entries have which revision in force, as the leader of the table group hears it.
 */

/** Time after which a silent entry no longer counts: by then it has withdrawn itself. */
export const DEFAULT_ENTRY_LEASE_MS = 12_000;

/** What an entry says of itself when it looks at the table. */
export interface EntryStatus {
  readonly entry: string;
  readonly url: string;
  readonly availabilityZone: string;
  readonly revision: number;
  readonly draining: boolean;
  /** Load of the entry's part of the fleet, from 0 to 1. */
  readonly load: number;
}

/** Where a revision is in force. */
export interface InForceReport {
  readonly revision: number;
  /** `unknown` for a while after a change of leader, until all entries have been heard. */
  readonly inForce: 'yes' | 'no' | 'unknown';
  readonly confirmed: readonly string[];
  readonly missing: readonly string[];
}

interface HeardEntry {
  readonly status: EntryStatus;
  readonly heardAtMs: number;
}

/** Confirmations of entries. */
export class RevisionTracker {
  private readonly entryLeaseMs: number;
  private readonly heard = new Map<string, HeardEntry>();
  private leadingSinceMs = Infinity;

  constructor(options: { readonly entryLeaseMs?: number } = {}) {
    this.entryLeaseMs = options.entryLeaseMs ?? DEFAULT_ENTRY_LEASE_MS;
  }

  /** Starts anew on a new leader. */
  reset(nowMs: number): void {
    this.heard.clear();
    this.leadingSinceMs = nowMs;
  }

  /** Notes what an entry said. */
  recordStatus(status: EntryStatus, nowMs: number): void {
    const known = this.heard.get(status.entry)?.status.revision ?? -1;
    const revision = Math.max(known, status.revision);
    this.heard.set(status.entry, { status: { ...status, revision }, heardAtMs: nowMs });
  }

  /** Entries that hold their lease. */
  liveEntries(nowMs: number): EntryStatus[] {
    for (const [entry, { heardAtMs }] of this.heard) {
      if (nowMs - heardAtMs > this.entryLeaseMs) this.heard.delete(entry);
    }
    return [...this.heard.values()].map((heard) => heard.status);
  }

  /** Where a revision is in force. */
  report(revision: number, nowMs: number): InForceReport {
    const live = this.liveEntries(nowMs);
    const confirmed = live.filter((status) => status.revision >= revision);
    const missing = live.filter((status) => status.revision < revision);
    const heardAll = nowMs - this.leadingSinceMs >= this.entryLeaseMs;
    const settled = heardAll ? 'yes' : 'unknown';
    return {
      revision,
      inForce: missing.length > 0 ? 'no' : settled,
      confirmed: confirmed.map((status) => status.entry),
      missing: missing.map((status) => status.entry),
    };
  }
}
