import test from 'ava';
import fc from 'fast-check';
import { describe, title } from '@shedline/test-utils';
import { OrderGate } from './order-gate.js';
import type { OrderGateOptions } from './order-gate.js';
import { Orders } from './orders.js';

const LEASE_MS = 100;
const ORDER_TIMEOUT_MS = 50;
const DRIFT = 0.02;
const OPTIONS: OrderGateOptions = {
  leaseMs: LEASE_MS,
  orderTimeoutMs: ORDER_TIMEOUT_MS,
  maxDriftShare: DRIFT,
};

class NoSuccessorWaitGate extends OrderGate {
  protected override successorWaitMs(): number {
    return 0;
  }
}

const handoverArbitrary = fc.record({
  /** Time from the last confirmation of the old holder to the election of its successor. */
  electionMs: fc.integer({ min: 1, max: 200 }),
  oldRate: fc.double({ min: 1 - DRIFT / 2, max: 1 + DRIFT / 2, noNaN: true }),
  newRate: fc.double({ min: 1 - DRIFT / 2, max: 1 + DRIFT / 2, noNaN: true }),
});

type Handover = typeof handoverArbitrary extends fc.Arbitrary<infer T> ? T : never;

/** Whether a partitioned holder may have an order in progress when its successor sends one. */
function doOrdersOverlap(
  create: () => OrderGate,
  { electionMs, oldRate, newRate }: Handover,
): boolean {
  const oldHolder = new OrderGate(OPTIONS);
  // The old holder became leader long before, so that its own initial wait is over.
  oldHolder.acquired(1, -10_000);
  oldHolder.confirmed(0);
  const successor = create();
  successor.acquired(2, electionMs * newRate);
  let oldOrderUntilMs = -1;
  for (let simulatedMs = 0; simulatedMs < 600; simulatedMs += 1) {
    if (oldHolder.maySendOrder(simulatedMs * oldRate, false))
      oldOrderUntilMs = simulatedMs + ORDER_TIMEOUT_MS;
    successor.confirmed(simulatedMs * newRate);
    const successorOrders =
      simulatedMs >= electionMs && successor.maySendOrder(simulatedMs * newRate, false);
    if (successorOrders && simulatedMs < oldOrderUntilMs) return true;
  }
  return false;
}

describe('OrderGate', () => {
  test(
    title('at most one holder has orders in progress without fencing checks, with clock drift'),
    (t) => {
      const property = fc.property(
        handoverArbitrary,
        (plan) => !doOrdersOverlap(() => new OrderGate(OPTIONS), plan),
      );
      t.notThrows(() => {
        fc.assert(property, { seed: 5, numRuns: 500 });
      });
    },
  );

  test(title('without the wait of the successor the property is violated'), (t) => {
    const property = fc.property(
      handoverArbitrary,
      (plan) => !doOrdersOverlap(() => new NoSuccessorWaitGate(OPTIONS), plan),
    );
    t.true(fc.check(property, { seed: 5, numRuns: 500 }).failed);
  });

  test(
    title('closes when no quorum confirms the lease, and immediately when leadership is lost'),
    (t) => {
      const gate = new OrderGate(OPTIONS);
      gate.acquired(7, 0);
      gate.confirmed(0);
      t.true(gate.maySendOrder(90, true));
      t.false(gate.maySendOrder(99, true));
      gate.confirmed(100);
      t.true(gate.maySendOrder(150, true));
      gate.lost();
      t.false(gate.maySendOrder(151, true));
      t.is(gate.fencingNumber, 0);
    },
  );
});

describe('Orders', () => {
  const order = {
    endpointId: 'e1',
    url: 'http://e1',
    checksFencing: true,
    kind: 'loadModel',
    subject: 'm',
  } as const;

  test(title('rejects state changes with an outdated fencing number'), (t) => {
    const orders = new Orders();
    orders.apply({ type: 'placeOrder', order: { orderId: 'o1', ...order } }, 1);
    const first = orders.apply({ type: 'claimOrders', holder: 'a' }, 2).fencingNumber;
    const second = orders.apply({ type: 'claimOrders', holder: 'b' }, 3).fencingNumber;
    t.true(second > first);
    const moveCommand = { type: 'moveOrder', orderId: 'o1', state: 'sent', detail: '' } as const;
    t.false(orders.apply({ ...moveCommand, fencingNumber: first }, 4).ok);
    t.true(orders.apply({ ...moveCommand, fencingNumber: second }, 5).ok);
  });

  test(title('does not place an order twice while the first is open'), (t) => {
    const orders = new Orders();
    orders.apply({ type: 'placeOrder', order: { orderId: 'o1', ...order } }, 1);
    const duplicate = orders.apply({ type: 'placeOrder', order: { orderId: 'o2', ...order } }, 2);
    t.is(duplicate.order?.orderId, 'o1');
    const restored = new Orders();
    restored.restore(orders.snapshot());
    t.deepEqual(restored.open, orders.open);
    t.is(orders.open.length, 1);
  });
});
