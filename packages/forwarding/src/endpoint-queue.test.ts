import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import type { ChoiceOptions } from '@shedline/types';
import { EndpointQueue } from './endpoint-queue.js';
import type {
  ChosenEndpoint,
  EndpointFinder,
  EndpointQueueOptions,
  EndpointQueueRequest,
} from './endpoint-queue.js';

const SERVICE = 's';

/** Endpoints with a number of free slots each. */
class FakeFinder implements EndpointFinder {
  readonly announcedWithinMs = 1200;
  readonly free = new Map<string, number>();
  /** Software versions of the endpoints that are up. */
  readonly versions = new Map<string, string>();
  slots = 0;
  chooseCalls = 0;

  choose(
    _service: string,
    tried: ReadonlySet<string>,
    { softwareVersion: required }: ChoiceOptions = {},
  ): ChosenEndpoint | undefined {
    this.chooseCalls += 1;
    for (const [endpointId, count] of this.free) {
      const softwareVersion = this.versions.get(endpointId) ?? '';
      const isAllowed = required === undefined || softwareVersion === required;
      if (count > 0 && isAllowed && !tried.has(endpointId))
        return { endpointId, address: 'a:1', softwareVersion, load: 0 };
    }
    return undefined;
  }

  isServed(_service: string, softwareVersion: string): boolean {
    return [...this.versions.values()].includes(softwareVersion);
  }

  noteSendStarted(endpointId: string): void {
    this.free.set(endpointId, (this.free.get(endpointId) ?? 0) - 1);
  }

  capacity(
    _service: string,
    excluded: ReadonlySet<string>,
    softwareVersion?: string,
  ): { slots: number; entryCount: number } {
    if (softwareVersion !== undefined)
      return { slots: this.slots / this.versions.size, entryCount: 1 };
    // All slots belong to one endpoint.
    return { slots: excluded.has('e') ? 0 : this.slots, entryCount: 1 };
  }
}

interface Setup {
  readonly finder: FakeFinder;
  readonly queue: EndpointQueue;
  readonly clock: { nowMs: number };
}

function setup(slots: number, timing: Pick<EndpointQueueOptions, 'after'> = {}): Setup {
  const finder = new FakeFinder();
  finder.slots = slots;
  const clock = { nowMs: 0 };
  const queue = new EndpointQueue({ finder, nowMs: () => clock.nowMs, ...timing });
  return { finder, clock, queue };
}

function request(change: Partial<EndpointQueueRequest> = {}): EndpointQueueRequest {
  return {
    service: SERVICE,
    tried: new Set(),
    mayRetryTried: true,
    rank: 0,
    targetDeadlineMs: 300,
    deadlineMs: 5000,
    ...change,
  };
}

/** Collects the names of requests in the order in which they got an endpoint or were refused. */
function collectOrder(setup: Setup, requests: Record<string, EndpointQueueRequest>): string[] {
  const order: string[] = [];
  for (const [name, queued] of Object.entries(requests)) {
    void setup.queue.enter(queued).endpoint.then((endpoint) => {
      order.push(endpoint === undefined ? `${name} refused` : name);
    });
  }
  return order;
}

async function settled(): Promise<void> {
  await pause(0);
}

