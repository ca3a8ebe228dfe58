/**
 * Regular looks at all links of a process, with one timer: a timer a link woke the process up for each.
 */
import { LOOK_INTERVAL_MS } from './link-silence.js';

type Look = () => void;

const looks = new Set<Look>();
let timer: NodeJS.Timeout | undefined;

/** Calls `look` at each interval until it is removed. */
export function addLook(look: Look): void {
  looks.add(look);
  timer ??= setInterval(() => {
    for (const each of looks) each();
  }, LOOK_INTERVAL_MS);
}

/** Calls it no more. */
export function removeLook(look: Look): void {
  looks.delete(look);
  if (looks.size > 0) return;
  clearInterval(timer);
  timer = undefined;
}
