import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { ThrottledTask } from './throttled-task.js';

const INTERVAL_MS = 20;
const SOME_INTERVALS_MS = 150;

describe('ThrottledTask', () => {
  test(title('runs at once, and once more for all requests within the interval'), async (t) => {
    let runs = 0;
    const task = new ThrottledTask({ intervalMs: INTERVAL_MS, run: () => (runs += 1) });
    for (let request = 0; request < 1000; request += 1) task.schedule();
    t.is(runs, 1);
    await pause(SOME_INTERVALS_MS);
    t.is(runs, 2);
    task.schedule();
    t.is(runs, 3, 'runs at once after the interval');
    task.close();
  });

  test(title('does not run after it is closed'), async (t) => {
    let runs = 0;
    const task = new ThrottledTask({ intervalMs: INTERVAL_MS, run: () => (runs += 1) });
    task.schedule();
    task.schedule();
    task.close();
    await pause(SOME_INTERVALS_MS);
    t.is(runs, 1);
  });
});