describe('EndpointQueue', () => {
  // Guards against requests that a stopping process sends too late to complete them.
  test(
    title('refuses a waiting request that may no longer begin, though a slot is free'),
    async (t) => {
      const fleet = setup(1);
      const stop = { mayBegin: true };
      const order = collectOrder(fleet, {
        a: request({ mayBegin: () => stop.mayBegin }),
        b: request(),
      });
      await settled();
      t.deepEqual(order, []);
      stop.mayBegin = false;
      fleet.finder.free.set('e', 1);
      fleet.queue.ended(SERVICE);
      await settled();
      t.deepEqual(order, ['a refused', 'b']);
    },
  );

  test(
    title('assigns a free endpoint at once, and counts it before the next request enters'),
    async (t) => {
      const { finder, queue } = setup(1);
      finder.free.set('e', 1);
      const first = queue.enter(request());
      const second = queue.enter(request());
      t.is((await first.endpoint)?.endpointId, 'e');
      t.is(queue.length, 1);
      second.leave();
      t.is(await second.endpoint, undefined);
      t.is(queue.length, 0);
    },
  );

  test(title('a slot that becomes free goes to a request that can meet its target'), async (t) => {
    const all = setup(8);
    all.clock.nowMs = 400;
    const order = collectOrder(all, {
      late: request({ targetDeadlineMs: 300, deadlineMs: 3000 }),
      fresh: request({ targetDeadlineMs: 700 }),
      resumed: request({ targetDeadlineMs: 600 }),
    });
    for (let slot = 0; slot < 3; slot += 1) {
      all.finder.free.set('e', 1);
      all.queue.ended(SERVICE);
      await settled();
    }
    t.deepEqual(order, ['resumed', 'fresh', 'late']);
  });

  test(title('refuses a request at once that cannot meet its deadline'), async (t) => {
    const all = setup(2);
    all.queue.ended(SERVICE, { runMs: 600 });
    const order = collectOrder(all, {
      short: request({ deadlineMs: 800 }),
      long: request({ deadlineMs: 5000 }),
    });
    await settled();
    t.deepEqual(order, ['short refused']);
    t.is(all.queue.length, 1);
    all.clock.nowMs = 5000;
    all.queue.ended(SERVICE);
    t.is(all.queue.length, 0);
  });

  test(title('if no endpoint is known, waits until an endpoint would be announced'), async (t) => {
    const all = setup(0);
    const order = collectOrder(all, { only: request() });
    await settled();
    t.deepEqual(order, []);
    all.clock.nowMs = all.finder.announcedWithinMs;
    all.queue.ended(SERVICE);
    await settled();
    t.deepEqual(order, ['only refused']);
  });

  describe('a request that only one software version may serve', () => {
    test(title('waits for a slot of it, and leaves the other slots to others'), async (t) => {
      const all = setup(8);
      all.finder.versions.set('old', 'v1').set('new', 'v2');
      const order = collectOrder(all, {
        bound: request({ softwareVersion: 'v1' }),
        free: request({ targetDeadlineMs: 400 }),
      });
      all.finder.free.set('new', 2);
      all.queue.ended(SERVICE);
      await settled();
      t.deepEqual(order, ['free']);
      all.finder.free.set('old', 1);
      all.queue.ended(SERVICE);
      await settled();
      t.deepEqual(order, ['free', 'bound']);
    });

    // Those ahead of it also take slots of the other versions.
    test(title('is not refused because of requests that others may serve'), async (t) => {
      const all = setup(8, { after: () => undefined });
      all.finder.versions.set('old', 'v1').set('new', 'v2');
      all.queue.ended(SERVICE, { runMs: 600 });
      const others = Array.from({ length: 16 }, (_, index) => [`other ${index}`, request()]);
      const order = collectOrder(all, {
        ...(Object.fromEntries(others) as Record<string, EndpointQueueRequest>),
        bound: request({ softwareVersion: 'v1', deadlineMs: 2400 }),
      });
      await settled();
      t.deepEqual(order, []);
    });

    test(title('is refused at once if no endpoint of it is up'), async (t) => {
      const all = setup(8);
      all.finder.versions.set('new', 'v2');
      all.finder.free.set('new', 8);
      const order = collectOrder(all, { bound: request({ softwareVersion: 'v1' }) });
      await settled();
      t.deepEqual(order, ['bound refused']);
    });
  });

  test(
    title('a tried endpoint is chosen again only if it did not execute the request'),
    async (t) => {
      const { finder, queue } = setup(1);
      finder.free.set('e', 2);
      const tried = new Set(['e']);
      t.is((await queue.enter(request({ tried })).endpoint)?.endpointId, 'e');
      const doubtful = queue.enter(request({ tried, mayRetryTried: false }));
      t.is(queue.length, 1);
      doubtful.leave();
      t.is(await doubtful.endpoint, undefined);
    },
  );

  test(
    title('does not wait until its deadline for an endpoint that it may not use again'),
    async (t) => {
      const all = setup(8);
      const order = collectOrder(all, {
        doubtful: request({ tried: new Set(['e']), mayRetryTried: false }),
      });
      all.clock.nowMs = all.finder.announcedWithinMs;
      all.queue.ended(SERVICE);
      await settled();
      t.deepEqual(order, ['doubtful refused']);
    },
  );

  test(
    title('a long queue chooses an endpoint once per free slot, not once per request'),
    async (t) => {
      // The queue's own poll timer is disabled: if the process were suspended, its calls would be
      // counted too.
      const all = setup(8, { after: () => undefined });
      const requests = Array.from(
        { length: 100 },
        (_, index) => [`request ${index}`, request()] as const,
      );
      const order = collectOrder(all, Object.fromEntries(requests));
      const { chooseCalls } = all.finder;
      all.finder.free.set('e', 2);
      all.queue.ended(SERVICE);
      await settled();
      t.is(order.length, 2);
      t.is(all.finder.chooseCalls - chooseCalls, 3);
      all.clock.nowMs = 5000;
      all.queue.ended(SERVICE);
      t.is(all.queue.length, 0);
    },
  );

  test(title('estimates when a slot is free for a caller that retries'), async (t) => {
    const all = setup(8);
    all.queue.ended(SERVICE, { runMs: 800 });
    t.is(all.queue.nextSlotInMs(SERVICE), 100, 'one execution in eight slots');
    const tickets = Array.from({ length: 4 }, () => all.queue.enter(request()));
    t.is(all.queue.nextSlotInMs(SERVICE), 500, 'after four other requests');
    for (const ticket of tickets) ticket.leave();
    const none = setup(0);
    t.is(none.queue.nextSlotInMs(SERVICE), none.finder.announcedWithinMs);
    await settled();
  });

  test(
    title('a late request leaves slots to new requests, unless it could not be served later'),
    async (t) => {
      const all = setup(2);
      all.finder.free.set('e', 2);
      all.queue.ended(SERVICE, { runMs: 1000 });
      for (let count = 0; count < 6; count += 1) all.queue.enter(request()).leave();
      all.finder.free.set('e', 2);
      const order = collectOrder(all, {
        late: request({ targetDeadlineMs: -1 }),
        last: request({ targetDeadlineMs: -1, deadlineMs: 1450 }),
        fresh: request(),
      });
      await settled();
      t.deepEqual(order, ['last', 'fresh']);
      all.clock.nowMs = 3500;
      all.finder.free.set('e', 1);
      all.queue.ended(SERVICE);
      await settled();
      t.deepEqual(order, ['last', 'fresh', 'late']);
    },
  );

  test(
    title('responses that are slow for a moment do not make all new requests late'),
    async (t) => {
      const all = setup(2);
      for (let count = 0; count < 100; count += 1)
        all.queue.ended(SERVICE, { runMs: 5000, timeToFirstEventMs: 2000 });
      for (let count = 0; count < 20; count += 1) all.queue.enter(request()).leave();
      all.finder.free.set('e', 1);
      t.deepEqual(collectOrder(all, { fresh: request({ deadlineMs: 20_000 }) }), []);
      await settled();
      t.is(all.queue.length, 0, 'it takes the free slot at once');
    },
  );

  test(
    title('among late requests, those already sent to an endpoint go first and are not refused'),
    async (t) => {
      const all = setup(2);
      all.queue.ended(SERVICE, { runMs: 1000 });
      const late = { targetDeadlineMs: -1, deadlineMs: 2500 };
      const order = collectOrder(all, {
        first: request(late),
        second: request(late),
        third: request(late),
        again: request({ ...late, tried: new Set(['other']) }),
      });
      await settled();
      const afterFirstScan = [...order];
      all.finder.free.set('e', 1);
      all.queue.ended(SERVICE);
      await settled();
      const afterSecondScan = [...order];
      all.clock.nowMs = 6000;
      all.queue.ended(SERVICE);
      t.deepEqual(afterFirstScan, ['third refused'], 'more late requests than can be served');
      t.deepEqual(afterSecondScan, ['third refused', 'again']);
    },
  );
});
