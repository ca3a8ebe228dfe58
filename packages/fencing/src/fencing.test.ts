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

class NoWaitGate extends OrderGate {
  protected override successorWaitMs(): number {
    return 0;
  }
}

const handover = fc.record({
  /** When the old holder was last confirmed, and how long the successor's election took. */
  electionMs: fc.integer({ min: 1, max: 200 }),
  oldRate: fc.double({ min: 1 - DRIFT / 2, max: 1 + DRIFT / 2, noNaN: true }),
  newRate: fc.double({ min: 1 - DRIFT / 2, max: 1 + DRIFT / 2, noNaN: true }),
});

type Handover = typeof handover extends fc.Arbitrary<infer T> ? T : never;

/** Whether an order of a cut-off holder may be under way when its successor gives one. */
function overlaps(create: () => OrderGate, { electionMs, oldRate, newRate }: Handover): boolean {
  const old = new OrderGate(OPTIONS);
  // It has held the lease for long, so that its own first wait is over.
  old.acquired(1, -10_000);
  old.confirmed(0);
  const successor = create();
  successor.acquired(2, electionMs * newRate);
  let oldOrderUntilMs = -1;
  for (let trueMs = 0; trueMs < 600; trueMs += 1) {
    if (old.maySendOrder(trueMs * oldRate, false)) oldOrderUntilMs = trueMs + ORDER_TIMEOUT_MS;
    successor.confirmed(trueMs * newRate);
    const successorOrders = trueMs >= electionMs && successor.maySendOrder(trueMs * newRate, false);
    if (successorOrders && trueMs < oldOrderUntilMs) return true;
  }
  return false;
}

describe('OrderGate', () => {
  test(
    title(
      'at endpoints that check nothing at most one holder has orders under way, with drifting clocks',
    ),
    (t) => {
      const property = fc.property(
        handover,
        (plan) => !overlaps(() => new OrderGate(OPTIONS), plan),
      );
      t.notThrows(() => {
        fc.assert(property, { seed: 5, numRuns: 500 });
      });
    },
  );

  test(title('without the wait of the successor the property fails'), (t) => {
    const property = fc.property(
      handover,
      (plan) => !overlaps(() => new NoWaitGate(OPTIONS), plan),
    );
    t.true(fc.check(property, { seed: 5, numRuns: 500 }).failed);
  });

  test(title('stops by itself when no quorum confirms it, and at once when it is told'), (t) => {
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
  });
});

describe('Orders', () => {
  const order = {
    endpointId: 'e1',
    url: 'http://e1',
    checksFencing: true,
    kind: 'loadModel',
    subject: 'm',
  } as const;

  test(title('a holder with an old fencing number moves nothing'), (t) => {
    const orders = new Orders();
    orders.apply({ type: 'placeOrder', order: { orderId: 'o1', ...order } }, 1);
    const first = orders.apply({ type: 'claimOrders', holder: 'a' }, 2).fencingNumber;
    const second = orders.apply({ type: 'claimOrders', holder: 'b' }, 3).fencingNumber;
    t.true(second > first);
    const move = { type: 'moveOrder', orderId: 'o1', state: 'sent', detail: '' } as const;
    t.false(orders.apply({ ...move, fencingNumber: first }, 4).ok);
    t.true(orders.apply({ ...move, fencingNumber: second }, 5).ok);
  });

  test(title('an order that is under way is not placed a second time'), (t) => {
    const orders = new Orders();
    orders.apply({ type: 'placeOrder', order: { orderId: 'o1', ...order } }, 1);
    const again = orders.apply({ type: 'placeOrder', order: { orderId: 'o2', ...order } }, 2);
    t.is(again.order?.orderId, 'o1');
    const restored = new Orders();
    restored.restore(orders.snapshot());
    t.deepEqual(restored.open, orders.open);
    t.is(orders.open.length, 1);
  });
});
