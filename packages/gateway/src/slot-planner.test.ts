/**
 * Guards against items in slots that online requests use or used just before, and against an
 * endpoint that changes owner whenever another route is checked.
 */
import test from 'ava';
import type { SlotCandidate } from '@shedline/routing';
import { describe, title } from '@shedline/test-utils';
import { GrantSchedule } from './grant-schedule.js';
import { SlotCheckSchedule } from './slot-check-schedule.js';
import { SlotPlanner } from './slot-planner.js';

const SLOTS = 4;

function usable(onlineOf: Readonly<Record<string, number>>): Map<string, SlotCandidate> {
  const candidates = Object.entries(onlineOf).map(([endpointId, online]) => ({
    endpointId,
    availabilityZone: 'z',
    online,
    batch: 0,
    slots: SLOTS,
  }));
  return new Map(candidates.map((candidate) => [candidate.endpointId, candidate]));
}

describe('slot planner', () => {
  const toSelf = (): string[] => ['self'];

  test(title('a slot is free only after online requests have left it for 200 ms'), (t) => {
    const planner = new SlotPlanner('self');
    const freeAt = (online: number, nowMs: number): number | undefined => {
      planner.observe(usable({ e: online }), toSelf, nowMs);
      return planner.free(['e'], () => 1).get('e');
    };
    t.is(freeAt(3, 0), undefined);
    t.is(freeAt(1, 100), undefined);
    t.is(freeAt(1, 200), undefined);
    t.is(freeAt(1, 301), 2);
  });

  test(title('items are stopped where online requests need their slots, and only there'), (t) => {
    const planner = new SlotPlanner('self');
    planner.observe(usable({ full: 3, roomy: 1 }), toSelf, 0);
    t.deepEqual([...planner.excess(() => 3)], [['full', 1]]);
    t.deepEqual(
      [...planner.free(['full', 'roomy', 'unknown'], () => 0)],
      [
        ['full', 1],
        ['roomy', 3],
      ],
    );
    t.true(planner.mayNeedSlot('roomy', 2, 2));
    t.false(planner.mayNeedSlot('roomy', 1, 2), 'one more online request has a slot');
    t.false(planner.mayNeedSlot('roomy', 9, 0), 'no item runs there');
  });

  test(title('an endpoint of another entry is neither filled nor cleared'), (t) => {
    const planner = new SlotPlanner('self');
    planner.observe(usable({ e: 9 }), () => ['other'], 0);
    t.is(planner.ownerOf('e'), 'other');
    t.deepEqual(planner.ownedEndpoints, []);
    t.is(planner.free(['e'], () => 0).size + planner.excess(() => 9).size, 0);
    planner.observe(usable({ e: 0 }), toSelf, 1000);
    t.is(planner.free(['e'], () => 0).size, 0, 'the previous owner has time to stop its items');
    planner.observe(usable({ e: 0 }), toSelf, 1400);
    t.is(planner.free(['e'], () => 0).get('e'), SLOTS);
  });
});

describe('slot check schedule', () => {
  test(title('checks when items may be requested, and rarely if no endpoint is owned'), (t) => {
    const schedule = new SlotCheckSchedule();
    schedule.checked(1000);
    t.is(schedule.nextInMs({ ownsAny: true, grantDueInMs: 60 }, 1000), 60);
    t.is(schedule.nextInMs({ ownsAny: true, grantDueInMs: 5 }, 1000), 40);
    t.is(schedule.nextInMs({ ownsAny: true, grantDueInMs: Infinity }, 1000), 100);
    t.is(schedule.nextInMs({ ownsAny: false, grantDueInMs: Infinity }, 1000), 200);
    t.is(schedule.nextInMs({ ownsAny: false, grantDueInMs: Infinity }, 1300), 0);
    t.is(schedule.earliestInMs(1010), 30);
    t.is(schedule.earliestInMs(1041), 0);
  });
});

describe('grant schedule', () => {
  test(title('requests more often while items wait, and less often in a large fleet'), (t) => {
    const schedule = new GrantSchedule();
    t.is(schedule.dueInMs(0, 8), 0);
    schedule.began();
    t.is(schedule.dueInMs(10_000, 8), Infinity, 'a request is in progress');
    schedule.ended(1000);
    t.is(schedule.dueInMs(1000, 8), 200);
    schedule.noteWaiting(1);
    t.is(schedule.dueInMs(1020, 8), 40);
    t.is(schedule.dueInMs(1000, 64), 240);
  });
});
