import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { StartupGate } from './startup-gate.js';
import type { DisconnectNotifier } from './startup-gate.js';

/** A caller that the test can disconnect. */
class FakeCaller implements DisconnectNotifier {
  private listeners: (() => void)[] = [];

  onDisconnect(listener: () => void): void {
    this.listeners.push(listener);
  }

  disconnect(): void {
    for (const listener of this.listeners) listener();
  }
}

interface Clock {
  nowMs: number;
  othersReady: boolean;
}

function gateAt(clock: Clock): StartupGate {
  return new StartupGate({ nowMs: () => clock.nowMs, othersReady: () => clock.othersReady });
}

describe('StartupGate', () => {
  test(title('releases held requests when it opens, and holds none after that'), async (t) => {
    const clock = { nowMs: 0, othersReady: false };
    const gate = gateAt(clock);
    const passed = gate.pass(new FakeCaller());
    t.is(gate.waitingCount, 1);
    clock.nowMs = 70;
    gate.open();
    t.is(await passed, 70, 'the hold time, which counts against the deadline');
    t.is(gate.waitingCount, 0);
    t.is(gate.holdMs, 0);
    t.is(await gate.pass(new FakeCaller()), 0);
  });

  test(title('holds requests longer if no other entry could serve them'), (t) => {
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

  test(title('releases the request of a caller that disconnects'), async (t) => {
    const gate = gateAt({ nowMs: 0, othersReady: false });
    const caller = new FakeCaller();
    const passed = gate.pass(caller);
    caller.disconnect();
    await passed;
    t.is(gate.waitingCount, 0);
  });

  test(title('releases requests after the hold time if it never opens'), async (t) => {
    const gate = new StartupGate({
      nowMs: () => 0,
      othersReady: () => false,
      maxHoldAloneMs: 5,
    });
    await gate.pass(new FakeCaller());
    t.is(gate.waitingCount, 0);
  });
});
