import test from 'ava';
import { FleetState } from '@shedline/fleet';
import type { FleetPosition } from '@shedline/fleet';
import { createLogger } from '@shedline/logger';
import { describe, title } from '@shedline/test-utils';
import type { StateAnswer } from './protocol.js';
import { StateReader } from './state-reader.js';

/** A control process of a fleet with one retiring store. */
class FakeControl {
  readonly peerName = 'control';
  readonly methods: string[] = [];
  isReachable = true;
  private readonly state = new FleetState();

  constructor() {
    this.state.apply({ type: 'retireStore', store: 'old', instance: 'old' });
  }

  request = (method: string, payload: unknown): Promise<StateAnswer> => {
    this.methods.push(method);
    if (!this.isReachable) return Promise.reject(new Error('not reachable'));
    return Promise.resolve({ delta: this.state.deltaSince(payload as FleetPosition) });
  };
}

describe('state reader', () => {
  test(title('applies the changes, and requests no endpoints'), async (t) => {
    const control = new FakeControl();
    const reader = new StateReader(createLogger({ level: 'silent' }));
    await reader.readFrom(control);
    t.true(reader.fleet.isRetiring('old'));
    t.deepEqual(control.methods, ['fleetState']);
  });

  test(title('keeps its state if a control process does not reply'), async (t) => {
    const control = new FakeControl();
    const reader = new StateReader(createLogger({ level: 'silent' }));
    await reader.readFrom(control);
    control.isReachable = false;
    await reader.readFrom(control);
    t.true(reader.fleet.isRetiring('old'));
  });
});
