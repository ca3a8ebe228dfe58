import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { EntryAddresses } from './entry-addresses.js';

describe('EntryAddresses', () => {
  test(title('keeps an answer for its time and moves on at once when its addresses fail'), (t) => {
    const addresses = new EntryAddresses({ seeds: ['seed'] });
    t.true(addresses.isStale(0));
    addresses.keep(['a', 'b'], 1000, 0);
    t.false(addresses.isStale(999));
    t.deepEqual(addresses.inOrder(1), ['a', 'b', 'seed']);
    addresses.failed('a', 1);
    t.deepEqual(addresses.inOrder(2), ['b', 'seed', 'a']);
    t.false(addresses.isStale(2));
    addresses.failed('b', 2);
    t.true(addresses.isStale(3));
    t.deepEqual(addresses.inOrder(3), ['seed', 'a', 'b']);
    t.true(addresses.isStale(1000));
    t.is(addresses.inOrder(6000)[0], 'a');
  });
});
