import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import { createLogger } from '@shedline/logger';
import { ProcessMetrics } from '@shedline/metrics';
import type { QuotaAnswer, QuotaRequest, UsageReport } from '@shedline/quota';
import { describe, title } from '@shedline/test-utils';
import type { PeerClient } from '@shedline/transport';
import { PeriodicTasks } from './periodic-tasks.js';
import { QuotaEnforcer } from './quota-enforcer.js';

const LIMITED = { name: 'w', keyDigests: [], limit: { ratePerS: 10, burst: 10 } };
const UNLIMITED = { name: 'free', keyDigests: [] };
const VERSION = 3;

/** A control process as seen by the enforcer. */
class FakeCounter {
  readonly requests: QuotaRequest[] = [];
  readonly reports: UsageReport[] = [];
  granted = Infinity;
  isUnresponsive = false;
  readonly peerName: string;

  constructor(peerName: string) {
    this.peerName = peerName;
  }

  send(_method: string, reports: unknown): void {
    this.reports.push(...(reports as UsageReport[]));
  }

  async request(_method: string, payload: unknown): Promise<QuotaAnswer> {
    const request = payload as QuotaRequest;
    this.requests.push(request);
    await pause(5);
    if (this.isUnresponsive) throw new Error('no reply');
    const granted = Math.min(request.wanted, this.granted);
    return { granted, roomInMs: 700, spacingMs: 100 };
  }
}

function setup(...counters: FakeCounter[]): QuotaEnforcer {
  return new QuotaEnforcer({
    self: 'e',
    tasks: new PeriodicTasks(),
    tolerance: { windowMs: 5000, overshootShare: 0.1, slack: 20 },
    controls: { ready: counters as unknown as PeerClient[] },
    entryCount: () => 4,
    metrics: new ProcessMetrics(),
    logger: createLogger({ level: 'silent' }),
    nowMs: () => performance.now(),
  });
}

describe('QuotaEnforcer', () => {
  test(title('admits requests at once and reports them together'), async (t) => {
    const counter = new FakeCounter('a');
    const enforcer = setup(counter);
    for (let count = 0; count < 3; count += 1) {
      t.deepEqual(await enforcer.admit(LIMITED, VERSION), { mayPass: true });
    }
    t.deepEqual(await enforcer.admit(UNLIMITED, VERSION), { mayPass: true });
    enforcer.refund(LIMITED, VERSION);
    await pause(100);
    const terms = { ...LIMITED.limit, version: VERSION };
    t.deepEqual(counter.reports, [{ workspace: 'w', terms, used: 2 }]);
    t.is(counter.requests.length, 0);
  });

  test(
    title(
      'sends one call for all requests that arrive during a call; spaces the retry times of refused ones',
    ),
    async (t) => {
      const counter = new FakeCounter('a');
      const enforcer = setup(counter);
      enforcer.markNearLimit(['w']);
      counter.granted = 1;
      const verdicts = await Promise.all(
        [1, 2, 3, 4].map(async () => enforcer.admit(LIMITED, VERSION)),
      );
      t.deepEqual(
        counter.requests.map(({ wanted }) => wanted),
        [1, 3],
      );
      t.deepEqual(verdicts, [
        { mayPass: true },
        { mayPass: true },
        { mayPass: false, status: 429, retryAfterMs: 700 },
        { mayPass: false, status: 429, retryAfterMs: 800 },
      ]);
    },
  );

  test(
    title('decides locally if a counter does not reply, and asks another one next'),
    async (t) => {
      const first = new FakeCounter('a');
      const second = new FakeCounter('b');
      const enforcer = setup(first, second);
      enforcer.markNearLimit(['w']);
      first.isUnresponsive = true;
      second.isUnresponsive = true;
      const local = await enforcer.admit(LIMITED, VERSION);
      t.true(local.mayPass, 'within its share of the limit');
      t.is(first.requests.length + second.requests.length, 1);
      first.isUnresponsive = false;
      second.isUnresponsive = false;
      await enforcer.admit(LIMITED, VERSION);
      t.deepEqual([first.requests.length, second.requests.length], [1, 1]);
    },
  );

  test(
    title('admits its share of the limit without any counter, and refuses with 503 beyond it'),
    async (t) => {
      const enforcer = setup();
      const verdicts = [];
      for (let count = 0; count < 100; count += 1)
        verdicts.push(await enforcer.admit(LIMITED, VERSION));
      const passed = verdicts.filter(({ mayPass }) => mayPass).length;
      t.true(passed >= 15 && passed <= 61, String(passed));
      t.deepEqual(verdicts.at(-1), { mayPass: false, status: 503, retryAfterMs: 300 });
    },
  );
});
