/**
 * Decides at which endpoints granted items start. An item that is suspected of crashing endpoints
 * runs alone: if its endpoint crashes, no other item is blamed, and no other item is the cause. An item
 * with progress prefers endpoints of the software version that wrote it, as it starts again at others.
 */
import { isSameOrigin } from '@shedline/stream-origins';
import type { StreamOrigin } from '@shedline/stream-origins';
import type { ItemProgress } from '@shedline/whole-jobs';

/** An endpoint at which items may start. */
export interface PlacementTarget {
  readonly endpointId: string;
  /** Number of items that may start there. */
  readonly free: number;
  /** Number of items that run there, for any entry. */
  readonly running: number;
  /** What writes the events of its items. */
  readonly origin: StreamOrigin;
}

/** Properties of a granted item that decide its placement. */
export interface PlaceableItem {
  readonly mustRunAlone?: boolean;
  readonly progress?: ItemProgress;
}

/** An item and its endpoint. */
export interface PlacedItem<T extends PlaceableItem> {
  readonly item: T;
  readonly endpointId: string;
}

/** Placement of granted items. */
export interface Placement<T extends PlaceableItem> {
  readonly starts: readonly PlacedItem<T>[];
  /** Items that start when the running items of their endpoint have ended; until then none may start. */
  readonly reservations: readonly PlacedItem<T>[];
  /** Items for which there is no endpoint. */
  readonly unplaced: readonly T[];
}

/** Returns how many items that must run alone {@link placeItems} can place. */
export function aloneCapacity(targets: readonly PlacementTarget[], mayReserve: boolean): number {
  const vacant = targets.filter(({ running }) => running === 0).length;
  return vacant === 0 && mayReserve ? Math.min(1, targets.length) : vacant;
}

/**
 * Places items. Those that must run alone come first, each at a vacant endpoint; without one, the
 * endpoint with the fewest items is reserved if `mayReserve`, one at a time.
 */
export function placeItems<T extends PlaceableItem>(
  items: readonly T[],
  targets: readonly PlacementTarget[],
  mayReserve: boolean,
): Placement<T> {
  const open = [...targets].sort((a, b) => a.running - b.running);
  const starts: PlacedItem<T>[] = [];
  const reservations: PlacedItem<T>[] = [];
  const unplaced: T[] = [];
  for (const item of items.filter(({ mustRunAlone }) => mustRunAlone === true)) {
    const [target] = open;
    const isVacant = target?.running === 0;
    if (target === undefined || (!isVacant && (!mayReserve || reservations.length > 0))) {
      unplaced.push(item);
      continue;
    }
    open.shift();
    (isVacant ? starts : reservations).push({ item, endpointId: target.endpointId });
  }
  const slots = new FreeSlots(targets.filter((target) => open.includes(target)));
  const others = items.filter(({ mustRunAlone }) => mustRunAlone !== true);
  const place = (item: T, origin?: StreamOrigin): boolean => {
    const endpointId = slots.take(origin);
    if (endpointId !== undefined) starts.push({ item, endpointId });
    return endpointId !== undefined;
  };
  const notContinued = others.filter((item) => {
    const origin = item.progress?.origin;
    return origin === undefined || !place(item, origin);
  });
  unplaced.push(...notContinued.filter((item) => !place(item)));
  return { starts, reservations, unplaced };
}

/** The free slots of some endpoints. */
class FreeSlots {
  private readonly slots: { readonly target: PlacementTarget; free: number }[];

  constructor(targets: readonly PlacementTarget[]) {
    this.slots = targets.map((target) => ({ target, free: target.free }));
  }

  /** Takes a slot, of an origin if given; returns its endpoint, undefined if there is none. */
  take(origin?: StreamOrigin): string | undefined {
    const slot = this.slots.find(
      ({ target, free }) =>
        free > 0 && (origin === undefined || isSameOrigin(target.origin, origin)),
    );
    if (slot === undefined) return undefined;
    slot.free -= 1;
    return slot.target.endpointId;
  }
}
