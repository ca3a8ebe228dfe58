import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { ProcessMetrics } from './process-metrics.js';

describe('metrics of a process', () => {
  test(title('are written in the text format, by name and labels'), (t) => {
    const metrics = new ProcessMetrics();
    metrics.count('calls_total', { route: 'a', outcome: 'complete' });
    metrics.count('calls_total', { route: 'a', outcome: 'complete' });
    metrics.recordDuration('call_milliseconds', { route: 'a' }, 10);
    let open = 3;
    metrics.gauge('open', () => open);
    open = 4;
    const lines = metrics.text().split('\n');
    t.true(lines.includes('calls_total{route="a",outcome="complete"} 2'));
    t.true(lines.includes('call_milliseconds_count{route="a"} 1'));
    t.true(lines.includes('open 4'));
    const median = lines.find((line) => line.includes('quantile="0.5"')) ?? '';
    t.true(Math.abs(Number(median.split(' ').at(-1)) - 10) < 0.2);
  });
});
