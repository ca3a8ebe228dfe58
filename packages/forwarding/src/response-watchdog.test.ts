import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { ResponseWatchdog } from './response-watchdog.js';

const TIMEOUT_MS = 40;

/** A watchdog with a manual clock. */
interface Setup {
  readonly watchdog: ResponseWatchdog;
  now: number;
  reports: number;
}

function startWatchdog(): Setup {
  const clock = { now: 0, reports: 0 };
  const options = { timeoutMs: TIMEOUT_MS, nowMs: () => clock.now };
  const onTimeout = (): void => {
    clock.reports += 1;
  };
  return Object.assign(clock, { watchdog: new ResponseWatchdog({ ...options, onTimeout }) });
}

describe('ResponseWatchdog', () => {
  test(title('reports a time-out once, and not before the limit'), async (t) => {
    let reports = 0;
    const startedAtMs = performance.now();
    const reportedAtMs = await new Promise<number>((resolve) => {
      new ResponseWatchdog({
        timeoutMs: TIMEOUT_MS,
        onTimeout: () => {
          reports += 1;
          resolve(performance.now());
        },
      });
    });
    t.true(reportedAtMs - startedAtMs >= TIMEOUT_MS - 1);
    await pause(2 * TIMEOUT_MS);
    t.is(reports, 1);
  });

  test(title('does not report after a reset or while it is paused'), async (t) => {
    const setup = startWatchdog();
    setup.now = TIMEOUT_MS - 1;
    setup.watchdog.reset();
    setup.now = TIMEOUT_MS;
    await pause(TIMEOUT_MS + 5);
    t.is(setup.reports, 0, 'reset a moment ago');
    setup.watchdog.pause();
    setup.now = 10 * TIMEOUT_MS;
    await pause(2 * TIMEOUT_MS);
    t.is(setup.reports, 0, 'paused');
    setup.watchdog.stop();
  });

  test(title('restarts the time-out after the process was suspended'), async (t) => {
    const setup = startWatchdog();
    setup.now = 5000;
    await pause(TIMEOUT_MS + 10);
    t.is(setup.reports, 0);
    setup.watchdog.stop();
  });
});
