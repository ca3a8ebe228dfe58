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
  const fixture = { lines, nowMs: 10_000 };
  const freshness = new StateFreshness({
    logger,
    nowMs: () => fixture.nowMs,
    version: () => 7,
    connected: () => ['c1'],
  });
  return Object.assign(fixture, { freshness });
}

describe('StateFreshness', () => {
  test(title('logs nothing before the first confirmation, during startup'), (t) => {
    const fixture = setup();
    fixture.freshness.check();
    t.deepEqual(fixture.lines, []);
    t.is(fixture.freshness.ageMs, Infinity);
  });

  test(title('logs once when confirmations stop, and once when they resume'), (t) => {
    const fixture = setup();
    fixture.freshness.confirm(10_000, 'c1');
    fixture.nowMs = 12_999;
    fixture.freshness.check();
    t.deepEqual(fixture.lines, []);
    fixture.nowMs = 13_000;
    fixture.freshness.check();
    fixture.freshness.check();
    // A control process without contact to the quorum replies, but does not confirm the state.
    fixture.freshness.confirm(9000, 'c1');
    t.deepEqual(fixture.lines, [
      [
        'fleet state not confirmed',
        { step: 'configure', version: 7, ageMs: 3000, controls: ['c1'] },
      ],
    ]);
    fixture.nowMs = 14_000;
    fixture.freshness.confirm(13_900, 'c2');
    t.is(fixture.freshness.ageMs, 100);
    t.deepEqual(fixture.lines.at(-1), [
      'fleet state confirmed again',
      { step: 'configure', version: 7, peer: 'c2' },
    ]);
    t.is(fixture.lines.length, 2);
  });
});
