import test from 'ava';
import fc from 'fast-check';
import type { EndpointHeartbeat } from '@shedline/fleet';
import { describe, title } from '@shedline/test-utils';
import { forwardingUrgency, maxForwardingDelayMs } from './forwarding-urgency.js';

const HEARTBEAT_MS = 1200;
const HEARTBEAT: EndpointHeartbeat = {
  endpointId: 'e',
  startedAtMs: 1,
  service: 's',
  address: '10.0.0.1:80',
  availabilityZone: 'z',
  slots: 8,
  warmUpLeftMs: 0,
  sequence: 1,
};

const changeArbitrary: fc.Arbitrary<Partial<EndpointHeartbeat>> = fc.constantFrom(
  { service: 'other' },
  { address: '10.0.0.2:80' },
  { availabilityZone: 'y' },
  { slots: 9 },
  { warmUpLeftMs: 500 },
);

describe('forwardingUrgency', () => {
  // Entries would send requests to a former address, or beyond the slots, for longer.
  test(title('only a heartbeat that changes nothing may wait'), (t) => {
    fc.assert(
      fc.property(changeArbitrary, fc.nat(5 * HEARTBEAT_MS), (change, ageMs) => {
        const known = { heartbeat: HEARTBEAT, ageMs };
        const changed = { ...HEARTBEAT, ...change, sequence: 2 };
        const repeated = { ...HEARTBEAT, sequence: 2 };
        const isSilent = ageMs > 1.5 * HEARTBEAT_MS;
        return (
          forwardingUrgency(changed, known, HEARTBEAT_MS) === 'changed' &&
          forwardingUrgency(repeated, known, HEARTBEAT_MS) === (isSilent ? 'changed' : 'repeated')
        );
      }),
    );
    t.pass();
  });

  // Entries would count endpoints as gone while a single heartbeat is lost.
  test(title('a lost heartbeat does not exceed the lease of three intervals'), (t) => {
    const ENTRY_POLL_MS = 300;
    for (const heartbeatMs of [500, HEARTBEAT_MS, 5000]) {
      const delayMs = maxForwardingDelayMs('repeated', heartbeatMs);
      t.true(2 * heartbeatMs + delayMs + ENTRY_POLL_MS < 3 * heartbeatMs);
    }
  });

  test(title('the first heartbeat of an incarnation is the most urgent'), (t) => {
    t.is(forwardingUrgency(HEARTBEAT, undefined, HEARTBEAT_MS), 'firstOfRun');
    const known = { heartbeat: HEARTBEAT, ageMs: 0 };
    const restarted = { ...HEARTBEAT, startedAtMs: 2 };
    t.is(forwardingUrgency(restarted, known, HEARTBEAT_MS), 'firstOfRun');
  });
});
