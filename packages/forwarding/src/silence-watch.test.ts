import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { SilenceWatch } from './silence-watch.js';

const LIMIT_MS = 40;

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
    let now = 0;
    let reports = 0;
    const watch = new SilenceWatch({
      limitMs: LIMIT_MS,
      nowMs: () => now,
      onSilent: () => {
        reports += 1;
      },
    });
    now = LIMIT_MS - 1;
    watch.heard();
    now = LIMIT_MS;
    await pause(LIMIT_MS + 5);
    t.is(reports, 0, 'heard a moment ago');
    watch.pause();
    now = 10 * LIMIT_MS;
    await pause(2 * LIMIT_MS);
    t.is(reports, 0, 'paused');
    watch.stop();
  });

  test(title('a process that stood still looks again first'), async (t) => {
    let now = 0;
    let reports = 0;
    const watch = new SilenceWatch({
      limitMs: LIMIT_MS,
      nowMs: () => now,
      onSilent: () => {
        reports += 1;
      },
    });
    now = 5000;
    await pause(LIMIT_MS + 10);
    t.is(reports, 0);
    watch.stop();
  });
});
