import test from 'ava';
import type { LogFields, Logger } from '@shedline/logger';
import { describe, title } from '@shedline/test-utils';
import { StateFreshness } from './state-freshness.js';

interface Setup {
  readonly freshness: StateFreshness;
  readonly lines: [string, LogFields | undefined][];
  nowMs: number;
}

function setup(): Setup {
  const lines: [string, LogFields | undefined][] = [];
  const note = (message: string, fields?: LogFields): number => lines.push([message, fields]);
  const logger: Logger = { error: note, warn: note, info: note, debug: note };
  const all = { lines, nowMs: 10_000 };
  const freshness = new StateFreshness({
    logger,
    nowMs: () => all.nowMs,
    version: () => 7,
    connected: () => ['c1'],
  });
  return Object.assign(all, { freshness });
}

describe('StateFreshness', () => {
  test(title('says nothing before the first confirmation: the entry still starts'), (t) => {
    const all = setup();
    all.freshness.look();
    t.deepEqual(all.lines, []);
    t.is(all.freshness.ageMs, Infinity);
  });

  test(title('tells once when none comes any more, and once when one comes again'), (t) => {
    const all = setup();
    all.freshness.confirmed(10_000, 'c1');
    all.nowMs = 12_999;
    all.freshness.look();
    t.deepEqual(all.lines, []);
    all.nowMs = 13_000;
    all.freshness.look();
    all.freshness.look();
    // A control process that is cut off from the quorum answers, and confirms nothing.
    all.freshness.confirmed(9000, 'c1');
    t.deepEqual(all.lines, [
      [
        'state of the fleet not confirmed',
        { step: 'configure', version: 7, ageMs: 3000, controls: ['c1'] },
      ],
    ]);
    all.nowMs = 14_000;
    all.freshness.confirmed(13_900, 'c2');
    t.is(all.freshness.ageMs, 100);
    t.deepEqual(all.lines.at(-1), [
      'state of the fleet confirmed again',
      { step: 'configure', version: 7, peer: 'c2' },
    ]);
    t.is(all.lines.length, 2);
  });
});
