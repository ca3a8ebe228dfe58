/**
 * Regular looks at all links of a process, with one timer: a timer a link woke the process up for each.
 */
import { LOOK_INTERVAL_MS } from './link-silence.js';

type Look = () => void;

const checks = new Set<Look>();
let timer: NodeJS.Timeout | undefined;

/** Calls `look` at each interval until it is removed. */
export function addPeriodicCheck(look: Look): void {
  checks.add(look);
  timer ??= setInterval(() => {
    for (const each of checks) each();
  }, LOOK_INTERVAL_MS);
}

/** Calls it no more. */
export function removePeriodicCheck(look: Look): void {
  checks.delete(look);
  if (checks.size > 0) return;
  clearInterval(timer);
  timer = undefined;
}
