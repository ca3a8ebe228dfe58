import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { CHECK_INTERVAL_MS, LinkSilence, FAST_DETECTION_MAX_MS } from './link-silence.js';
import type { SilenceAction } from './link-silence.js';

const NORMAL_DETECTION_MAX_MS = 3200;
const AWAITED_DETECTION_MAX_MS = 1200;

/** Checks at the periodic interval until `untilMs`. */
function checkUntil(
  subject: LinkSilence,
  span: { readonly fromMs: number; readonly untilMs: number; readonly awaitedSinceMs?: number },
): SilenceAction[] {
  const actions: SilenceAction[] = [];
  for (let nowMs = span.fromMs; nowMs <= span.untilMs; nowMs += CHECK_INTERVAL_MS) {
    actions.push(subject.check(nowMs, span.awaitedSinceMs));
  }
  return actions;
}

describe('LinkSilence', () => {
  for (const [detection, maxMs] of [
    ['fast', FAST_DETECTION_MAX_MS],
    ['normal', NORMAL_DETECTION_MAX_MS],
  ] as const) {
    test(title(`pings before it terminates, and terminates in time: ${detection}`), (t) => {
      const subject = new LinkSilence(detection, 0);
      const actions = checkUntil(subject, { fromMs: CHECK_INTERVAL_MS, untilMs: maxMs });
      t.is(actions[0], 'none');
      t.is(actions.at(-1), 'terminate');
      t.is(actions[actions.indexOf('terminate') - 1], 'ping');
    });
  }

  test(title('terminates sooner while a reply is awaited'), (t) => {
    const subject = new LinkSilence('normal', 0);
    const untilMs = 1000 + AWAITED_DETECTION_MAX_MS;
    const actions = checkUntil(subject, {
      fromMs: CHECK_INTERVAL_MS,
      untilMs,
      awaitedSinceMs: 1000,
    });
    t.is(actions[0], 'none');
    t.is(actions.at(-1), 'terminate');
    t.true(actions.includes('ping'));
  });

  test(title('keeps a connection that receives something while a reply is awaited'), (t) => {
    const subject = new LinkSilence('normal', 0);
    for (let nowMs = 0; nowMs < 10_000; nowMs += CHECK_INTERVAL_MS) {
      if (subject.check(nowMs, 0) === 'ping') subject.noteReceived(nowMs);
      t.not(subject.check(nowMs, 0), 'terminate');
    }
  });

  test(title('does nothing while the peer sends something often enough'), (t) => {
    const subject = new LinkSilence('fast', 0);
    for (let nowMs = 0; nowMs < 10_000; nowMs += CHECK_INTERVAL_MS) {
      if (nowMs % 800 === 0) subject.noteReceived(nowMs);
      t.is(subject.check(nowMs), 'none');
    }
  });

  test(title('does not count the time during which this process was suspended'), (t) => {
    const subject = new LinkSilence('fast', 0);
    t.is(subject.check(CHECK_INTERVAL_MS), 'none');
    const resumedAtMs = 20_000;
    t.not(subject.check(resumedAtMs, 0), 'terminate');
    const fromMs = resumedAtMs + CHECK_INTERVAL_MS;
    t.true(checkUntil(subject, { fromMs, untilMs: fromMs + 1500 }).includes('terminate'));
  });
});
