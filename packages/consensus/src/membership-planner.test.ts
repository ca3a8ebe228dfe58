import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { planMembership } from './membership-planner.js';
import type { MemberStatus } from './membership-planner.js';
import type { GroupConfig } from './messages.js';

const CONFIG: GroupConfig = { voters: ['a#1', 'b#1', 'c#1'], learners: ['d#1'] };
const LOST_MS = 2500;

/** Plans with `a#1` as the leader, `b#1` lost, and the given status of the learner. */
function planWithLearner(learner: Partial<MemberStatus>): GroupConfig | undefined {
  const healthy = { lastContactAgoMs: 50, lastReplyAgoMs: 50, lagEntries: 0 };
  const statuses: MemberStatus[] = [
    { ...healthy, memberId: 'b#1', lastContactAgoMs: LOST_MS, lastReplyAgoMs: LOST_MS },
    { ...healthy, memberId: 'c#1' },
    { ...healthy, memberId: 'd#1', ...learner },
  ];
  return planMembership({
    config: CONFIG,
    selfId: 'a#1',
    members: new Map(statuses.map((status) => [status.memberId, status])),
    liveIds: ['a#1', 'c#1', 'd#1'],
    targetVoters: 3,
    replaceAfterMs: LOST_MS,
    maxReplyAgeMs: 600,
  });
}

describe('planMembership', () => {
  test(title('promotes a learner that has caught up and replies'), (t) => {
    t.deepEqual(planWithLearner({}), { voters: ['a#1', 'b#1', 'c#1', 'd#1'], learners: [] });
  });

  test(title('does not promote a learner that never replied, however short the log is'), (t) => {
    t.is(planWithLearner({ lastReplyAgoMs: Infinity, lagEntries: 3 }), undefined);
  });

  test(title('does not promote a learner that has caught up but stopped replying'), (t) => {
    t.is(planWithLearner({ lastReplyAgoMs: 700, lastContactAgoMs: 700 }), undefined);
  });
});
