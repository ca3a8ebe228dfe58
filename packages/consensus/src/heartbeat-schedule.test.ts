import test from 'ava';
import fc from 'fast-check';
import { describe, seededRandom, title } from '@shedline/test-utils';
import { Consensus } from './consensus.js';
import type { ConsensusOptions } from './consensus.js';
import { DEFAULT_RULES, FakeGroup } from './fake-group.js';
import { HeartbeatSchedule } from './heartbeat-schedule.js';
import type { LeaderState } from './heartbeat-schedule.js';

const INTERVALS = { intervalMs: 100, idleIntervalMs: 200 };
const IDLE: LeaderState = {
  commitIndex: 5,
  isSettled: true,
  ackedRound: Infinity,
  hasSilentFollower: false,
};

const stateArbitrary: fc.Arbitrary<LeaderState> = fc.record({
  commitIndex: fc.nat(3),
  isSettled: fc.boolean(),
  ackedRound: fc.nat(20),
  hasSilentFollower: fc.boolean(),
});

describe('HeartbeatSchedule', () => {
  // A follower that learns of commits late serves an old state; late rounds cause elections.
  test(title('is idle only after all followers confirmed the round with the last commit'), (t) => {
    const stepArbitrary = fc.record({ state: stateArbitrary, lateMs: fc.nat(40) });
    fc.assert(
      fc.property(fc.array(stepArbitrary, { minLength: 2, maxLength: 20 }), (steps) => {
        const schedule = new HeartbeatSchedule(INTERVALS);
        let nowMs = 0;
        let firstSettledRound = Infinity;
        let commitIndex = -1;
        for (const [round, { state, lateMs }] of steps.entries()) {
          const dueMs = schedule.dueMs(state);
          const mayBeIdle =
            state.isSettled &&
            !state.hasSilentFollower &&
            state.commitIndex === commitIndex &&
            state.ackedRound >= firstSettledRound;
          const maxMs = mayBeIdle ? INTERVALS.idleIntervalMs : INTERVALS.intervalMs;
          if (dueMs - nowMs > maxMs) return false;
          nowMs = Math.max(nowMs, dueMs) + lateMs;
          schedule.recordRound(round, state, nowMs);
          const isSame = state.commitIndex === commitIndex && firstSettledRound !== Infinity;
          firstSettledRound = state.isSettled ? (isSame ? firstSettledRound : round) : Infinity;
          commitIndex = state.isSettled ? state.commitIndex : commitIndex;
        }
        return true;
      }),
    );
    t.pass();
  });

  test(title('idle groups of a process send their rounds at the same times'), (t) => {
    fc.assert(
      fc.property(fc.nat(1000), fc.nat(20), (startMs, lateMs) => {
        const schedule = new HeartbeatSchedule(INTERVALS);
        schedule.recordRound(1, IDLE, startMs);
        for (let round = 2; round < 6; round += 1) {
          schedule.recordRound(round, IDLE, schedule.dueMs(IDLE) + lateMs);
        }
        return schedule.dueMs(IDLE) % INTERVALS.idleIntervalMs === 0;
      }),
    );
    t.pass();
  });
});

/** Creates members `b` and `c` as in the previous version, with one interval for all heartbeats. */
function createMixed(options: ConsensusOptions): Consensus {
  const idleHeartbeatIntervalMs = options.heartbeatIntervalMs ?? 100;
  const isPrevious = !options.memberId.startsWith('a');
  return new Consensus(isPrevious ? { ...options, idleHeartbeatIntervalMs } : options);
}

describe('idle heartbeats', () => {
  // During a rolling update, voters of both versions lead and follow each other.
  test(title('a group with voters of the previous version keeps its leader and commits'), (t) => {
    for (let seed = 1; seed <= 30; seed += 1) {
      const rules = { ...DEFAULT_RULES, createCore: createMixed };
      const group = new FakeGroup({ random: seededRandom(seed), voters: 3, rules, lossRate: 0 });
      group.run(2000);
      const term = group.highestTerm;
      group.run(10_000);
      t.is(group.highestTerm, term, `seed ${seed}`);
      for (let n = 0; n < 5; n += 1) group.propose(group.leader()?.memberId.split('#')[0] ?? '');
      group.run(500);
      t.is(group.acknowledged.size, 5, `seed ${seed}`);
      group.settle({ isLeaderExpected: true });
      t.deepEqual(group.violations, [], `seed ${seed}`);
    }
  });

  // A third of the election timeout between rounds leaves time for one lost round.
  test(title('an idle group keeps its leader, and elects another one when it crashes'), (t) => {
    for (let seed = 1; seed <= 30; seed += 1) {
      const group = new FakeGroup({ random: seededRandom(seed), voters: 3, lossRate: 0 });
      group.run(2000);
      const term = group.highestTerm;
      group.run(20_000);
      t.is(group.highestTerm, term, `seed ${seed}`);
      const leader = group.leader()?.memberId;
      group.crash(leader?.split('#')[0] ?? '');
      group.run(1500);
      t.truthy(group.leader(), `seed ${seed}`);
      t.not(group.leader()?.memberId, leader, `seed ${seed}`);
    }
  });
});
