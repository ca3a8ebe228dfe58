/**
 * Periodic checks of all links of a process with one timer, as one timer per link would wake the
 * process up once for each link.
 */
import { CHECK_INTERVAL_MS } from './link-silence.js';

type PeriodicCheck = () => void;

const checks = new Set<PeriodicCheck>();
let timer: NodeJS.Timeout | undefined;

/** Calls `check` at each interval until it is removed. */
export function addPeriodicCheck(check: PeriodicCheck): void {
  checks.add(check);
  timer ??= setInterval(() => {
    for (const each of checks) each();
  }, CHECK_INTERVAL_MS);
}

/** Stops calling `check`; stops the timer after the last one. */
export function removePeriodicCheck(check: PeriodicCheck): void {
  checks.delete(check);
  if (checks.size > 0) return;
  clearInterval(timer);
  timer = undefined;
}
