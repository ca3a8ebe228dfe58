import test from 'ava';
import type { Route } from '@shedline/fleet';
import type { GrantedItem } from '@shedline/fleet-control';
import { NOOP_GUARD } from '@shedline/forwarding';
import type { ContentGuard } from '@shedline/forwarding';
import { partKeyOf } from '@shedline/quarantine';
import { describe, title } from '@shedline/test-utils';
import { ItemGuard } from './item-guard.js';

const ROUTE = { targets: [{ service: 's', weight: 1 }] } as unknown as Route;

const keyOf = (partId: string, softwareVersion: string): string =>
  partKeyOf({ partId, service: 's', softwareVersion });

function itemWith(...parts: string[]): GrantedItem {
  return { item: { itemId: 'i', path: '/', headers: parts } } as unknown as GrantedItem;
}

/** Returns the guard of an entry whose endpoints have the versions v1 and v2; the endpoint is v1. */
function guardOf(held: ReadonlyMap<string, boolean>, permitsTrial = false): ItemGuard {
  const guard: ContentGuard = {
    ...NOOP_GUARD,
    isIdle: false,
    admit: () =>
      Promise.resolve(permitsTrial ? { isAdmitted: true } : { isAdmitted: false, retryAfterMs: 1 }),
    quarantineOf: (keys) => {
      const featureKey = keys.find((key) => held.has(key));
      if (featureKey === undefined) return undefined;
      return { featureKey, forMs: 1, crashes: 3, isConfirmed: held.get(featureKey) === true };
    },
  };
  return new ItemGuard({
    guard,
    protocol: {
      sharedPartsOf: (headers) => headers,
      sendHeaders: () => [],
      readHead: () => {
        throw new Error('no response is expected');
      },
    },
    pool: {
      originOf: () => ({ service: 's', softwareVersion: 'v1' }),
      softwareVersionsOf: () => ['v1', 'v2'],
    },
  });
}

describe('ItemGuard', () => {
  const bad = itemWith('sound', 'bad');
  const admissionOf = async (guard: ItemGuard): Promise<string> =>
    (await guard.admit(bad, 'e', ROUTE)).kind;

  test(title('lets items run without a part that is quarantined at their endpoint'), (t) => {
    const guard = guardOf(new Map([[keyOf('bad', 'v2'), true]]));
    t.true(guard.isFree(bad, 'e'));
    t.true(guardOf(new Map([[keyOf('bad', 'v1'), true]])).isFree(itemWith('sound'), 'e'));
    t.false(guardOf(new Map([[keyOf('bad', 'v1'), true]])).isFree(bad, 'e'));
  });

  test(title('gives an item up only if its part crashes endpoints of all versions'), async (t) => {
    const v1 = keyOf('bad', 'v1');
    const v2 = keyOf('bad', 'v2');
    t.is(await admissionOf(guardOf(new Map([[v1, true]]))), 'wait');
    t.is(
      await admissionOf(
        guardOf(
          new Map([
            [v1, true],
            [v2, false],
          ]),
        ),
      ),
      'wait',
    );
    t.is(
      await admissionOf(
        guardOf(
          new Map([
            [v1, true],
            [v2, true],
          ]),
        ),
      ),
      'giveUp',
    );
  });

  test(title('lets an item run as a trial'), async (t) => {
    t.is(await admissionOf(guardOf(new Map([[keyOf('bad', 'v1'), false]]), true)), 'run');
  });
});
