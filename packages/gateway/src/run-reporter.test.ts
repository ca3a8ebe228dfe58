/**
 * Guards against a reporter that retries forever after it is closed. If all processes of a fleet
 * stop together, the stores may stop before they receive an entry's returned items; without an end
 * of the retries, which run every 200 ms, a host process of the entry never exits.
 */
import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import type { GroupCaller } from '@shedline/control-client';
import { createLogger } from '@shedline/logger';
import { describe, title } from '@shedline/test-utils';
import { RunReporter } from './run-reporter.js';

const GROUP = 1;
const RESULT = { jobId: 'job', index: 0, state: 'complete', text: 'x' } as const;
/** Longer than the collection of a report and the pause between two attempts. */
const SOME_ATTEMPTS_MS = 600;

/** Stores that may be stopped. */
class FakeStores implements GroupCaller {
  readonly stored: unknown[] = [];
  isStopped = false;
  attempts = 0;

  call(_method: string, _group: number, payload: unknown): Promise<unknown> {
    this.attempts += 1;
    if (this.isStopped) return Promise.reject(new Error('no leader'));
    this.stored.push(payload);
    return Promise.resolve({});
  }
}

/** Returns a reporter that has failed several times to report a result to stopped stores. */
async function reportToStoppedStores(): Promise<{ stores: FakeStores; reporter: RunReporter }> {
  const stores = new FakeStores();
  stores.isStopped = true;
  const logger = createLogger({ level: 'silent' });
  const reporter = new RunReporter({ holder: 'entry/1', stores, logger });
  reporter.reportFinished(GROUP, RESULT);
  await pause(SOME_ATTEMPTS_MS);
  return { stores, reporter };
}

describe('run reporter', () => {
  test(title('retries until the report is stored'), async (t) => {
    const { stores, reporter } = await reportToStoppedStores();
    t.true(stores.attempts > 1);
    stores.isStopped = false;
    await reporter.flush();
    t.is(stores.stored.length, 1);
  });

  test(title('stops retrying when it is closed'), async (t) => {
    const { stores, reporter } = await reportToStoppedStores();
    reporter.close();
    await reporter.flush();
    const { attempts } = stores;
    await pause(SOME_ATTEMPTS_MS);
    t.is(stores.attempts, attempts);
  });
});
