import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { FAST_DETECTION_MAX_MS } from '@shedline/transport';
import { MEMBER_LEASE_MS } from './member-registry.js';

/** Time to reconnect and complete the handshake, on an instance with a third of a core. */
const RECONNECT_MS = 100;

/**
 * Guards against members that disappear from all lists before their unresponsive connections are
 * reopened, so that callers are sent to a few entries only and endpoints are assigned to these.
 * That happened when an unresponsive connection was detected only after 2.8 to 3.5 s; entries had
 * lost contact with all control processes after 2.6 s.
 */
describe('unresponsive links', () => {
  test(title('are detected before the lease of a member expires'), (t) => {
    t.true(FAST_DETECTION_MAX_MS + RECONNECT_MS < MEMBER_LEASE_MS);
  });
});
