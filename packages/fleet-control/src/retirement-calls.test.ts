import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { RetirementCalls } from './retirement-calls.js';
import type { RetireOutcome, RetireProgress } from './store-lifecycle.js';

/** Calls at a process with this knowledge, and a leader that knows the store and its retirement. */
function callsWith(local: { outcome: RetireOutcome; progress: RetireProgress | undefined }) {
  const leaderCalls: string[] = [];
  const calls = new RetirementCalls({
    lifecycle: {
      retire: () => Promise.resolve(local.outcome),
      retirement: () => Promise.resolve(local.progress),
    },
    callLeader: (method) => {
      leaderCalls.push(method);
      return Promise.resolve(method === 'retire' ? 'accepted' : 'running');
    },
  });
  return { calls, leaderCalls };
}

/*
 * Guards against 404 for a store that is retiring: a control process that restarts does not know
 * the live stores, and one that lags behind the leader does not know the retirement.
 */
describe('RetirementCalls', () => {
  test(title('asks the leader if this process knows no such store or retirement'), async (t) => {
    const { calls, leaderCalls } = callsWith({ outcome: 'unknown', progress: undefined });
    t.is(await calls.retire('store-1'), 'accepted');
    t.is(await calls.retirement('store-1'), 'running');
    t.deepEqual(leaderCalls, ['retire', 'retirement']);
  });

  test(title('does not ask the leader for what this process knows'), async (t) => {
    const { calls, leaderCalls } = callsWith({ outcome: 'tooFew', progress: 'complete' });
    t.is(await calls.retire('store-1'), 'tooFew');
    t.is(await calls.retirement('store-1'), 'complete');
    t.deepEqual(leaderCalls, []);
  });

  test(
    title('fails instead of answering that there is none if the leader is silent'),
    async (t) => {
      const calls = new RetirementCalls({
        lifecycle: undefined,
        callLeader: () => Promise.reject(new Error('no leader')),
      });
      await t.throwsAsync(calls.retirement('store-1'), { message: 'no leader' });
    },
  );
});
