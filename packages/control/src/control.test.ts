import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { createCluster, planBootstrap } from './bootstrap.js';
import type { HelloAnswer } from './bootstrap.js';
import { memberStatuses } from './membership-tasks.js';

const bootstrapMembers = ['a', 'b', 'c'];

function repliesByInstance(...replies: HelloAnswer[]): Map<string, HelloAnswer> {
  return new Map(replies.map((reply) => [reply.instance, reply]));
}

function withoutCluster(instance: string): HelloAnswer {
  return { instance, memberId: `${instance}#1`, cluster: undefined };
}

describe('planBootstrap', () => {
  test(title('only the first member forms the cluster, and only when all have replied'), (t) => {
    const all = repliesByInstance(withoutCluster('a'), withoutCluster('b'), withoutCluster('c'));
    t.deepEqual(planBootstrap({ instance: 'a', bootstrapMembers, answers: all }), {
      action: 'form',
      members: ['a#1', 'b#1', 'c#1'],
    });
    t.is(planBootstrap({ instance: 'b', bootstrapMembers, answers: all }).action, 'wait');
    t.is(
      planBootstrap({
        instance: 'a',
        bootstrapMembers,
        answers: repliesByInstance(withoutCluster('a'), withoutCluster('b')),
      }).action,
      'wait',
    );
  });

  test(
    title('an instance that lost its data joins the cluster that any other instance knows'),
    (t) => {
      const cluster = createCluster(['a#1', 'b#1', 'c#1'], { jobGroupCount: 2, voterCount: 3 });
      const known = repliesByInstance(
        { ...withoutCluster('a'), memberId: 'a#2' },
        { ...withoutCluster('c'), cluster },
      );
      t.deepEqual(planBootstrap({ instance: 'a', bootstrapMembers, answers: known }), {
        action: 'join',
        cluster,
      });
    },
  );
});

describe('memberStatuses', () => {
  test(title('a lost member counts as unresponsive for a newly elected leader, too'), (t) => {
    const progress = new Map([
      ['lost#1', { matchIndex: 5, lastContactAgoMs: 10, lastReplyAgoMs: Infinity }],
      ['lagging#1', { matchIndex: 5, lastContactAgoMs: 9000, lastReplyAgoMs: 9000 }],
      ['healthy#1', { matchIndex: 8, lastContactAgoMs: 20, lastReplyAgoMs: 20 }],
    ]);
    const lastSeenAgoMs = new Map([
      ['lost#1', 6000],
      ['lagging#1', 100],
      ['healthy#1', 100],
    ]);
    const statuses = memberStatuses(progress, 8, (memberId) => lastSeenAgoMs.get(memberId) ?? 0);
    t.deepEqual(
      [...statuses.values()].map(({ lastContactAgoMs, lagEntries }) => [
        lastContactAgoMs,
        lagEntries,
      ]),
      [
        [6000, 3],
        [9000, 3],
        [100, 0],
      ],
    );
  });
});
