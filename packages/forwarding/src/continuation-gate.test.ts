import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { ContinuationGate } from './continuation-gate.js';

function setup(needsConfirmation = true) {
  const passed: string[] = [];
  const calls: string[] = [];
  let settle: (isConfirmed: boolean) => void = () => undefined;
  const confirmation = new Promise<boolean>((resolve) => {
    settle = resolve;
  });
  const gate = new ContinuationGate({
    confirm: () => (needsConfirmation ? confirmation : undefined),
    forward: (bytes) => {
      passed.push(bytes.toString());
      return true;
    },
    onOpen: () => calls.push('open'),
    onRefused: () => calls.push('refused'),
  });
  const push = (part: string): boolean => gate.push(Buffer.from(part), undefined);
  return { gate, passed, calls, push, settle };
}

describe('ContinuationGate', () => {
  test(title('passes parts on at once if nothing has to be confirmed'), async (t) => {
    const { gate, passed, push } = setup(false);
    t.true(push('a'));
    t.deepEqual(passed, ['a']);
    t.true(await gate.complete());
  });

  test(title('holds parts back until the endpoint is confirmed'), async (t) => {
    const { gate, passed, calls, push, settle } = setup();
    t.deepEqual([push('a'), push('b')], [false, false]);
    t.deepEqual(passed, []);
    settle(true);
    t.true(await gate.complete());
    t.true(push('c'));
    t.deepEqual([passed, calls], [['a', 'b', 'c'], ['open']]);
  });

  test(title('drops all parts if the endpoint is not confirmed'), async (t) => {
    const { gate, passed, calls, push, settle } = setup();
    push('a');
    settle(false);
    t.false(await gate.complete());
    t.true(gate.isRefused);
    t.deepEqual([passed, calls], [[], ['refused']]);
  });

  test(title('passes nothing on after a response that ended early'), async (t) => {
    const { gate, passed, calls, push, settle } = setup();
    push('a');
    gate.close();
    settle(true);
    t.false(await gate.complete());
    t.deepEqual([passed, calls], [[], []]);
  });
});
