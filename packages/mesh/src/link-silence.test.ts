import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { NEWS_SILENCE_NOTICED_MS } from '@shedline/transport';
import { MEMBER_LEASE_MS } from './member-registry.js';

/** Time to connect anew and to prove the secret, on an instance with a third of a core. */
const RECONNECT_MS = 100;

/**
 * Callers were sent to a few entries only, and endpoints were divided among these, seconds after
 * connections had gone silent. Members fell out of the lists of all control processes before the silent
 * links to them were noticed, and came back one by one. The evidence: entries logged that they were out of
 * touch with all control processes 2.6 s after the silence, and connections lost after 2.8 to 3.5 s.
 */
describe('silence of links', () => {
  test(title('is noticed before the lease of a member runs out'), (t) => {
    t.true(NEWS_SILENCE_NOTICED_MS + RECONNECT_MS < MEMBER_LEASE_MS);
  });
});
