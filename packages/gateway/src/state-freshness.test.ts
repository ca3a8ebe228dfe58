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
  const record = (message: string, fields?: LogFields): number => lines.push([message, fields]);
  const logger: Logger = { error: record, warn: record, info: record, debug: record };
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
  test(title('logs nothing before the first confirmation, during startup'), (t) => {
    const all = setup();
    all.freshness.check();
    t.deepEqual(all.lines, []);
    t.is(all.freshness.ageMs, Infinity);
  });

  test(title('logs once when confirmations stop, and once when they resume'), (t) => {
    const all = setup();
    all.freshness.confirm(10_000, 'c1');
    all.nowMs = 12_999;
    all.freshness.check();
    t.deepEqual(all.lines, []);
    all.nowMs = 13_000;
    all.freshness.check();
    all.freshness.check();
    // A control process without contact to the quorum replies, but does not confirm the state.
    all.freshness.confirm(9000, 'c1');
    t.deepEqual(all.lines, [
      [
        'fleet state not confirmed',
        { step: 'configure', version: 7, ageMs: 3000, controls: ['c1'] },
      ],
    ]);
    all.nowMs = 14_000;
    all.freshness.confirm(13_900, 'c2');
    t.is(all.freshness.ageMs, 100);
    t.deepEqual(all.lines.at(-1), [
      'fleet state confirmed again',
      { step: 'configure', version: 7, peer: 'c2' },
    ]);
    t.is(all.lines.length, 2);
  });
});
