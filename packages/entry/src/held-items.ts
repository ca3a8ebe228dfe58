/**
 * Batch items leased to this entry: waiting for a free slot or running.
 */
import type { ItemLease, LeasedItem } from '@shedline/types';

/** A leased item that waits or runs on this entry. */
export interface HeldItem {
  readonly group: number;
  readonly lease: ItemLease;
  readonly item: LeasedItem;
  readonly row: string;
  /** Tokens generated before the item last yielded; generation resumes after them. */
  tokens: string[];
  readonly heldSinceMs: number;
}

interface HeldLease {
  readonly group: number;
  readonly lease: ItemLease;
  readonly openIndexes: Set<number>;
  renewedAtMs: number;
}

/** Leases of this entry and their unfinished items. */
export class HeldItems {
  private readonly leases = new Map<string, HeldLease>();
  private waiting: HeldItem[] = [];

  /** Number of items that wait for a free slot. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Adds granted leases and queues their items. */
  add(group: number, leases: readonly ItemLease[], nowMs: number): void {
    for (const lease of leases) {
      if (lease.items.length === 0) continue;
      const openIndexes = new Set(lease.items.map((item) => item.index));
      this.leases.set(leaseKey(group, lease.leaseId), {
        group,
        lease,
        openIndexes,
        renewedAtMs: nowMs,
      });
      const row = `${lease.workspace}/${lease.service}`;
      for (const item of lease.items) {
        this.waiting.push({ group, lease, item, row, tokens: [], heldSinceMs: nowMs });
      }
    }
  }

  /** Puts an item back at the front of the queue, because it has waited longest. */
  requeue(item: HeldItem): void {
    if (this.isOpen(item)) this.waiting.unshift(item);
  }

  /** Removes and returns the first waiting item for which `mayRun` holds. */
  takeFirst(mayRun: (item: HeldItem) => boolean): HeldItem | undefined {
    const index = this.waiting.findIndex((item) => this.isOpen(item) && mayRun(item));
    return index === -1 ? undefined : this.waiting.splice(index, 1)[0];
  }

  /** Removes and returns the items held since before a time, to return them to the queue. */
  takeOverdue(beforeMs: number): HeldItem[] {
    const overdue = this.waiting.filter((item) => item.heldSinceMs < beforeMs);
    this.waiting = this.waiting.filter((item) => item.heldSinceMs >= beforeMs);
    return overdue;
  }

  /** Whether the item is still leased to this entry and unfinished. */
  isOpen(item: HeldItem): boolean {
    const lease = this.leases.get(leaseKey(item.group, item.lease.leaseId));
    return lease?.openIndexes.has(item.item.index) === true;
  }

  /** Records that an item has finished or was returned. */
  close(item: HeldItem): void {
    const key = leaseKey(item.group, item.lease.leaseId);
    const lease = this.leases.get(key);
    if (lease === undefined) return;
    lease.openIndexes.delete(item.item.index);
    if (lease.openIndexes.size === 0) this.leases.delete(key);
  }

  /** Returns the ids of the open leases by group. */
  leasesByGroup(): Map<number, string[]> {
    const byGroup = new Map<number, string[]>();
    for (const { group, lease } of this.leases.values()) {
      byGroup.set(group, [...(byGroup.get(group) ?? []), lease.leaseId]);
    }
    return byGroup;
  }

  /** Records that leases were renewed at `requestedAtMs`; removes the closed ones. */
  recordRenewal(
    group: number,
    leaseIds: readonly string[],
    closed: readonly string[],
    requestedAtMs: number,
  ): void {
    for (const leaseId of leaseIds) {
      const lease = this.leases.get(leaseKey(group, leaseId));
      if (lease !== undefined) lease.renewedAtMs = requestedAtMs;
    }
    for (const leaseId of closed) this.leases.delete(leaseKey(group, leaseId));
  }

  /** Removes leases that were not renewed since a time, with their waiting items. */
  dropExpired(beforeMs: number): void {
    for (const [key, lease] of this.leases) {
      if (lease.renewedAtMs < beforeMs) this.leases.delete(key);
    }
    this.waiting = this.waiting.filter((item) => this.isOpen(item));
  }

  /** Removes and returns all waiting items, for a planned stop. */
  takeAllWaiting(): HeldItem[] {
    const all = this.waiting;
    this.waiting = [];
    return all;
  }
}

function leaseKey(group: number, leaseId: string): string {
  return `${group}|${leaseId}`;
}
