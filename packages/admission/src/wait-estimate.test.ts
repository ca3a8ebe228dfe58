import test from 'ava';
import fc from 'fast-check';
import { describe, title } from '@shedline/test-utils';
import { CallerTimeLimits } from './caller-time-limits.js';
import { WaitEstimate, compareWaitingRequests } from './wait-estimate.js';
import type { WaitingRequest } from './wait-estimate.js';

const waiting = fc.record({
  rank: fc.nat(3),
  targetDeadlineMs: fc.nat(2000),
  deadlineMs: fc.nat(9000),
});

const times = fc.integer({ min: 1, max: 60_000 });

function estimateOf(runMs: number): WaitEstimate {
  const estimate = new WaitEstimate();
  estimate.recordRun(runMs);
  return estimate;
}

describe('compareWaitingRequests', () => {
  test(title('defines an order that does not depend on the input order'), (t) => {
    fc.assert(
      fc.property(fc.array(waiting, { maxLength: 20 }), fc.nat(2000), (requests, nowMs) => {
        const ordered = [...requests].sort((a, b) => compareWaitingRequests(a, b, nowMs));
        const fromReversed = [...requests]
          .reverse()
          .sort((a, b) => compareWaitingRequests(a, b, nowMs));
        for (const [index, request] of ordered.entries()) {
          const other = fromReversed[index];
          if (other === undefined || compareWaitingRequests(request, other, nowMs) !== 0)
            return false;
        }
        return true;
      }),
    );
    t.pass();
  });

  test(title('orders requests within their target before late ones of the same rank'), (t) => {
    const late = { rank: 0, targetDeadlineMs: 100, deadlineMs: 400 };
    const earlier = { rank: 0, targetDeadlineMs: 250, deadlineMs: 5000 };
    const later = { rank: 0, targetDeadlineMs: 300, deadlineMs: 5000 };
    const lessUrgent = { rank: 1, targetDeadlineMs: 210, deadlineMs: 300 };
    const order = [lessUrgent, late, later, earlier].sort((a, b) =>
      compareWaitingRequests(a, b, 200),
    );
    t.deepEqual(order, [earlier, later, late, lessUrgent]);
  });
});

describe('WaitEstimate', () => {
  test(title('waits grow with position and number of entries, and shrink with slots'), (t) => {
    fc.assert(
      fc.property(times, fc.integer({ min: 1, max: 50 }), (runMs, position) => {
        const estimate = estimateOf(runMs);
        const capacity = { slots: 4, entryCount: 1 };
        return (
          estimate.waitMs(position + 1, capacity) > estimate.waitMs(position, capacity) &&
          estimate.waitMs(position, { slots: 4, entryCount: 5 }) >
            estimate.waitMs(position, capacity) &&
          estimate.waitMs(position, { slots: 400, entryCount: 1 }) <
            estimate.waitMs(position, capacity)
        );
      }),
    );
    t.pass();
  });

  test(title('the wait at the first position does not depend on the number of entries'), (t) => {
    fc.assert(
      fc.property(times, fc.integer({ min: 1, max: 60 }), (runMs, entryCount) => {
        const estimate = estimateOf(runMs);
        return estimate.waitMs(0, { slots: 16, entryCount }) === runMs / 16;
      }),
    );
    // Callers wait for 1 s, a run takes 600 ms and 13 entries share 16 slots.
    const request: WaitingRequest = { rank: 0, targetDeadlineMs: 300, deadlineMs: 1000 };
    t.false(estimateOf(600).willMissDeadline(request, 0, { slots: 16, entryCount: 13 }, 0));
  });

  test(title('rejects requests that cannot end before their deadline, at any run time'), (t) => {
    for (const runMs of [5, 600, 45_000]) {
      const estimate = estimateOf(runMs);
      const capacity = { slots: 10, entryCount: 2 };
      const request: WaitingRequest = { rank: 0, targetDeadlineMs: 0, deadlineMs: 3 * runMs };
      t.false(estimate.willMissDeadline(request, 0, capacity, 0));
      t.false(estimate.willMissDeadline(request, 8, capacity, 0));
      t.true(estimate.willMissDeadline(request, 10, capacity, 0));
      t.true(estimate.willMissDeadline(request, 0, capacity, 2 * runMs));
    }
  });

  test(title('the wait is infinite without slots'), (t) => {
    t.is(estimateOf(1).waitMs(0, { slots: 0, entryCount: 1 }), Infinity);
  });
});

describe('CallerTimeLimits', () => {
  test(title('distinguishes retries from first attempts, some of which wait much longer'), (t) => {
    const timeLimits = new CallerTimeLimits();
    t.is(timeLimits.sinceFirstAttemptMs(700), 0);
    for (let index = 0; index < 50; index += 1) {
      timeLimits.record(index % 20 === 0 ? 60_000 : 2000);
      if (index % 5 === 0) timeLimits.record(1400);
    }
    t.is(timeLimits.sinceFirstAttemptMs(1400), 600);
    t.is(timeLimits.sinceFirstAttemptMs(2000), 0);
    t.is(timeLimits.sinceFirstAttemptMs(60_000), 0);
  });
});
