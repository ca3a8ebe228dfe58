import test from 'ava';
import fc from 'fast-check';
import { describe, title } from '@shedline/test-utils';
import { EventFramer, dataOf } from './event-framer.js';
import { RequestPlan } from './request-plan.js';
import type { RequestPlanOptions, SendOutcome } from './request-plan.js';

const DEADLINE_MS = 1000;

const outcome: fc.Arbitrary<SendOutcome> = fc.oneof(
  fc.constant<SendOutcome>({ kind: 'notSent', reason: 'r' }),
  fc.constant<SendOutcome>({ kind: 'refused', status: 503 }),
  fc.constant<SendOutcome>({ kind: 'lost', reason: 'r' }),
  fc.constant<SendOutcome>({ kind: 'failed', status: 500 }),
  fc.constant<SendOutcome>({ kind: 'brokeOff', reason: 'r' }),
);

const options: fc.Arbitrary<RequestPlanOptions> = fc.record({
  kind: fc.constantFrom('idempotent' as const, 'once' as const, 'stream' as const),
  isResumable: fc.boolean(),
  maxAttempts: fc.integer({ min: 1, max: 4 }),
  deadlineMs: fc.constant(DEADLINE_MS),
});

const steps = fc.array(fc.record({ outcome, passesOn: fc.boolean(), takesMs: fc.nat(200) }), {
  maxLength: 12,
});

function didNotRun(result: SendOutcome): boolean {
  return result.kind === 'notSent' || result.kind === 'refused';
}

describe('request plan', () => {
  test(title('only a resumable stream with attempts left may go on elsewhere'), (t) => {
    const given = { kind: 'stream', isResumable: true, maxAttempts: 2, deadlineMs: 100 } as const;
    const plan = new RequestPlan(given);
    t.true(plan.mayGoOnElsewhere);
    plan.after({ kind: 'brokeOff', reason: 'r' }, 0);
    t.false(plan.mayGoOnElsewhere, 'the second send is the last');
    t.false(new RequestPlan({ ...given, isResumable: false }).mayGoOnElsewhere);
    t.false(new RequestPlan({ ...given, maxAttempts: 1 }).mayGoOnElsewhere);
  });

  test(title('what is refused as not run has not run, and what may run once runs once'), (t) => {
    fc.assert(
      fc.property(options, steps, (given, all) => {
        const plan = new RequestPlan(given);
        const mayRepeat =
          given.kind === 'idempotent' || (given.kind === 'stream' && given.isResumable);
        let nowMs = 0;
        let runs = 0;
        let step = plan.first();
        for (const { outcome: result, passesOn, takesMs } of all) {
          if (step.action !== 'send') break;
          nowMs += takesMs;
          const begins = passesOn && result.kind === 'brokeOff';
          if (begins) plan.passedOn('1');
          if (!didNotRun(result)) runs += 1;
          step = plan.after(result, nowMs);
          if (step.action === 'refuse' && runs > 0) return false;
          if (step.action === 'send' && nowMs >= DEADLINE_MS) return false;
          if (step.action === 'send' && runs > 0 && !mayRepeat) return false;
          if (runs > given.maxAttempts) return false;
        }
        return true;
      }),
      { seed: 6, numRuns: 500 },
    );
    t.pass();
  });

  test(title('a resumable stream goes on behind the last whole event'), (t) => {
    const plan = new RequestPlan({
      kind: 'stream',
      isResumable: true,
      maxAttempts: 2,
      deadlineMs: DEADLINE_MS,
    });
    plan.passedOn('7');
    t.deepEqual(plan.after({ kind: 'brokeOff', reason: 'r' }, 10), {
      action: 'send',
      resumeAfterEventId: '7',
    });
    t.deepEqual(plan.after({ kind: 'brokeOff', reason: 'r' }, 20), { action: 'cut' });
  });

  test(title('a failure of the endpoint is passed on once no attempt is left'), (t) => {
    const plan = new RequestPlan({
      kind: 'idempotent',
      isResumable: false,
      maxAttempts: 2,
      deadlineMs: DEADLINE_MS,
    });
    t.is(plan.after({ kind: 'failed', status: 500 }, 10).action, 'send');
    t.is(plan.after({ kind: 'failed', status: 500 }, 20).action, 'passOn');
  });

  test(title('time that runs out at an endpoint is a timeout, not a refusal'), (t) => {
    const plan = new RequestPlan({
      kind: 'once',
      isResumable: false,
      maxAttempts: 1,
      deadlineMs: DEADLINE_MS,
    });
    t.deepEqual(plan.timeUp(), { action: 'fail', isTimeout: true });
    t.deepEqual(plan.giveUp(DEADLINE_MS), { action: 'fail', isTimeout: true });
  });
});

describe('event framer', () => {
  test(title('gives the same whole events however the bytes are cut'), (t) => {
    const events = fc.array(
      fc.record({
        id: fc.nat(1000),
        data: fc.stringMatching(/^[a-zA-Z0-9 ]{0,20}$/),
        crlf: fc.boolean(),
      }),
      { minLength: 1, maxLength: 8 },
    );
    fc.assert(
      fc.property(
        events,
        fc.array(fc.nat(40), { maxLength: 40 }),
        fc.nat(10),
        (all, cuts, extra) => {
          const texts = all.map(({ id, data, crlf }) => {
            const end = crlf ? '\r\n' : '\n';
            return `id: ${id}${end}data: ${data}${end}${end}`;
          });
          const rest = 'id: 9'.slice(0, extra);
          const bytes = Buffer.from(texts.join('') + rest);
          const framer = new EventFramer();
          const got: { bytes: Buffer; id: string | undefined }[] = [];
          let start = 0;
          for (const length of [...cuts, bytes.length]) {
            got.push(...framer.take(bytes.subarray(start, start + length)));
            start += length;
          }
          return (
            got.map((event) => event.bytes.toString()).join('|') === texts.join('|') &&
            got.every((event, index) => event.id === String(all[index]?.id)) &&
            got.every((event, index) => dataOf(event) === all[index]?.data) &&
            framer.pendingBytes === rest.length
          );
        },
      ),
      { seed: 7 },
    );
    t.pass();
  });

  test(title('reads data of several lines, and a line in front of the fields'), (t) => {
    const text = 'x-weight-versions: 2\nid: 4\ndata: a\ndata: b\n\n';
    const [event] = new EventFramer().take(Buffer.from(text));
    t.is(event?.id, '4');
    t.is(event === undefined ? '' : dataOf(event), 'a\nb');
  });
});
