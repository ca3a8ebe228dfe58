import test from 'ava';
import type { ZonedName } from '@shedline/directory';
import { describe, title } from '@shedline/test-utils';
import { SubsetTracker } from './subset-tracker.js';

function placed(kind: string, count: number): ZonedName[] {
  return Array.from({ length: count }, (_, number) => ({
    name: `${kind}-${number}`,
    availabilityZone: `z${number % 5}`,
  }));
}

describe('SubsetTracker', () => {
  test(title('counts as many entries with batch work as there are endpoints at most'), (t) => {
    let endpoints = placed('endpoint', 52);
    const tracker = new SubsetTracker({
      self: 'entry-0',
      entries: () => placed('entry', 165),
      endpoints: () => endpoints,
    });
    t.true(tracker.refresh());
    t.false(tracker.refresh(), 'nothing came or went');
    t.is(tracker.entryCount, 165);
    t.is(tracker.batchEntryCount, 52);
    endpoints = placed('endpoint', 300);
    t.true(tracker.refresh());
    t.is(tracker.batchEntryCount, 165);
  });
});
