import test from 'ava';
import fc from 'fast-check';
import { describe, title } from '@shedline/test-utils';
import {
  PRESENCE_CHECK_INTERVAL_MS,
  PRESENCE_INTERVAL_MS,
  PresenceSchedule,
} from './presence-schedule.js';

const JITTER_MS = 50;

describe('PresenceSchedule', () => {
  // A peer that gets no announcement for 2.5 s replaces this process in its groups.
  test(title('announces to each connected peer in time, and to a new connection at once'), (t) => {
    const checkArbitrary = fc.record({
      connected: fc.subarray(['a', 'b', 'c']),
      jitterMs: fc.nat(JITTER_MS),
    });
    fc.assert(
      fc.property(fc.array(checkArbitrary, { maxLength: 40 }), (checks) => {
        const schedule = new PresenceSchedule();
        const lastMs = new Map<string, number>();
        for (const [count, { connected, jitterMs }] of checks.entries()) {
          const nowMs = count * PRESENCE_CHECK_INTERVAL_MS + jitterMs;
          for (const name of [...lastMs.keys()]) if (!connected.includes(name)) lastMs.delete(name);
          const due = schedule.due(connected, nowMs);
          for (const name of connected) {
            const sinceMs = nowMs - (lastMs.get(name) ?? -Infinity);
            if (sinceMs > PRESENCE_INTERVAL_MS - JITTER_MS && !due.includes(name)) return false;
            if (sinceMs < PRESENCE_INTERVAL_MS / 2 && due.includes(name)) return false;
          }
          for (const name of due) lastMs.set(name, nowMs);
        }
        return true;
      }),
    );
    t.pass();
  });
});
