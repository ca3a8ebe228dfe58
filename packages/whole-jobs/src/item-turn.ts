/**
 * Whose turn it is among the items that wait. It answers a load of more items than the slots can
 * finish in time: with the soonest due first nearly every item is begun, cut for online work and begun
 * elsewhere, and few are finished before they are due.
 */

/** An item that waits, with what decides its turn. */
export interface WaitingItem {
  /** Time that is left until its job is due; negative where it is late. */
  readonly leftMs: number;
  /** Time that its job was given in all. */
  readonly allowedMs: number;
  /** Time that its run probably still takes where nothing interrupts it. */
  readonly remainingMs: number;
  /** Whether an earlier run has made a part of it. */
  readonly isBegun: boolean;
}

/**
 * Classes of turns, the first one first. `finish`: begun, and can be on time; `begin`: can be on time
 * with the interruptions that items usually see; `late`: everything else, so that what is served on
 * time does not wait for what is not.
 */
type TurnClass = 'finish' | 'begin' | 'late';

const CLASS_ORDER: Readonly<Record<TurnClass, number>> = { finish: 0, begin: 1, late: 2 };

/**
 * Share of the time of a job for which an item that is not begun may always be begun. Without it a time of many
 * interruptions leaves nothing that could be begun, and only what is late already is served: 0.33 of the
 * items that could be on time were, 0.60 with it (item-load test, interruptions twice as often as usual there).
 */
const ALWAYS_TIMELY_SHARE = 0.3;

/**
 * The class of an item; `stretch` is how many times its uninterrupted time an item usually takes from its
 * first run to its end.
 */
function classOf(item: WaitingItem, stretch: number): TurnClass {
  const { leftMs, allowedMs, remainingMs, isBegun } = item;
  if (leftMs < remainingMs) return 'late';
  if (isBegun) return 'finish';
  const neededMs = Math.min(remainingMs * stretch, allowedMs * (1 - ALWAYS_TIMELY_SHARE));
  return leftMs >= neededMs ? 'begin' : 'late';
}

/**
 * Order of turns. Of those begun the nearest to its end goes first, which finishes most; of those to be
 * begun the soonest due; of the late ones again the nearest to its end.
 */
export function compareTurns(a: WaitingItem, b: WaitingItem, stretch: number): number {
  const classA = classOf(a, stretch);
  const classB = classOf(b, stretch);
  if (classA !== classB) return CLASS_ORDER[classA] - CLASS_ORDER[classB];
  const byDue = a.leftMs - b.leftMs;
  const byRemaining = a.remainingMs - b.remainingMs;
  return classA === 'begin' ? byDue || byRemaining : byRemaining || byDue;
}
