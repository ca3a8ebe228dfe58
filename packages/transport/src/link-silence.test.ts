import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { LOOK_INTERVAL_MS, LinkSilence, NEWS_SILENCE_NOTICED_MS } from './link-silence.js';
import type { SilenceStep } from './link-silence.js';

const USUAL_NOTICED_MS = 3200;
const AWAITED_NOTICED_MS = 1200;

/** Looks at the usual times until `untilMs`. */
function lookUntil(
  subject: LinkSilence,
  span: { readonly fromMs: number; readonly untilMs: number; readonly awaitedSinceMs?: number },
): SilenceStep[] {
  const steps: SilenceStep[] = [];
  for (let nowMs = span.fromMs; nowMs <= span.untilMs; nowMs += LOOK_INTERVAL_MS) {
    steps.push(subject.look(nowMs, span.awaitedSinceMs));
  }
  return steps;
}

describe('LinkSilence', () => {
  for (const [use, noticedMs] of [
    ['news', NEWS_SILENCE_NOTICED_MS],
    ['usual', USUAL_NOTICED_MS],
  ] as const) {
    test(title(`asks before it gives up, and gives up in time: ${use}`), (t) => {
      const subject = new LinkSilence(use, 0);
      const steps = lookUntil(subject, { fromMs: LOOK_INTERVAL_MS, untilMs: noticedMs });
      t.is(steps[0], 'nothing');
      t.is(steps.at(-1), 'giveUp');
      t.is(steps[steps.indexOf('giveUp') - 1], 'ask');
    });
  }

  test(title('gives up sooner while an answer is awaited'), (t) => {
    const subject = new LinkSilence('usual', 0);
    const untilMs = 1000 + AWAITED_NOTICED_MS;
    const steps = lookUntil(subject, { fromMs: LOOK_INTERVAL_MS, untilMs, awaitedSinceMs: 1000 });
    t.is(steps[0], 'nothing');
    t.is(steps.at(-1), 'giveUp');
    t.true(steps.includes('ask'));
  });

  test(title('a peer that is heard while its answer is awaited is not given up'), (t) => {
    const subject = new LinkSilence('usual', 0);
    for (let nowMs = 0; nowMs < 10_000; nowMs += LOOK_INTERVAL_MS) {
      if (subject.look(nowMs, 0) === 'ask') subject.heard(nowMs);
      t.not(subject.look(nowMs, 0), 'giveUp');
    }
  });

  test(title('does nothing about a peer that says something now and then'), (t) => {
    const subject = new LinkSilence('news', 0);
    for (let nowMs = 0; nowMs < 10_000; nowMs += LOOK_INTERVAL_MS) {
      if (nowMs % 800 === 0) subject.heard(nowMs);
      t.is(subject.look(nowMs), 'nothing');
    }
  });

  test(title('does not blame the peer for the time in which this process stood still'), (t) => {
    const subject = new LinkSilence('news', 0);
    t.is(subject.look(LOOK_INTERVAL_MS), 'nothing');
    const awakeMs = 20_000;
    t.not(subject.look(awakeMs, 0), 'giveUp');
    const fromMs = awakeMs + LOOK_INTERVAL_MS;
    t.true(lookUntil(subject, { fromMs, untilMs: fromMs + 1500 }).includes('giveUp'));
  });
});
