/**
 * Decides at which endpoints batch items may start, and where too many are running.
 */
import { BatchOwnership, RecentPeak, spareSlots } from '@shedline/batch';
import type { SlotCandidate } from '@shedline/routing';

/**
 * Wait before this entry takes over an endpoint from its previous owner. Two owners at a time would
 * only overfill the endpoint's queue, since an item is leased to one entry.
 */
const TAKEOVER_WAIT_MS = 400;
/**
 * Slots kept free for online requests: none, since a batch item yields its slot within a few ms.
 */
const RESERVED_SLOTS = 0;
/** Minimum time for which a slot has been free before an item starts in it. */
const SLOT_FREE_BEFORE_START_MS = 200;

/** Load of an owned endpoint. */
interface OwnedSlots {
  readonly slots: number;
  readonly online: number;
  /** Highest number of online requests within the last {@link SLOT_FREE_BEFORE_START_MS}. */
  readonly peakOnline: number;
  readonly peak: RecentPeak;
}

/** Returns the number of items that this entry runs at an endpoint. */
export type RunningAt = (endpointId: string) => number;

/** Plans the slots of the endpoints that this entry owns for batch work. */
export class SlotPlanner {
  private readonly ownership: BatchOwnership;
  private owned: ReadonlyMap<string, OwnedSlots> = new Map();

  constructor(self: string) {
    this.ownership = new BatchOwnership({ self, takeoverWaitMs: TAKEOVER_WAIT_MS });
  }

  /**
   * Sets the usable endpoints of all routes with their current load. `usersOf` returns the names of
   * the entries that may run batch work at an endpoint.
   */
  observe(
    usable: ReadonlyMap<string, SlotCandidate>,
    usersOf: (endpointId: string) => readonly string[],
    nowMs: number,
  ): void {
    this.ownership.update([...usable.keys()], usersOf, nowMs);
    const owned = new Map<string, OwnedSlots>();
    for (const endpointId of this.ownership.owned(nowMs)) {
      const candidate = usable.get(endpointId);
      if (candidate === undefined) continue;
      const { online, slots } = candidate;
      const known = this.owned.get(endpointId);
      const peak = known?.peak ?? new RecentPeak({ windowMs: SLOT_FREE_BEFORE_START_MS });
      owned.set(endpointId, { slots, online, peakOnline: peak.note(online, nowMs), peak });
    }
    this.owned = owned;
  }

  /** Returns the number of items that may start, by endpoint that has free slots. */
  free(endpointIds: Iterable<string>, runningAt: RunningAt): Map<string, number> {
    const free = new Map<string, number>();
    for (const endpointId of endpointIds) {
      const state = this.owned.get(endpointId);
      if (state === undefined) continue;
      const count = spare(state.slots, state.peakOnline) - runningAt(endpointId);
      if (count > 0) free.set(endpointId, count);
    }
    return free;
  }

  /** Returns the number of items that may continue, by endpoint where too many are running. */
  excess(runningAt: RunningAt): Map<string, number> {
    const allowed = new Map<string, number>();
    for (const [endpointId, { slots, online }] of this.owned) {
      const mayRun = spare(slots, online);
      if (runningAt(endpointId) > mayRun) allowed.set(endpointId, mayRun);
    }
    return allowed;
  }

  /**
   * Returns whether another entry that reports `online` requests at an endpoint may need the slot
   * of an item that runs there.
   */
  mayNeedSlot(endpointId: string, online: number, running: number): boolean {
    const state = this.owned.get(endpointId);
    if (state === undefined || running === 0) return false;
    return online > spare(state.slots, state.online) - running;
  }

  /** Returns the entry that runs batch work at an endpoint; undefined if it is unknown. */
  ownerOf(endpointId: string): string | undefined {
    return this.ownership.ownerOf(endpointId);
  }

  /** Endpoints at which this entry may run batch work. */
  get ownedEndpoints(): string[] {
    return [...this.owned.keys()];
  }
}

function spare(slots: number, online: number): number {
  return spareSlots({ slots, online, reserve: RESERVED_SLOTS });
}
