import test from 'ava';
import fc from 'fast-check';
import { describe, title } from '@shedline/test-utils';
import { EndpointSubsets } from './endpoint-subsets.js';
import type { ZonedName } from './endpoint-subsets.js';

const SEED = 19;
const ZONES = ['a', 'b', 'c'];

function zonedNames(prefix: string, count: number): ZonedName[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `${prefix}${index}`,
    availabilityZone: ZONES[index % ZONES.length] ?? '',
  }));
}

const entryCount = fc.integer({ min: 1, max: 90 });
const endpointCount = fc.integer({ min: 0, max: 120 });

describe('EndpointSubsets', () => {
  test(title('every entry of a small fleet uses every endpoint'), (t) => {
    const entries = zonedNames('entry', 12);
    const endpoints = zonedNames('endpoint', 30);
    const subsets = new EndpointSubsets({ entries, endpoints });
    for (const { name } of entries) {
      t.is(new Set(subsets.endpointsOf(name)).size, 30);
      t.is(subsets.peersOf(name).length, 11);
    }
  });

  test(
    title('the nearby entries of an endpoint are those of its zone, or all if there are none'),
    (t) => {
      fc.assert(
        fc.property(entryCount, endpointCount, (entriesTotal, endpointsTotal) => {
          const entries = zonedNames('entry', entriesTotal);
          const endpoints = zonedNames('endpoint', endpointsTotal);
          const subsets = new EndpointSubsets({ entries, endpoints });
          const zoneOf = new Map(entries.map((entry) => [entry.name, entry.availabilityZone]));
          return endpoints.every(({ name, availabilityZone }) => {
            const users = subsets.entriesOf(name);
            const near = users.filter((entry) => zoneOf.get(entry) === availabilityZone);
            const expected = near.length > 0 ? near : users;
            return subsets.nearEntriesOf(name).join() === expected.join();
          });
        }),
        { seed: SEED },
      );
      t.pass();
    },
  );

  test(
    title('no subset lists an endpoint twice, and both directions of the mapping agree'),
    (t) => {
      fc.assert(
        fc.property(entryCount, endpointCount, (entriesTotal, endpointsTotal) => {
          const entries = zonedNames('entry', entriesTotal);
          const endpoints = zonedNames('endpoint', endpointsTotal);
          const subsets = new EndpointSubsets({ entries, endpoints });
          for (const { name } of entries) {
            const used = subsets.endpointsOf(name);
            if (new Set(used).size !== used.length) return false;
            if (!used.every((endpoint) => subsets.entriesOf(endpoint).includes(name))) return false;
          }
          return endpoints.every((endpoint) =>
            subsets
              .entriesOf(endpoint.name)
              .every((name) => subsets.endpointsOf(name).includes(endpoint.name)),
          );
        }),
        { seed: SEED, numRuns: 150 },
      );
      t.pass();
    },
  );

  test(title('spreads the entries of a large fleet evenly over the endpoints'), (t) => {
    fc.assert(
      fc.property(fc.integer({ min: 17, max: 90 }), endpointCount, (entriesTotal, total) => {
        const endpoints = zonedNames('endpoint', total);
        const subsets = new EndpointSubsets({
          entries: zonedNames('entry', entriesTotal),
          endpoints,
        });
        const users = endpoints.map(({ name }) => subsets.entriesOf(name).length);
        if (users.length === 0) return true;
        const [least, most] = [Math.min(...users), Math.max(...users)];
        return least > 0 && most - least <= 2 + Math.ceil(entriesTotal / total);
      }),
      { seed: SEED, numRuns: 150 },
    );
    t.pass();
  });

  test(title('the number of peers of an entry is bounded in a fleet of any size'), (t) => {
    for (const size of [60, 360, 1000]) {
      const entries = zonedNames('entry', size);
      const subsets = new EndpointSubsets({ entries, endpoints: zonedNames('endpoint', size) });
      const counts = entries.map(({ name }) => subsets.peersOf(name).length);
      t.true(Math.max(...counts) <= 24, `${Math.max(...counts)} peers of ${size}`);
    }
  });

  test(title('leaves no endpoint of a very large fleet without an entry'), (t) => {
    const endpoints = zonedNames('endpoint', 12_000);
    const subsets = new EndpointSubsets({ entries: zonedNames('entry', 360), endpoints });
    t.true(endpoints.every(({ name }) => subsets.entriesOf(name).length > 0));
    t.true(subsets.endpointsOf('entry0').length <= 64);
  });

  test(title('the subset of an entry changes little when another entry is removed'), (t) => {
    const entries = zonedNames('entry', 60);
    const endpoints = zonedNames('endpoint', 62);
    const before = new EndpointSubsets({ entries, endpoints });
    const after = new EndpointSubsets({ entries: entries.slice(1), endpoints });
    for (const { name } of entries.slice(1)) {
      const kept = after.endpointsOf(name).filter((id) => before.endpointsOf(name).includes(id));
      t.true(kept.length >= after.endpointsOf(name).length - 2);
    }
  });
});
