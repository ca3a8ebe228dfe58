import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { PollPlan } from './poll-plan.js';

const NEAR = { name: 'near', isInOwnZone: true };
const OTHERS = ['b', 'c'].map((name) => ({ name, isInOwnZone: false }));

function polls(plan: PollPlan, count: number): string {
  return Array.from({ length: count }, () => plan.next([...OTHERS, NEAR])).join(' ');
}

describe('PollPlan', () => {
  test(title('alternates between the zone and the others'), (t) => {
    t.is(polls(new PollPlan(), 6), 'near b near c near b');
  });

  test(title('polls the others more often while the preferred one is partitioned'), (t) => {
    const plan = new PollPlan();
    plan.noteReply('near', 2000);
    t.is(polls(plan, 6), 'near b c b near c');
    plan.noteReply('near', 100);
    t.is(polls(plan, 3), 'near b near');
  });

  test(title('polls the only candidate each time'), (t) => {
    const plan = new PollPlan();
    t.deepEqual([plan.next([NEAR]), plan.next([NEAR])], ['near', 'near']);
  });
});
