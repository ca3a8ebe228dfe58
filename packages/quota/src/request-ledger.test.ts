import test from 'ava';
import fc from 'fast-check';
import { describe, title } from '@shedline/test-utils';
import { RequestLedger } from './request-ledger.js';
import { allowedInWindow } from './tolerance.js';

const TOLERANCE = { windowMs: 5000, overshootShare: 0.1, slack: 20 };
const WORKSPACE = 'w';
const LONG_AGO_MS = -100_000;

function ledgerOf(startedAtMs = LONG_AGO_MS): RequestLedger {
  return new RequestLedger({ tolerance: TOLERANCE, startedAtMs });
}

describe('RequestLedger', () => {
  test(title('keeps grants within the limit and its tolerance under any schedule'), (t) => {
    const step = fc.record({ afterMs: fc.nat(400), wanted: fc.integer({ min: 1, max: 30 }) });
    const limit = fc.record({ ratePerS: fc.integer({ min: 1, max: 80 }), burst: fc.nat(80) });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 200 }), limit, (steps, { ratePerS, burst }) => {
        const terms = { ratePerS, burst, version: 1 };
        const ledger = ledgerOf();
        const grants: { atMs: number; count: number }[] = [];
        let nowMs = 0;
        for (const { afterMs, wanted } of steps) {
          nowMs += afterMs;
          const { granted, roomInMs } = ledger.grant(
            { workspace: WORKSPACE, terms, wanted },
            nowMs,
          );
          grants.push({ atMs: nowMs, count: granted });
          t.true(granted <= wanted && (granted === wanted || roomInMs > 0));
        }
        const allowed = allowedInWindow(terms, TOLERANCE);
        const maxRequests = allowed * (1 + TOLERANCE.overshootShare) + TOLERANCE.slack;
        for (const { atMs } of grants) {
          const inWindow = grants.filter((grant) => grant.atMs > atMs - 5000 && grant.atMs <= atMs);
          t.true(inWindow.reduce((sum, { count }) => sum + count, 0) <= maxRequests);
        }
      }),
      { seed: 22, numRuns: 150 },
    );
  });

  test(title('assigns refused requests successive retry times'), (t) => {
    const ledger = ledgerOf();
    const terms = { ratePerS: 10, burst: 10, version: 1 };
    const roomInMs = (wanted: number, nowMs: number): number =>
      ledger.grant({ workspace: WORKSPACE, terms, wanted }, nowMs).roomInMs;
    ledger.report({ workspace: WORKSPACE, terms, used: 1000 }, 0);
    ledger.grant({ workspace: WORKSPACE, terms, wanted: 1 }, 0);
    const other = ledgerOf();
    other.grant({ workspace: WORKSPACE, terms, wanted: 100 }, 0);
    const first = other.grant({ workspace: WORKSPACE, terms, wanted: 1 }, 0);
    const second = other.grant({ workspace: WORKSPACE, terms, wanted: 1 }, 0);
    t.is(Math.round(second.roomInMs - first.roomInMs), 100, 'one request interval apart');
    t.is(roomInMs(1, 1), 10_000, 'limited to the maximum wait');
  });

  test(title('applies the newest version of a limit'), (t) => {
    const ledger = ledgerOf();
    const high = { ratePerS: 100, burst: 100, version: 1 };
    const low = { ratePerS: 1, burst: 1, version: 2 };
    ledger.report({ workspace: WORKSPACE, terms: high, used: 0 }, 0);
    ledger.report({ workspace: WORKSPACE, terms: low, used: 0 }, 2000);
    const { granted } = ledger.grant({ workspace: WORKSPACE, terms: high, wanted: 200 }, 2000);
    t.true(granted <= 12, `a lagging entry must not restore the old limit: ${granted}`);
  });

  test(title('starts new counts after a suspension'), (t) => {
    const ledger = ledgerOf();
    const terms = { ratePerS: 50, burst: 50, version: 1 };
    for (let nowMs = 0; nowMs <= 1000; nowMs += 500) ledger.tick(nowMs);
    ledger.grant({ workspace: WORKSPACE, terms, wanted: 100 }, 1000);
    ledger.tick(5000);
    const { granted } = ledger.grant({ workspace: WORKSPACE, terms, wanted: 100 }, 5000);
    t.true(granted < 50, `the bucket must not refill during the suspension: ${granted}`);
  });
});
