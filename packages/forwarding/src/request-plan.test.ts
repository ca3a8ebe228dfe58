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

const steps = fc.array(fc.record({ outcome, isForwarded: fc.boolean(), tookMs: fc.nat(200) }), {
  maxLength: 12,
});

function isNotExecuted(result: SendOutcome): boolean {
  return result.kind === 'notSent' || result.kind === 'refused';
}

describe('request plan', () => {
  test(title('only a resumable stream with attempts left may continue elsewhere'), (t) => {
    const given = { kind: 'stream', isResumable: true, maxAttempts: 2, deadlineMs: 100 } as const;
    const plan = new RequestPlan(given);
    t.true(plan.mayContinueElsewhere);
    plan.afterSend({ kind: 'brokeOff', reason: 'r' }, 0);
    t.false(plan.mayContinueElsewhere, 'the second send is the last');
    t.false(new RequestPlan({ ...given, isResumable: false }).mayContinueElsewhere);
    t.false(new RequestPlan({ ...given, maxAttempts: 1 }).mayContinueElsewhere);
  });

  test(
    title('refuses only unexecuted requests, and executes once those that may not be repeated'),
    (t) => {
      fc.assert(
        fc.property(options, steps, (given, all) => {
          const plan = new RequestPlan(given);
          const mayRepeat =
            given.kind === 'idempotent' || (given.kind === 'stream' && given.isResumable);
          let nowMs = 0;
          let executions = 0;
          let step = plan.first();
          for (const { outcome: result, isForwarded, tookMs } of all) {
            if (step.action !== 'send') break;
            nowMs += tookMs;
            const hasBegun = isForwarded && result.kind === 'brokeOff';
            if (hasBegun) plan.noteForwarded('1');
            if (!isNotExecuted(result)) executions += 1;
            step = plan.afterSend(result, nowMs);
            if (step.action === 'refuse' && executions > 0) return false;
            if (step.action === 'send' && nowMs >= DEADLINE_MS) return false;
            if (step.action === 'send' && executions > 0 && !mayRepeat) return false;
            if (executions > given.maxAttempts) return false;
          }
          return true;
        }),
        { seed: 6, numRuns: 500 },
      );
      t.pass();
    },
  );

  test(title('a resumable stream continues after the last whole event'), (t) => {
    const plan = new RequestPlan({
      kind: 'stream',
      isResumable: true,
      maxAttempts: 2,
      deadlineMs: DEADLINE_MS,
    });
    plan.noteForwarded('7');
    t.deepEqual(plan.afterSend({ kind: 'brokeOff', reason: 'r' }, 10), {
      action: 'send',
      resumeAfterEventId: '7',
    });
    t.deepEqual(plan.afterSend({ kind: 'brokeOff', reason: 'r' }, 20), { action: 'abort' });
  });

  test(title('a stream whose events have no ids is never sent again after its first part'), (t) => {
    const plan = new RequestPlan({
      kind: 'stream',
      isResumable: true,
      maxAttempts: 2,
      deadlineMs: DEADLINE_MS,
    });
    plan.noteForwarded(undefined);
    t.deepEqual(plan.afterSend({ kind: 'brokeOff', reason: 'r' }, 10), { action: 'abort' });
  });

  test(title('an error response is forwarded once no attempt is left'), (t) => {
    const plan = new RequestPlan({
      kind: 'idempotent',
      isResumable: false,
      maxAttempts: 2,
      deadlineMs: DEADLINE_MS,
    });
    t.is(plan.afterSend({ kind: 'failed', status: 500 }, 10).action, 'send');
    t.is(plan.afterSend({ kind: 'failed', status: 500 }, 20).action, 'forwardFailure');
  });

  test(title('a deadline that passes at an endpoint is a timeout, not a refusal'), (t) => {
    const plan = new RequestPlan({
      kind: 'once',
      isResumable: false,
      maxAttempts: 1,
      deadlineMs: DEADLINE_MS,
    });
    t.deepEqual(plan.deadlineReached(), { action: 'fail', isTimeout: true });
    t.deepEqual(plan.giveUp(DEADLINE_MS), { action: 'fail', isTimeout: true });
  });
});

describe('event framer', () => {
  test(title('returns the same whole events however the bytes are split into chunks'), (t) => {
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
        (all, chunkLengths, extra) => {
          const texts = all.map(({ id, data, crlf }) => {
            const end = crlf ? '\r\n' : '\n';
            return `id: ${id}${end}data: ${data}${end}${end}`;
          });
          const rest = 'id: 9'.slice(0, extra);
          const bytes = Buffer.from(texts.join('') + rest);
          const framer = new EventFramer();
          const received: { bytes: Buffer; id: string | undefined }[] = [];
          let start = 0;
          for (const length of [...chunkLengths, bytes.length]) {
            received.push(...framer.push(bytes.subarray(start, start + length)));
            start += length;
          }
          return (
            received.map((event) => event.bytes.toString()).join('|') === texts.join('|') &&
            received.every((event, index) => event.id === String(all[index]?.id)) &&
            received.every((event, index) => dataOf(event) === all[index]?.data) &&
            framer.pendingBytes === rest.length
          );
        },
      ),
      { seed: 7 },
    );
    t.pass();
  });

  test(title('reads data of several lines, and ignores an unknown field before the id'), (t) => {
    const text = 'x-weight-versions: 2\nid: 4\ndata: a\ndata: b\n\n';
    const [event] = new EventFramer().push(Buffer.from(text));
    t.is(event?.id, '4');
    t.is(event === undefined ? '' : dataOf(event), 'a\nb');
  });
});
