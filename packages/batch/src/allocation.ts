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
  const remainders: Remainder[] = [];
  let rest = free;
  for (const work of eligible) {
    const share = (free * claimOf(work)) / total;
    const whole = Math.min(Math.floor(share), left.get(work) ?? 0);
    given.set(work, whole);
    rest -= whole;
    if (whole < (left.get(work) ?? 0)) remainders.push({ work, part: share - Math.floor(share) });
  }
  for (; rest > 0 && remainders.length > 0; rest -= 1) {
    const lucky = drawRemainder(remainders, random);
    given.set(lucky, (given.get(lucky) ?? 0) + 1);
  }
  return given;
}

interface Remainder {
  readonly work: WaitingWork;
  /** Part of a slot that the division left to this work. */
  readonly part: number;
}

/** Takes one work out, the likelier the larger its remainder. */
function drawRemainder(remainders: Remainder[], random: () => number): WaitingWork {
  let point = random() * remainders.reduce((sum, { part }) => sum + part, 0);
  const found = remainders.findIndex(({ part }) => {
    point -= part;
    return point < 0;
  });
  const [drawn] = remainders.splice(found === -1 ? 0 : found, 1);
  if (drawn === undefined) throw new Error('drawRemainder: nothing to draw from');
  return drawn.work;
}

function addRequest(requests: Map<string, GrantRequest>, work: WaitingWork, items: number): void {
  if (items === 0) return;
  const key = `${work.group}|${work.row}`;
  const before = requests.get(key)?.maxItems ?? 0;
  requests.set(key, { group: work.group, row: work.row, maxItems: before + items });
}
