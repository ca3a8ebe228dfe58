/**
 * Order in which waiting items are granted. It is designed for loads of more items than the slots
 * can finish in time. Ordered by due time alone, nearly every item is started, interrupted for
 * online work and restarted elsewhere, so few items finish before they are due.
 */

/** A waiting item with the properties that decide its position. */
export interface WaitingItem {
  /** Time until its job is due; negative if overdue. */
  readonly untilDueMs: number;
  /** Total time from the submission of its job to the due time. */
  readonly allowedMs: number;
  /** Estimated time that its run still takes if nothing interrupts it. */
  readonly remainingMs: number;
  /** Whether an earlier run produced part of its result. */
  readonly isStarted: boolean;
}

/**
 * Classes of items, highest priority first. `started`: started by an earlier run, and can meet its
 * due time; `timely`: not started, and can meet its due time with the usual interruptions; `late`:
 * all others, so that items that can still meet their due time do not wait behind items that
 * cannot.
 */
type PriorityClass = 'started' | 'timely' | 'late';

const CLASS_ORDER: Readonly<Record<PriorityClass, number>> = { started: 0, timely: 1, late: 2 };

/**
 * Initial share of a job's time in which an unstarted item always counts as able to meet its due
 * time. Without it, frequent interruptions raise the slowdown until no item may be started and only
 * late items are served. Of the items that could meet their due time, 0.33 did without it and 0.60
 * with it (item-load test, with interruptions twice as frequent as in its other cases).
 */
const ALWAYS_TIMELY_SHARE = 0.3;

/**
 * Returns the class of an item. `slowdown` is the time from first run to result that items usually
 * need, as a multiple of their uninterrupted run time.
 */
function classOf(item: WaitingItem, slowdown: number): PriorityClass {
  const { untilDueMs, allowedMs, remainingMs, isStarted } = item;
  if (untilDueMs < remainingMs) return 'late';
  if (isStarted) return 'started';
  const neededMs = Math.min(remainingMs * slowdown, allowedMs * (1 - ALWAYS_TIMELY_SHARE));
  return untilDueMs >= neededMs ? 'timely' : 'late';
}

/**
 * Compares two waiting items: a negative result grants `a` first. Classes are compared first.
 * Within `started` and `late`, the item with the least remaining time is first, which finishes the
 * most items; within `timely`, the item with the earliest due time.
 */
export function compareWaitingItems(a: WaitingItem, b: WaitingItem, slowdown: number): number {
  const classA = classOf(a, slowdown);
  const classB = classOf(b, slowdown);
  if (classA !== classB) return CLASS_ORDER[classA] - CLASS_ORDER[classB];
  const byDue = a.untilDueMs - b.untilDueMs;
  const byRemaining = a.remainingMs - b.remainingMs;
  return classA === 'timely' ? byDue || byRemaining : byRemaining || byDue;
}
