import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { AddressBook } from './address-book.js';

describe('AddressBook', () => {
  test(title('keeps an answer for its time and moves on at once when its addresses fail'), (t) => {
    const book = new AddressBook({ seeds: ['seed'] });
    t.true(book.isStale(0));
    book.keep(['a', 'b'], 1000, 0);
    t.false(book.isStale(999));
    t.deepEqual(book.inOrder(1), ['a', 'b', 'seed']);
    book.failed('a', 1);
    t.deepEqual(book.inOrder(2), ['b', 'seed', 'a']);
    t.false(book.isStale(2));
    book.failed('b', 2);
    t.true(book.isStale(3));
    t.deepEqual(book.inOrder(3), ['seed', 'a', 'b']);
    t.true(book.isStale(1000));
    t.is(book.inOrder(6000)[0], 'a');
  });
});
