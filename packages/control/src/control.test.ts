import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { newCluster, planBootstrap } from './bootstrap.js';
import type { HelloAnswer } from './bootstrap.js';

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
