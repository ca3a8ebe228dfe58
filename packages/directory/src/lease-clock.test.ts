import test from 'ava';
import fc from 'fast-check';
import { describe, title } from '@shedline/test-utils';
import { LeaseClock } from './lease-clock.js';

const USUAL_MS = 700;
const LONGEST_MS = 15_000;

function clock(): LeaseClock {
  return new LeaseClock({ pauseAfterMs: USUAL_MS, resumeAfterMs: LONGEST_MS });
}

describe('LeaseClock', () => {
  test(title('follows the steady clock while messages are received'), (t) => {
    const gaps = fc.array(fc.integer({ min: 0, max: USUAL_MS }), { minLength: 1 });
    fc.assert(
      fc.property(gaps, (gapsMs) => {
        const leaseClock = clock();
        let nowMs = 5000;
        for (const gapMs of gapsMs) {
          nowMs += gapMs;
          leaseClock.messageReceived(nowMs);
        }
        t.is(leaseClock.at(nowMs), nowMs);
      }),
    );
  });

  test(title('never runs backwards, and never faster than the steady clock'), (t) => {
    const steps = fc.array(
      fc.record({ elapsedMs: fc.integer({ min: 0, max: 40_000 }), isReceived: fc.boolean() }),
    );
    fc.assert(
      fc.property(steps, (sequence) => {
        const leaseClock = clock();
        let nowMs = 0;
        let readingMs = leaseClock.at(nowMs);
        for (const { elapsedMs, isReceived } of sequence) {
          nowMs += elapsedMs;
          if (isReceived) leaseClock.messageReceived(nowMs);
          const nextMs = leaseClock.at(nowMs);
          t.true(nextMs >= readingMs && nextMs - readingMs <= elapsedMs);
          readingMs = nextMs;
        }
      }),
    );
  });

  test(title('pauses while nothing is received, and resumes after the longest pause'), (t) => {
    const leaseClock = clock();
    leaseClock.messageReceived(0);
    t.is(leaseClock.at(USUAL_MS), USUAL_MS);
    t.is(leaseClock.at(LONGEST_MS), USUAL_MS);
    t.is(leaseClock.at(LONGEST_MS + 100), USUAL_MS + 100);
  });
});
