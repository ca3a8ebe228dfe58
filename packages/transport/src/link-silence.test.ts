import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { LINK_SILENCE_NOTICED_MS, LOOK_INTERVAL_MS, LinkSilence } from './link-silence.js';
import type { SilenceStep } from './link-silence.js';

/** Looks at the usual times until `untilMs`. */
function lookUntil(subject: LinkSilence, fromMs: number, untilMs: number): SilenceStep[] {
  const steps: SilenceStep[] = [];
  for (let nowMs = fromMs; nowMs <= untilMs; nowMs += LOOK_INTERVAL_MS) {
    steps.push(subject.look(nowMs));
  }
  return steps;
}

describe('LinkSilence', () => {
  test(title('asks before it gives up, and gives up in time'), (t) => {
    const steps = lookUntil(new LinkSilence(0), LOOK_INTERVAL_MS, LINK_SILENCE_NOTICED_MS);
    t.is(steps[0], 'nothing');
    t.is(steps.at(-1), 'giveUp');
    const firstGivenUp = steps.indexOf('giveUp');
    t.true(steps.slice(0, firstGivenUp).filter((step) => step === 'ask').length >= 2);
  });

  test(title('does nothing about a peer that says something now and then'), (t) => {
    const subject = new LinkSilence(0);
    for (let nowMs = 0; nowMs < 10_000; nowMs += LOOK_INTERVAL_MS) {
      if (nowMs % 400 === 0) subject.heard(nowMs);
      t.is(subject.look(nowMs), 'nothing');
    }
  });

  test(title('does not blame the peer for the time in which this process stood still'), (t) => {
    const subject = new LinkSilence(0);
    t.is(subject.look(LOOK_INTERVAL_MS), 'nothing');
    const awakeMs = 20_000;
    t.is(subject.look(awakeMs), 'ask');
    const untilMs = awakeMs + LINK_SILENCE_NOTICED_MS;
    t.true(lookUntil(subject, awakeMs + LOOK_INTERVAL_MS, untilMs).includes('giveUp'));
  });
});
