import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { EntryAddresses } from './entry-addresses.js';

describe('EntryAddresses', () => {
  test(
    title('caches a list until it expires and fails over at once when its addresses fail'),
    (t) => {
      const addresses = new EntryAddresses({ seeds: ['seed'] });
      t.true(addresses.isStale(0));
      addresses.update(['a', 'b'], 1000, 0);
      t.false(addresses.isStale(999));
      t.deepEqual(addresses.inPreferenceOrder(1), ['a', 'b', 'seed']);
      addresses.recordFailure('a', 1);
      t.deepEqual(addresses.inPreferenceOrder(2), ['b', 'seed', 'a']);
      t.false(addresses.isStale(2));
      addresses.recordFailure('b', 2);
      t.true(addresses.isStale(3));
      t.deepEqual(addresses.inPreferenceOrder(3), ['seed', 'a', 'b']);
      t.true(addresses.isStale(1000));
      t.is(addresses.inPreferenceOrder(6000)[0], 'a');
    },
  );
});
