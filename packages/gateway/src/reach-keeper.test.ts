import test from 'ava';
import type { Placed } from '@shedline/directory';
import { describe, title } from '@shedline/test-utils';
import { ReachKeeper } from './reach-keeper.js';

function placed(kind: string, count: number): Placed[] {
  return Array.from({ length: count }, (_, number) => ({
    name: `${kind}-${number}`,
    availabilityZone: `z${number % 5}`,
  }));
}

describe('ReachKeeper', () => {
  test(title('counts as many entries with batch work as there are endpoints at most'), (t) => {
    let endpoints = placed('endpoint', 52);
    const keeper = new ReachKeeper({
      self: 'entry-0',
      entries: () => placed('entry', 165),
      endpoints: () => endpoints,
    });
    t.true(keeper.refresh());
    t.false(keeper.refresh(), 'nothing came or went');
    t.is(keeper.entryCount, 165);
    t.is(keeper.batchEntryCount, 52);
    endpoints = placed('endpoint', 300);
    t.true(keeper.refresh());
    t.is(keeper.batchEntryCount, 165);
  });
});
