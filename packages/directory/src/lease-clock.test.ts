import test from 'ava';
import fc from 'fast-check';
import { describe, title } from '@shedline/test-utils';
import { LeaseClock } from './lease-clock.js';

const USUAL_MS = 700;
const LONGEST_MS = 15_000;

function clock(): LeaseClock {
  return new LeaseClock({ usualSilenceMs: USUAL_MS, longestSilenceMs: LONGEST_MS });
}

describe('LeaseClock', () => {
  test(title('runs like any other while something is heard'), (t) => {
    const gaps = fc.array(fc.integer({ min: 0, max: USUAL_MS }), { minLength: 1 });
    fc.assert(
      fc.property(gaps, (all) => {
        const subject = clock();
        let nowMs = 5000;
        for (const gapMs of all) {
          nowMs += gapMs;
          subject.heard(nowMs);
        }
        t.is(subject.at(nowMs), nowMs);
      }),
    );
  });

  test(title('never goes back, and never runs faster than time'), (t) => {
    const steps = fc.array(
      fc.record({ forMs: fc.integer({ min: 0, max: 40_000 }), isHeard: fc.boolean() }),
    );
    fc.assert(
      fc.property(steps, (all) => {
        const subject = clock();
        let nowMs = 0;
        let readingMs = subject.at(nowMs);
        for (const { forMs, isHeard } of all) {
          nowMs += forMs;
          if (isHeard) subject.heard(nowMs);
          const nextMs = subject.at(nowMs);
          t.true(nextMs >= readingMs && nextMs - readingMs <= forMs);
          readingMs = nextMs;
        }
      }),
    );
  });

  test(title('stands still while nothing is heard, but not for ever'), (t) => {
    const subject = clock();
    subject.heard(0);
    t.is(subject.at(USUAL_MS), USUAL_MS);
    t.is(subject.at(LONGEST_MS), USUAL_MS);
    t.is(subject.at(LONGEST_MS + 100), USUAL_MS + 100);
  });
});
