import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { SlotRouting } from './slot-routing.js';
import type { SlotCandidate } from './slot-routing.js';

function candidate(endpointId: string, online: number, batch: number): SlotCandidate {
  return { endpointId, availabilityZone: 'z', online, batch, slots: 4 };
}

describe('slot routing', () => {
  const routing = new SlotRouting({ random: () => 0 });
  const choose = (candidates: SlotCandidate[]): string | undefined =>
    routing.choose(candidates, 'z')?.endpointId;

  test(title('prefers a free slot, then a slot of batch work, then a queue'), (t) => {
    const free = candidate('free', 3, 0);
    const yielding = candidate('yielding', 0, 4);
    const queue = candidate('queue', 4, 0);
    t.is(choose([queue, yielding, free]), 'free');
    t.is(choose([queue, yielding]), 'yielding');
    t.is(choose([queue]), 'queue');
  });

  test(title('chooses no endpoint whose queue is full'), (t) => {
    t.is(choose([candidate('full', 6, 0)]), undefined);
  });

  test(title('keeps requests in their zone unless its endpoints are much fuller'), (t) => {
    const near = candidate('near', 1, 0);
    const fuller = candidate('fuller', 2, 0);
    const far = { ...candidate('far', 1, 0), availabilityZone: 'y' };
    const idle = { ...candidate('idle', 0, 0), availabilityZone: 'y' };
    t.is(choose([far, near]), 'near');
    t.is(choose([idle, near]), 'near');
    t.is(choose([fuller, idle]), 'idle');
  });

  test(title('prefers a free slot in another zone to a queue or to stopping a batch item'), (t) => {
    const far = { ...candidate('far', 3, 0), availabilityZone: 'y' };
    t.is(choose([candidate('queue', 4, 0), far]), 'far');
    t.is(choose([candidate('yielding', 1, 3), far]), 'far');
  });
});
