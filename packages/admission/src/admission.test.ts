import test from 'ava';
import fc from 'fast-check';
import { describe, title } from '@shedline/test-utils';
import { ConcurrencyLimit } from './concurrency-limit.js';
import { OverloadGate } from './overload-gate.js';
import { QuotaHolder } from './quota.js';
import { RateBucket } from './rate.js';
import { RetryBudget } from './retry-budget.js';
import { mayRetry, ranAfterAttempts } from './retry-decision.js';
import type { SendProgress } from './retry-decision.js';
import { RowLimits } from './row-limits.js';

const SEED = 23;
const progress = fc.constantFrom<SendProgress>('notSent', 'refused', 'sent');

describe('retries', () => {
  test(title('"not run" is reported only if no attempt can have run'), (t) => {
    fc.assert(
      fc.property(fc.array(progress, { maxLength: 6 }), (attempts) => {
        t.is(ranAfterAttempts(attempts) === 'no', !attempts.includes('sent'));
      }),
      { seed: SEED },
    );
  });

  test(title('a non-idempotent request can run at most once'), (t) => {
    fc.assert(
      fc.property(fc.array(progress, { minLength: 1, maxLength: 8 }), (outcomes) => {
        let possiblyRun = 0;
        for (const [index, outcome] of outcomes.entries()) {
          if (outcome === 'sent') possiblyRun += 1;
          const attempt = {
            progress: outcome,
            idempotent: false,
            attempts: index + 1,
            maxAttempts: 99,
            leftMs: 1000,
            hasAlternative: true,
          };
          if (!mayRetry(attempt)) break;
        }
        t.true(possiblyRun <= 1);
      }),
      { seed: SEED },
    );
  });

  test(title('retries stay within a fifth of the requests plus the initial budget'), (t) => {
    fc.assert(
      fc.property(fc.array(fc.boolean(), { maxLength: 400 }), (events) => {
        const budget = new RetryBudget();
        let requests = 0;
        let retries = 0;
        for (const isRequest of events) {
          if (isRequest) {
            requests += 1;
            budget.recordRequest();
          } else if (budget.takeRetry()) retries += 1;
        }
        t.true(retries <= 20 + 0.2 * requests);
      }),
      { seed: SEED },
    );
  });
});

describe('limits', () => {
  test(title('a bucket never grants more than its rate plus one second of burst'), (t) => {
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 0, max: 300 }), { maxLength: 100 }), (gaps) => {
        const bucket = new RateBucket();
        let nowMs = 0;
        let taken = 0;
        for (const gapMs of gaps) {
          nowMs += gapMs;
          while (bucket.take(1, 20, nowMs)) taken += 1;
        }
        t.true(taken <= 20 + (20 * nowMs) / 1000 + 1);
      }),
      { seed: SEED },
    );
  });

  test(title('concurrency never exceeds the share, and a refusal has a retry delay'), (t) => {
    const limits = new RowLimits(new QuotaHolder({ entryCount: 1 }));
    const row = { requestsPerSecond: 1000, concurrentRequests: 20, tokensPerSecond: 1000 };
    let admitted = 0;
    for (let n = 0; n < 50; n += 1) if (limits.admit('w/s', row, 0).admitted) admitted += 1;
    t.is(admitted, 4);
    const refused = limits.admit('w/s', row, 1);
    t.true(
      !refused.admitted && refused.limit === 'concurrentRequests' && refused.retryAfterMs >= 50,
    );
    limits.release('w/s');
    t.true(limits.admit('w/s', row, 2).admitted);
  });

  test(title('tokens used beyond the rate delay the next request'), (t) => {
    const limits = new RowLimits(new QuotaHolder({ entryCount: 1 }));
    const row = { requestsPerSecond: 1000, concurrentRequests: 1000, tokensPerSecond: 500 };
    t.true(limits.admit('w/s', row, 0).admitted);
    limits.chargeTokens('w/s', 300);
    t.like(limits.admit('w/s', row, 100), { admitted: false, limit: 'tokensPerSecond' });
    t.true(limits.admit('w/s', row, 3000).admitted);
  });
});

describe('OverloadGate', () => {
  const request = { row: 'w/a', weight: 1, load: 0, capacity: 10, isOpenSession: false };

  test(
    title('never refuses requests of open sessions, and refuses new sessions when full'),
    (t) => {
      fc.assert(
        fc.property(fc.nat(100), fc.nat(20), fc.boolean(), (load, capacity, isOpenSession) => {
          const decision = new OverloadGate().decide(
            { ...request, load, capacity, isOpenSession },
            0,
          );
          if (isOpenSession) t.true(decision.admitted);
          else if (load >= capacity) t.false(decision.admitted);
          if (!decision.admitted)
            t.true(decision.retryAfterMs >= 200 && decision.retryAfterMs <= 5000);
        }),
        { seed: SEED },
      );
    },
  );

  test(title('near full utilization, the row above its weighted share is refused first'), (t) => {
    const gate = new OverloadGate();
    for (let n = 0; n < 6; n += 1) gate.decide({ ...request, row: 'w/above-share' }, 0);
    for (let n = 0; n < 2; n += 1) gate.decide({ ...request, row: 'w/below-share' }, 0);
    const nearFull = { ...request, load: 9.5 };
    t.false(gate.decide({ ...nearFull, row: 'w/above-share' }, 0).admitted);
    t.true(gate.decide({ ...nearFull, row: 'w/below-share' }, 0).admitted);
  });
});

describe('ConcurrencyLimit', () => {
  test(title('shrinks while first tokens exceed the target and grows again afterwards'), (t) => {
    const limit = new ConcurrencyLimit({ targetMs: 100, initial: 32, max: 64 });
    for (let n = 0; n < 120; n += 1) limit.addSample(200, 32);
    const shrunk = limit.value;
    t.true(shrunk < 10);
    for (let n = 0; n < 240; n += 1) limit.addSample(20, 32);
    t.true(limit.value > shrunk + 10);
  });
});
