/**
 * Member records for tests.
 */
import type { MemberRecord } from './member-record.js';

/** Returns the record of a control process; without a `memberId` it has no disk. */
export function fakeControl(name: string, memberId?: string): MemberRecord {
  return {
    name,
    kind: 'control',
    host: '127.0.0.1',
    port: 1,
    instance: name,
    availabilityZone: 'z',
    epoch: 'e',
    sequence: 1,
    state: 'ready',
    ...(memberId === undefined ? {} : { memberId }),
  };
}
