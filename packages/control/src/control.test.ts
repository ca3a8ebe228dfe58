import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { newCluster, planBootstrap } from './bootstrap.js';
import type { HelloAnswer } from './bootstrap.js';
import { memberStatuses } from './member-duties.js';

const bootstrapMembers = ['a', 'b', 'c'];

function answers(...given: HelloAnswer[]): Map<string, HelloAnswer> {
  return new Map(given.map((answer) => [answer.instance, answer]));
}

function empty(instance: string): HelloAnswer {
  return { instance, memberId: `${instance}#1`, cluster: undefined };
}

describe('bootstrap', () => {
  test(title('only the first member forms the cluster, and only when all have answered'), (t) => {
    const all = answers(empty('a'), empty('b'), empty('c'));
    t.deepEqual(planBootstrap({ instance: 'a', bootstrapMembers, answers: all }), {
      action: 'form',
      members: ['a#1', 'b#1', 'c#1'],
    });
    t.is(planBootstrap({ instance: 'b', bootstrapMembers, answers: all }).action, 'wait');
    t.is(
      planBootstrap({ instance: 'a', bootstrapMembers, answers: answers(empty('a'), empty('b')) })
        .action,
      'wait',
    );
  });

  test(title('an instance that came back empty joins the cluster that any other knows of'), (t) => {
    const cluster = newCluster(['a#1', 'b#1', 'c#1'], { jobGroupCount: 2, voterCount: 3 });
    const known = answers({ ...empty('a'), memberId: 'a#2' }, { ...empty('c'), cluster });
    t.deepEqual(planBootstrap({ instance: 'a', bootstrapMembers, answers: known }), {
      action: 'join',
      cluster,
    });
  });
});

describe('member statuses', () => {
  test(title('a member that is gone stays silent for a leader that has just been elected'), (t) => {
    const progress = new Map([
      ['gone#1', { matchIndex: 5, silentMs: 10 }],
      ['stuck#1', { matchIndex: 5, silentMs: 9000 }],
      ['sound#1', { matchIndex: 8, silentMs: 20 }],
    ]);
    const unheard = new Map([
      ['gone#1', 6000],
      ['stuck#1', 100],
      ['sound#1', 100],
    ]);
    const statuses = memberStatuses(progress, 8, (memberId) => unheard.get(memberId) ?? 0);
    t.deepEqual(
      [...statuses.values()].map(({ silentMs, lagEntries }) => [silentMs, lagEntries]),
      [
        [6000, 3],
        [9000, 3],
        [100, 0],
      ],
    );
  });
});
