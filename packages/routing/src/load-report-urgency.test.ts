import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { LoadReportUrgency } from './load-report-urgency.js';

const urgency = new LoadReportUrgency();
const NONE = { online: 0, batch: 0 };
const ONE = { online: 1, batch: 0 };

describe('LoadReportUrgency', () => {
  test(title('reports of an endpoint with most slots free wait, by the rate of starts'), (t) => {
    t.is(urgency.delayMs({ own: ONE, known: 1, slots: 8, startsPerS: 1 }, NONE), 1000);
    t.is(urgency.delayMs({ own: ONE, known: 1, slots: 8, startsPerS: 40 }, NONE), 100);
  });

  test(title('a load is urgent if the endpoint is nearly full, or looks so to others'), (t) => {
    t.is(urgency.delayMs({ own: ONE, known: 5, slots: 8, startsPerS: 1 }, NONE), 25);
    const reported = { online: 3, batch: 2 };
    t.is(urgency.delayMs({ own: NONE, known: 0, slots: 8, startsPerS: 0 }, reported), 25);
    t.is(urgency.delayMs({ own: ONE, known: 1, slots: 0, startsPerS: 0 }, NONE), 25);
  });

  test(title('an item that replaces a request is two changes, not none'), (t) => {
    const load = { own: { online: 0, batch: 1 }, known: 2, slots: 8, startsPerS: 1 };
    t.is(urgency.delayMs(load, ONE), 25);
  });
});
