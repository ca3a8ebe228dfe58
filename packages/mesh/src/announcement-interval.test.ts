import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { announcementIntervalMs } from './announcement-interval.js';
import { MEMBER_LEASE_MS } from './member-registry.js';

/** Guards against processes that are removed from the lists because of one late announcement. */
describe('announcementIntervalMs', () => {
  test(title('fits twice into the lease of a member'), (t) => {
    t.deepEqual(
      [0, 3, 4].map((count) => announcementIntervalMs('entry', count)),
      [400, 400, 800],
    );
    t.is(announcementIntervalMs('control', 8), 400);
    t.true(2 * announcementIntervalMs('entry', 8) < MEMBER_LEASE_MS);
  });
});
