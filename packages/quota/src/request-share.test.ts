import test from 'ava';
import fc from 'fast-check';
import { describe, title } from '@shedline/test-utils';
import { RequestShare } from './request-share.js';
import { allowedInWindow } from './tolerance.js';

const TOLERANCE = { windowMs: 5000, overshootShare: 0.1, slack: 20 };
const terms = (
  ratePerS: number,
  burst = ratePerS,
): { ratePerS: number; burst: number; version: number } => ({
  ratePerS,
  burst,
  version: 1,
});

function shareOf(index: number, entryCount: number): RequestShare {
  const share = new RequestShare({ self: `e${index}`, tolerance: TOLERANCE });
  share.recordEntryCount(entryCount);
  return share;
}

describe('an entry that reaches no counter', () => {
  test(title('admits, together with all such entries, no more than the limit in a window'), (t) => {
    const entryCounts = fc.integer({ min: 1, max: 60 });
    const limits = fc.record({ ratePerS: fc.integer({ min: 1, max: 60 }), burst: fc.nat(60) });
    fc.assert(
      fc.property(entryCounts, limits, fc.nat(1000), (entryCount, { ratePerS, burst }, seed) => {
        const own = terms(ratePerS, burst);
        const shares = Array.from({ length: entryCount }, (_, index) => shareOf(index, entryCount));
        let admitted = 0;
        for (let nowMs = seed; nowMs < seed + TOLERANCE.windowMs; nowMs += 50) {
          for (const share of shares) {
            if (!share.mayAdmitAlone('w', own, nowMs)) continue;
            share.recordAdmitted('w', own, { isCounted: false, nowMs });
            admitted += 1;
          }
        }
        const allowed = allowedInWindow(own, TOLERANCE);
        // Fractions are rounded up by hash, so the number of such entries varies around its mean.
        t.true(admitted <= allowed + 3 * Math.sqrt(entryCount), `${admitted} of ${allowed}`);
      }),
      { seed: 21, numRuns: 60 },
    );
  });

  test(title('admits as much as before, even if its part of the limit is smaller'), (t) => {
    const share = shareOf(0, 50);
    const own = terms(20);
    let nowMs = 0;
    for (; nowMs < 5000; nowMs += 250) share.recordAdmitted('w', own, { isCounted: false, nowMs });
    t.is(share.modeOf('w', false, nowMs), 'alone');
    let admitted = 0;
    for (; nowMs < 10_000; nowMs += 50) {
      if (!share.mayAdmitAlone('w', own, nowMs)) continue;
      share.recordAdmitted('w', own, { isCounted: false, nowMs });
      admitted += 1;
    }
    t.true(admitted >= 18 && admitted <= 22, String(admitted));
  });
});

describe('an entry that reaches a counter', () => {
  test(title('reports each request once, and its earlier requests to a new counter'), (t) => {
    const share = shareOf(0, 3);
    const own = terms(5);
    const reportsTo = (counter: string | undefined, nowMs: number): unknown => [
      ...share.takeReports(() => counter, nowMs),
    ];
    share.recordAdmitted('w', own, { isCounted: false, nowMs: 0 });
    share.recordAdmitted('w', own, { isCounted: true, nowMs: 100 });
    const report = { workspace: 'w', terms: own };
    t.deepEqual(reportsTo('a', 200), [['a', [{ ...report, used: 1 }]]]);
    t.deepEqual(reportsTo('a', 300), []);
    share.recordReturned('w', own, 400);
    t.deepEqual(reportsTo(undefined, 450), [], 'kept until a counter is reached');
    t.deepEqual(reportsTo('a', 500), [['a', [{ ...report, used: -1 }]]]);
    share.recordAdmitted('w', own, { isCounted: false, nowMs: 1100 });
    const usedBefore = [0, 0, 1, 0, 0, 0, 0, 0, 0, 0];
    t.deepEqual(reportsTo('b', 1200), [['b', [{ ...report, used: 1, usedBefore }]]]);
    t.deepEqual(reportsTo('b', 1300), []);
  });

  test(title('requires grants near the limit until the notification expires'), (t) => {
    const share = shareOf(0, 3);
    t.is(share.modeOf('w', true, 0), 'open');
    share.updateNearLimit(['w'], 0);
    t.is(share.modeOf('w', true, 1000), 'ask');
    t.is(share.modeOf('other', true, 1000), 'open');
    t.is(share.modeOf('w', true, 2000), 'open');
    share.removeIdle(2000);
    t.is(share.modeOf('w', false, 2000), 'alone');
  });
});
