/**
 * How an entry divides its batch capacity among the services that have work waiting.
 */

/** What waits for a service in one job group. */
export interface WaitingWork {
  readonly group: number;
  readonly row: string;
  readonly weight: number;
  readonly models: readonly string[];
  readonly pendingItems: number;
  /** Items a second that the service needs to end all its jobs before they are due. */
  readonly neededItemsPerSecond: number;
  /** Items a second that the service gets at present. */
  readonly currentItemsPerSecond: number;
}

/** Free batch slots for a model. */
export interface FreeSlots {
  readonly model: string;
  readonly slots: number;
}

/** Items to ask a group for. */
export interface GrantRequest {
  readonly group: number;
  readonly row: string;
  readonly maxItems: number;
}

/** Largest factor by which nearness of the due time raises a claim. */
const MAX_URGENCY = 8;
/** Rate taken for a service that has had no item end yet. */
const MIN_RATE = 0.1;

/** Claim of a service: its weight, raised as it falls behind what its due times need. */
export function claimOf(work: WaitingWork): number {
  const current = Math.max(MIN_RATE, work.currentItemsPerSecond);
  const urgency = Math.min(MAX_URGENCY, Math.max(1, work.neededItemsPerSecond / current));
  return work.weight * urgency;
}

/**
 * Divides the free slots of each model by claim. The remainders of the division go by
 * chance, so that over time even a claim smaller than one slot gets its share.
 */
export function allocateSlots(
  slots: readonly FreeSlots[],
  waiting: readonly WaitingWork[],
  random: () => number,
): GrantRequest[] {
  const requests = new Map<string, GrantRequest>();
  const left = new Map(waiting.map((work) => [work, work.pendingItems]));
  for (const { model, slots: count } of slots) {
    let free = count;
    while (free > 0) {
      const eligible = waiting.filter(
        (work) => work.models.includes(model) && (left.get(work) ?? 0) > 0,
      );
      if (eligible.length === 0) break;
      const given = divide(free, eligible, left, random);
      for (const [work, items] of given) {
        left.set(work, (left.get(work) ?? 0) - items);
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
  left: ReadonlyMap<WaitingWork, number>,
  random: () => number,
): Map<WaitingWork, number> {
  const total = eligible.reduce((sum, work) => sum + claimOf(work), 0);
  const given = new Map<WaitingWork, number>();
  for (const work of eligible) {
    const share = Math.floor((free * claimOf(work)) / total);
    given.set(work, Math.min(share, left.get(work) ?? 0));
  }
  const handedOut = [...given.values()].reduce((sum, items) => sum + items, 0);
  if (handedOut === 0) {
    const lucky = drawByClaim(eligible, total, random);
    given.set(lucky, 1);
  }
  return given;
}

function drawByClaim(
  eligible: readonly WaitingWork[],
  total: number,
  random: () => number,
): WaitingWork {
  let point = random() * total;
  for (const work of eligible) {
    point -= claimOf(work);
    if (point < 0) return work;
  }
  const last = eligible.at(-1);
  if (last === undefined) throw new Error('drawByClaim: nothing to draw from');
  return last;
}

function addRequest(requests: Map<string, GrantRequest>, work: WaitingWork, items: number): void {
  if (items === 0) return;
  const key = `${work.group}|${work.row}`;
  const before = requests.get(key)?.maxItems ?? 0;
  requests.set(key, { group: work.group, row: work.row, maxItems: before + items });
}
