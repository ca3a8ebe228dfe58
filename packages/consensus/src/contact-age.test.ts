import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { Consensus } from './consensus.js';

const VOTERS = ['a#1', 'b#1', 'c#1'];

function member(voters: readonly string[]): Consensus {
  return new Consensus({
    memberId: 'a#1',
    random: () => 0,
    nowMs: 0,
    snapshot: { index: 0, term: 0, config: { voters, learners: [] } },
    electionTimeoutMs: 600,
  });
}

describe('quorumContactAgeMs', () => {
  test(title('of a follower is the time since the last message of its leader'), (t) => {
    const follower = member(VOTERS);
    t.is(follower.quorumContactAgeMs(100), Infinity);
    const heartbeat = { type: 'heartbeat', from: 'b#1', to: 'a#1', term: 1 } as const;
    follower.receive({ ...heartbeat, commitIndex: 0, round: 1 }, 200);
    t.is(follower.quorumContactAgeMs(250), 50);
    t.is(follower.quorumContactAgeMs(5000), 4800);
  });

  test(title('of a leader is the time since a quorum was last in contact'), (t) => {
    const leader = member(VOTERS);
    leader.tick(600);
    leader.receive({ type: 'preVoteReply', from: 'b#1', to: 'a#1', term: 0, granted: true }, 610);
    leader.receive({ type: 'voteReply', from: 'b#1', to: 'a#1', term: 1, granted: true }, 620);
    t.is(leader.role, 'leader');
    leader.receive({ type: 'heartbeatReply', from: 'b#1', to: 'a#1', term: 1, round: 1 }, 700);
    t.is(leader.quorumContactAgeMs(900), 200, 'one of the two followers completes the quorum');
    const alone = member(['a#1']);
    t.is(alone.quorumContactAgeMs(5000), 0);
  });
});
