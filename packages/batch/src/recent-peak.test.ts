import test from 'ava';
import fc from 'fast-check';
import { describe, title } from '@shedline/test-utils';
import { RecentPeak } from './recent-peak.js';
import { spareSlots } from './spare-slots.js';

describe('recent peak', () => {
  test(title('is the highest value of the window'), (t) => {
    const samples = fc.array(fc.record({ value: fc.nat(20), stepMs: fc.nat(100) }), {
      minLength: 1,
      maxLength: 60,
    });
    fc.assert(
      fc.property(samples, (steps) => {
        const windowMs = 150;
        const peak = new RecentPeak({ windowMs });
        const seen: { value: number; atMs: number }[] = [];
        let nowMs = 0;
        for (const { value, stepMs } of steps) {
          nowMs += stepMs;
          seen.push({ value, atMs: nowMs });
          const within = seen.filter(({ atMs }) => atMs >= nowMs - windowMs);
          const expected = Math.max(...within.map((sample) => sample.value));
          if (peak.note(value, nowMs) !== expected) return false;
        }
        return true;
      }),
      { seed: 1 },
    );
    t.pass();
  });
});

describe('spare slots', () => {
  test(title('are never negative and leave the reserve free'), (t) => {
    t.is(spareSlots({ slots: 8, online: 3, reserve: 1 }), 4);
    t.is(spareSlots({ slots: 8, online: 9, reserve: 0 }), 0);
  });
});
