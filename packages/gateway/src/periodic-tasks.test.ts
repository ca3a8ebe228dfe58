import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { PeriodicTasks } from './periodic-tasks.js';

describe('PeriodicTasks', () => {
  test(title('runs each task at its own ticks until it is removed'), (t) => {
    const tasks = new PeriodicTasks();
    const runs: string[] = [];
    const remove = tasks.add({ everyTicks: 1, run: () => runs.push('poll') });
    tasks.add({ everyTicks: 2, run: () => runs.push('sweep') });
    tasks.tick();
    tasks.tick();
    t.deepEqual(runs, ['poll', 'poll', 'sweep']);
    remove();
    tasks.tick();
    t.is(runs.length, 3);
  });
});
