import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { SilenceWatch } from './silence-watch.js';

const LIMIT_MS = 40;

/** A watch on a clock of its own. */
interface Watched {
  readonly watch: SilenceWatch;
  now: number;
  reports: number;
}

function startWatch(): Watched {
  const clock = { now: 0, reports: 0 };
  const options = { limitMs: LIMIT_MS, nowMs: () => clock.now };
  const onSilent = (): void => {
    clock.reports += 1;
  };
  return Object.assign(clock, { watch: new SilenceWatch({ ...options, onSilent }) });
}

describe('SilenceWatch', () => {
  test(title('reports silence once, and only after the limit'), async (t) => {
    let reports = 0;
    const beganMs = performance.now();
    const reportedAtMs = await new Promise<number>((resolve) => {
      new SilenceWatch({
        limitMs: LIMIT_MS,
        onSilent: () => {
          reports += 1;
          resolve(performance.now());
        },
      });
    });
    t.true(reportedAtMs - beganMs >= LIMIT_MS - 1);
    await pause(2 * LIMIT_MS);
    t.is(reports, 1);
  });

  test(title('a sign of life, a pause or the end puts the report off'), async (t) => {
    const watched = startWatch();
    watched.now = LIMIT_MS - 1;
    watched.watch.heard();
    watched.now = LIMIT_MS;
    await pause(LIMIT_MS + 5);
    t.is(watched.reports, 0, 'heard a moment ago');
    watched.watch.pause();
    watched.now = 10 * LIMIT_MS;
    await pause(2 * LIMIT_MS);
    t.is(watched.reports, 0, 'paused');
    watched.watch.stop();
  });

  test(title('a process that stood still looks again first'), async (t) => {
    const watched = startWatch();
    watched.now = 5000;
    await pause(LIMIT_MS + 10);
    t.is(watched.reports, 0);
    watched.watch.stop();
  });
});
