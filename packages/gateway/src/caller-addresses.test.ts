import test from 'ava';
import type { MemberRecord } from '@shedline/mesh';
import { describe, title } from '@shedline/test-utils';
import { callerAddresses } from './caller-addresses.js';

function entry(number: number, change: Partial<MemberRecord> = {}): MemberRecord {
  return {
    name: `10.0.0.${number}:7720`,
    kind: 'entry',
    host: `10.0.0.${number}`,
    port: 7720,
    instance: `i-${number}`,
    availabilityZone: 'near',
    epoch: 'e',
    sequence: 1,
    state: 'ready',
    callerAddress: `10.0.0.${number}:80`,
    ...change,
  };
}

describe('addresses for a caller', () => {
  test(title('are in its zone if two entries serve there, in all zones otherwise'), (t) => {
    const far = [entry(3, { availabilityZone: 'far' }), entry(4, { availabilityZone: 'far' })];
    const both = [entry(1), entry(2), ...far];
    t.deepEqual(callerAddresses(both, 'near'), ['10.0.0.1:80', '10.0.0.2:80']);
    const oneReady = [entry(1), entry(2, { state: 'draining' }), ...far];
    t.is(callerAddresses(oneReady, 'near').length, 3);
    t.is(callerAddresses(both, 'elsewhere').length, 4);
  });

  test(
    title('omit starting and draining entries and those without a caller address; at most 64'),
    (t) => {
      const { callerAddress, ...unaddressed } = entry(1);
      t.is(callerAddress, '10.0.0.1:80');
      t.deepEqual(callerAddresses([unaddressed, entry(2, { state: 'starting' })], 'near'), []);
      const many = Array.from({ length: 100 }, (_, index) => entry(index));
      t.is(callerAddresses(many, 'near').length, 64);
    },
  );
});
