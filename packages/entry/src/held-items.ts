/**
 * Batch items that this entry holds: waiting for room, running, or ended and not yet
 * committed.
 */
import type { ItemLease, LeasedItem } from '@shedline/types';

/** An item that waits or runs here. */
export interface HeldItem {
  readonly group: number;
  readonly lease: ItemLease;
  readonly item: LeasedItem;
  readonly row: string;
  /** Tokens generated before it last had to yield. */
  tokens: string[];
  readonly heldSinceMs: number;
}

interface HeldLease {
  readonly group: number;
  readonly lease: ItemLease;
  readonly open: Set<number>;
  renewedAtMs: number;
}

/** Leases of this entry and what is left of them. */
export class HeldItems {
  private readonly leases = new Map<string, HeldLease>();
  private waiting: HeldItem[] = [];

  /** Items that wait for room. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Takes granted leases. */
  add(group: number, leases: readonly ItemLease[], nowMs: number): void {
    for (const lease of leases) {
      if (lease.items.length === 0) continue;
      const open = new Set(lease.items.map((item) => item.index));
      this.leases.set(leaseKey(group, lease.leaseId), { group, lease, open, renewedAtMs: nowMs });
      const row = `${lease.workspace}/${lease.service}`;
      for (const item of lease.items) {
        this.waiting.push({ group, lease, item, row, tokens: [], heldSinceMs: nowMs });
      }
    }
  }

  /** Puts an item back at the front: it has waited longest. */
  putBack(item: HeldItem): void {
    if (this.isOpen(item)) this.waiting.unshift(item);
  }

  /** Takes the first waiting item that fits. */
  take(fits: (item: HeldItem) => boolean): HeldItem | undefined {
    const index = this.waiting.findIndex((item) => this.isOpen(item) && fits(item));
    return index === -1 ? undefined : this.waiting.splice(index, 1)[0];
  }

  /** Takes the items that have waited too long, to hand them back. */
  takeOverdue(beforeMs: number): HeldItem[] {
    const overdue = this.waiting.filter((item) => item.heldSinceMs < beforeMs);
    this.waiting = this.waiting.filter((item) => item.heldSinceMs >= beforeMs);
    return overdue;
  }

  /** Whether the item is still this entry's. */
  isOpen(item: HeldItem): boolean {
    const lease = this.leases.get(leaseKey(item.group, item.lease.leaseId));
    return lease?.open.has(item.item.index) === true;
  }

  /** Notes that an item ended or went back. */
  close(item: HeldItem): void {
    const key = leaseKey(item.group, item.lease.leaseId);
    const lease = this.leases.get(key);
    if (lease === undefined) return;
    lease.open.delete(item.item.index);
    if (lease.open.size === 0) this.leases.delete(key);
  }

  /** Open leases by group. */
  leasesByGroup(): Map<number, string[]> {
    const byGroup = new Map<number, string[]>();
    for (const { group, lease } of this.leases.values()) {
      byGroup.set(group, [...(byGroup.get(group) ?? []), lease.leaseId]);
    }
    return byGroup;
  }

  /** Notes that leases were renewed at a time; forgets those that were closed. */
  renewed(
    group: number,
    leaseIds: readonly string[],
    closed: readonly string[],
    askedAtMs: number,
  ): void {
    for (const leaseId of leaseIds) {
      const lease = this.leases.get(leaseKey(group, leaseId));
      if (lease !== undefined) lease.renewedAtMs = askedAtMs;
    }
    for (const leaseId of closed) this.leases.delete(leaseKey(group, leaseId));
  }

  /** Gives up leases that were not renewed since a time. */
  dropSilent(beforeMs: number): void {
    for (const [key, lease] of this.leases) {
      if (lease.renewedAtMs < beforeMs) this.leases.delete(key);
    }
    this.waiting = this.waiting.filter((item) => this.isOpen(item));
  }

  /** Takes all waiting items, at a planned stop. */
  takeAll(): HeldItem[] {
    const all = this.waiting;
    this.waiting = [];
    return all;
  }
}

function leaseKey(group: number, leaseId: string): string {
  return `${group}|${leaseId}`;
}
