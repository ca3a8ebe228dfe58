import test from 'ava';
import { planMembership } from '@shedline/consensus';
import type { GroupConfig } from '@shedline/consensus';
import { describe, title } from '@shedline/test-utils';
import { seedAddresses } from './ports.js';
import { storesToConnect } from './store-peers.js';
import { isMemberOfNoGroup } from './retirement.js';
import { StoreFormation } from './store-formation.js';

describe('store formation', () => {
  test(title('waits until the set of stores is unchanged for some time'), (t) => {
    const formation = new StoreFormation();
    t.is(formation.plan(['a'], 3, 0), undefined);
    t.is(formation.plan(['a', 'c', 'b'], 3, 1000), undefined);
    t.is(formation.plan(['b', 'a', 'c'], 3, 2400), undefined);
    t.deepEqual(formation.plan(['a', 'b', 'c'], 3, 2500), ['a', 'b', 'c']);
  });

  test(title('waits longer with too few stores, and never forms a cluster without stores'), (t) => {
    const formation = new StoreFormation();
    t.is(formation.plan([], 3, 0), undefined);
    t.is(formation.plan([], 3, 60_000), undefined);
    t.is(formation.plan(['a'], 3, 60_000), undefined);
    t.is(formation.plan(['a'], 3, 62_000), undefined);
    t.deepEqual(formation.plan(['a'], 3, 66_000), ['a']);
  });
});

describe('retirement', () => {
  const status = (change: object = {}) => ({
    group: 1,
    role: 'leader',
    leader: 'b',
    term: 2,
    commitIndex: 1,
    appliedIndex: 1,
    voters: ['b#1', 'c#1', 'd#1'],
    learners: [],
    isConfigCommitted: true,
    ...change,
  });

  test(
    title(
      'is complete once the leader of every group has committed a membership without the store',
    ),
    (t) => {
      t.true(isMemberOfNoGroup('a', 1, [status()]));
      t.false(isMemberOfNoGroup('a', 2, [status()]), 'group 2 has no leader');
      t.false(isMemberOfNoGroup('a', 1, [status({ role: 'follower' })]));
      t.false(isMemberOfNoGroup('a', 1, [status({ isConfigCommitted: false })]));
      t.false(isMemberOfNoGroup('a', 1, [status({ learners: ['a#1'] })]));
      const deposed = status({ term: 1 });
      t.false(isMemberOfNoGroup('a', 1, [deposed, status({ term: 3, voters: ['a#1', 'b#1'] })]));
    },
  );

  test(title('adds the replacement before it removes a retiring voter that is up'), (t) => {
    let config: GroupConfig = { voters: ['a#1', 'b#1', 'c#1'], learners: [] };
    const configs: string[] = [];
    for (let step = 0; step < 6; step += 1) {
      const members = new Map(
        [...config.voters, ...config.learners].map((memberId) => [
          memberId,
          { memberId, lastContactAgoMs: 0, lastReplyAgoMs: 0, lagEntries: 0 },
        ]),
      );
      const next = planMembership({
        config,
        selfId: 'b#1',
        members,
        liveIds: ['a#1', 'b#1', 'c#1', 'd#1'],
        targetVoters: 3,
        replaceAfterMs: 1000,
        maxReplyAgeMs: 100,
        retiringIds: new Set(['a#1']),
      });
      if (next === undefined) break;
      config = next;
      configs.push(`${config.voters.join(' ')} + ${config.learners.join(' ')}`);
    }
    t.deepEqual(configs, ['a#1 b#1 c#1 + d#1', 'a#1 b#1 c#1 d#1 + ', 'b#1 c#1 d#1 + ']);
  });
});

describe('seeds', () => {
  test(title('map to the peer addresses of the control processes on their hosts'), (t) => {
    t.deepEqual(seedAddresses(['10.0.0.1:8166'], 7720), [
      { name: '10.0.0.1:7721', host: '10.0.0.1', port: 7721 },
    ]);
  });
});

describe('stores that a store is connected to', () => {
  test(title('are the stores that are up, and the unlisted members of its groups'), (t) => {
    const up = { name: '10.0.0.1:7722', host: '10.0.0.1', port: 7722 };
    const unlisted = { name: '10.0.0.2:7722', host: '10.0.0.2', port: 7722 };
    const groups = [
      { voters: ['10.0.0.1:7722#a', '10.0.0.2:7722#b'], learners: [] },
      { voters: ['10.0.0.1:7722#a'], learners: ['10.0.0.2:7722#b'] },
    ];
    t.deepEqual(storesToConnect([up], groups), [up, unlisted]);
    t.deepEqual(storesToConnect([up], []), [up]);
  });
});
