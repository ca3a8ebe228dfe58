/**
 * Division of an entry's free batch slots among the services with pending items.
 */

/** Pending work of a service in one job group. */
export interface WaitingWork {
  readonly group: number;
  readonly row: string;
  readonly weight: number;
  readonly models: readonly string[];
  readonly pendingItems: number;
  /** Items a second that the service needs to finish all its jobs by their due times. */
  readonly neededItemsPerSecond: number;
  /** Items a second that the service completes at present. */
  readonly currentItemsPerSecond: number;
}

/** Free batch slots for a model. */
export interface FreeSlots {
  readonly model: string;
  readonly slots: number;
}

/** Number of items to request from a job group for a service. */
export interface GrantRequest {
  readonly group: number;
  readonly row: string;
  readonly maxItems: number;
}

/** Largest factor by which urgency raises the weight of a service. */
const MAX_URGENCY = 8;
/** Minimum assumed rate, for services without completed items. */
const MIN_ITEMS_PER_SECOND = 0.1;

/** Returns the weight of a service, raised if its rate is too low to meet its due times. */
export function effectiveWeightOf(work: WaitingWork): number {
  const current = Math.max(MIN_ITEMS_PER_SECOND, work.currentItemsPerSecond);
  const urgency = Math.min(MAX_URGENCY, Math.max(1, work.neededItemsPerSecond / current));
  return work.weight * urgency;
}

/**
 * Divides the free slots of each model by effective weight. Fractional slots are assigned at
 * random, so that over time even a service with less than one slot receives its share.
 */
export function allocateSlots(
  slots: readonly FreeSlots[],
  waiting: readonly WaitingWork[],
  random: () => number,
): GrantRequest[] {
  const requests = new Map<string, GrantRequest>();
  const remaining = new Map(waiting.map((work) => [work, work.pendingItems]));
  for (const { model, slots: count } of slots) {
    let free = count;
    while (free > 0) {
      const eligible = waiting.filter(
        (work) => work.models.includes(model) && (remaining.get(work) ?? 0) > 0,
      );
      if (eligible.length === 0) break;
      const assigned = divide(free, eligible, remaining, random);
      for (const [work, items] of assigned) {
        remaining.set(work, (remaining.get(work) ?? 0) - items);
        free -= items;
        addRequest(requests, work, items);
      }
    }
  }
  return [...requests.values()];
}

function divide(
  free: number,
  eligible: readonly WaitingWork[],
  remaining: ReadonlyMap<WaitingWork, number>,
  random: () => number,
): Map<WaitingWork, number> {
  const total = eligible.reduce((sum, work) => sum + effectiveWeightOf(work), 0);
  const assigned = new Map<WaitingWork, number>();
  const remainders: Remainder[] = [];
  let unassigned = free;
  for (const work of eligible) {
    const share = (free * effectiveWeightOf(work)) / total;
    const wholeSlots = Math.min(Math.floor(share), remaining.get(work) ?? 0);
    assigned.set(work, wholeSlots);
    unassigned -= wholeSlots;
    if (wholeSlots < (remaining.get(work) ?? 0))
      remainders.push({ work, fraction: share - Math.floor(share) });
  }
  for (; unassigned > 0 && remainders.length > 0; unassigned -= 1) {
    const drawn = drawRemainder(remainders, random);
    assigned.set(drawn, (assigned.get(drawn) ?? 0) + 1);
  }
  return assigned;
}

/** Fractional slot of a service. */
interface Remainder {
  readonly work: WaitingWork;
  /** Fraction of a slot, from 0 to 1. */
  readonly fraction: number;
}

/** Draws and removes a remainder with a probability proportional to its fraction. */
function drawRemainder(remainders: Remainder[], random: () => number): WaitingWork {
  let sample = random() * remainders.reduce((sum, { fraction }) => sum + fraction, 0);
  const index = remainders.findIndex(({ fraction }) => {
    sample -= fraction;
    return sample < 0;
  });
  const [drawn] = remainders.splice(index === -1 ? 0 : index, 1);
  if (drawn === undefined) throw new Error('drawRemainder: no remainder is left');
  return drawn.work;
}

function addRequest(requests: Map<string, GrantRequest>, work: WaitingWork, items: number): void {
  if (items === 0) return;
  const key = `${work.group}|${work.row}`;
  const before = requests.get(key)?.maxItems ?? 0;
  requests.set(key, { group: work.group, row: work.row, maxItems: before + items });
}
