import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { NetworkPartition } from './network-partition.js';
import type { ProcessSpec } from './process-set.js';

function spec(number: number): ProcessSpec {
  return { name: `p${number}`, role: 'control', host: `h${number}`, processHost: `own${number}` };
}

describe('Halves', () => {
  test(title('separates the two sides from each other and from no other process'), (t) => {
    const partition = new NetworkPartition([1, 2, 3].map(spec));
    t.true(partition.separates('own1', 'own2'));
    t.true(partition.separates('own2', 'own3'));
    t.false(partition.separates('own1', 'own3'));
    t.false(partition.separates('own1', 'elsewhere'));
    t.deepEqual(
      partition.largerSide.map(({ name }) => name),
      ['p1', 'p3'],
    );
  });
});
