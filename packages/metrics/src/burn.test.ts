import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { BurnRecorder, burnReport } from './burn.js';
import { burnPage, burnTable } from './burn-page.js';

const MINUTE_MS = 60_000;

describe('burn report', () => {
  test(
    title('adds up the counts of entries with different clocks, by the age of each bucket'),
    (t) => {
      const first = new BurnRecorder();
      first.record('w/s', 'firstToken', true, 0, 95);
      first.record('w/s', 'firstToken', false, 0, 5);
      const second = new BurnRecorder();
      second.record('w/s', 'firstToken', false, 1e9, 10);
      const series = [...first.export(10 * MINUTE_MS), ...second.export(1e9 + MINUTE_MS)];
      const burn = (window: string): number | undefined =>
        burnReport(series).find((row) => row.window === window)?.burn;
      t.is(burn('5m'), 20);
      t.is(Math.round((burn('1h') ?? 0) * 100) / 100, 2.73);
      t.regex(burnTable(burnReport(series)), /w\/s +firstToken +5m +10 +10 +20\.00/);
    },
  );

  test(title('the page is self-contained and escapes names'), (t) => {
    const recorder = new BurnRecorder();
    recorder.record('w/<b>', 'batchDue', true, 0);
    const page = burnPage(recorder.export(1));
    t.true(page.includes('w/&lt;b&gt;') && page.includes('<svg'));
    t.false(/src=|href=/.test(page));
  });

  test(title('keeps a bounded number of buckets'), (t) => {
    const recorder = new BurnRecorder();
    for (let n = 0; n < 5000; n += 1) recorder.record('w/s', 'firstToken', true, n * 10_000);
    t.is(recorder.export(5e7)[0]?.buckets.length, 2160);
  });
});
