import test from 'ava';
import fc from 'fast-check';
import { describe, title } from '@shedline/test-utils';
import { TickSchedule } from './tick-schedule.js';

const MIN_INTERVAL_MS = 20;
const MAX_DELAY_MS = 500;

describe('TickSchedule', () => {
  // A timer that is armed too late delays elections and heartbeats.
  test(title('fires within the minimum interval of the earliest due time'), (t) => {
    const stepArbitrary = fc.record({
      thenMs: fc.nat(300),
      dueInMs: fc.integer({ min: -50, max: 2000 }),
    });
    fc.assert(
      fc.property(fc.array(stepArbitrary, { minLength: 1, maxLength: 40 }), (steps) => {
        const schedule = new TickSchedule();
        let nowMs = 0;
        let fireAtMs = Infinity;
        let lastTickAtMs = -Infinity;
        for (const { thenMs, dueInMs } of steps) {
          nowMs = Math.min(nowMs + thenMs, fireAtMs);
          if (nowMs === fireAtMs) {
            schedule.fired(nowMs);
            schedule.ticked(nowMs);
            if (nowMs - lastTickAtMs < MIN_INTERVAL_MS) return false;
            lastTickAtMs = nowMs;
            fireAtMs = Infinity;
          }
          const delayMs = schedule.arm(nowMs + dueInMs, nowMs);
          if (delayMs !== undefined) fireAtMs = nowMs + delayMs;
          const latestMs = Math.max(nowMs + dueInMs, nowMs, lastTickAtMs + MIN_INTERVAL_MS);
          if (fireAtMs > latestMs || fireAtMs > nowMs + MAX_DELAY_MS) return false;
        }
        return true;
      }),
    );
    t.pass();
  });

  // A follower that was suspended would start an election although heartbeats wait to be read.
  test(title('a late timer lets messages be read before the tick'), (t) => {
    const schedule = new TickSchedule();
    t.is(schedule.arm(100, 0), 100);
    t.false(schedule.fired(110));
    t.is(schedule.arm(300, 110), 190);
    t.true(schedule.fired(800));
  });
});
