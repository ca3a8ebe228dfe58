import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { StartGate } from './start-gate.js';
import type { DisconnectNotifier } from './start-gate.js';

/** A caller that the test can make leave. */
class FakeCaller implements DisconnectNotifier {
  private listeners: (() => void)[] = [];

  onGone(listener: () => void): void {
    this.listeners.push(listener);
  }

  leave(): void {
    for (const listener of this.listeners) listener();
  }
}

interface Clock {
  nowMs: number;
  othersReady: boolean;
}

function gateAt(clock: Clock): StartGate {
  return new StartGate({ nowMs: () => clock.nowMs, othersReady: () => clock.othersReady });
}

describe('StartGate', () => {
  test(title('what waits passes when the gate opens, and nothing waits after that'), async (t) => {
    const clock = { nowMs: 0, othersReady: false };
    const gate = gateAt(clock);
    const passed = gate.pass(new FakeCaller());
    t.is(gate.waitingCount, 1);
    clock.nowMs = 70;
    gate.open();
    t.is(await passed, 70, 'the time that it was held, which its deadline is counted from');
    t.is(gate.waitingCount, 0);
    t.is(gate.holdMs, 0);
    t.is(await gate.pass(new FakeCaller()), 0);
  });

  test(title('holds longer where no other entry would serve the caller'), (t) => {
    const clock = { nowMs: 0, othersReady: false };
    const gate = gateAt(clock);
    const aloneMs = gate.holdMs;
    clock.othersReady = true;
    t.true(gate.holdMs < aloneMs);
    clock.nowMs = gate.holdMs;
    t.is(gate.holdMs, 0);
    clock.othersReady = false;
    t.true(gate.holdMs > 0);
    clock.nowMs = aloneMs;
    t.is(gate.holdMs, 0);
  });

  test(title('a caller that leaves is not kept'), async (t) => {
    const gate = gateAt({ nowMs: 0, othersReady: false });
    const caller = new FakeCaller();
    const passed = gate.pass(caller);
    caller.leave();
    await passed;
    t.is(gate.waitingCount, 0);
  });

  test(title('a gate that never opens lets go after its time'), async (t) => {
    const gate = new StartGate({
      nowMs: () => 0,
      othersReady: () => false,
      holdAloneMs: 5,
    });
    await gate.pass(new FakeCaller());
    t.is(gate.waitingCount, 0);
  });
});
