import test from 'ava';
import type { ZonedName } from '@shedline/directory';
import { describe, title } from '@shedline/test-utils';
import { SubsetTracker } from './subset-tracker.js';

function members(kind: string, count: number): ZonedName[] {
  return Array.from({ length: count }, (_, number) => ({
    name: `${kind}-${number}`,
    availabilityZone: `z${number % 5}`,
  }));
}

describe('SubsetTracker', () => {
  test(title('counts at most one entry with batch work per endpoint'), (t) => {
    let endpoints = members('endpoint', 52);
    const tracker = new SubsetTracker({
      self: 'entry-0',
      entries: () => members('entry', 165),
      endpoints: () => endpoints,
    });
    t.true(tracker.refresh());
    t.false(tracker.refresh(), 'no member was added or removed');
    t.is(tracker.entryCount, 165);
    t.is(tracker.batchEntryCount, 52);
    endpoints = members('endpoint', 300);
    t.true(tracker.refresh());
    t.is(tracker.batchEntryCount, 165);
    endpoints = [...endpoints.slice(1), { name: 'endpoint-new', availabilityZone: 'z0' }];
    t.true(tracker.refresh(), 'one member is replaced by another');
    endpoints = endpoints.map(({ name }) => ({ name, availabilityZone: 'z0' }));
    t.true(tracker.refresh(), 'members are in another zone');
  });
});
