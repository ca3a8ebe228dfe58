import { setTimeout as pause } from 'node:timers/promises';
import test from 'ava';
import { runIdOf } from '@shedline/fleet';
import type { AgedHeartbeat, EndpointHeartbeat } from '@shedline/fleet';
import { describe, seededRandom, title } from '@shedline/test-utils';
import { EndpointPool } from './endpoint-pool.js';

const HEARTBEAT_MS = 1200;
const SERVICE = 's';
const SLOTS = 8;
/** Requests that may queue at an endpoint of the subset beyond its slots. */
const QUEUED = 2;
/** Entries with an endpoint in their subset. */
const USERS = 4;
const NONE: ReadonlySet<string> = new Set();
const IN_SUBSET: ReadonlySet<string> = new Set(['a', 'stopped']);
const FIRST_RUN = runIdOf({ endpointId: 'a', startedAtMs: 1000 });
const FIRST_OF_A = runIdOf({ endpointId: 'a', startedAtMs: 0 });
const SECOND_RUN = runIdOf({ endpointId: 'a', startedAtMs: 2000 });

function heartbeatOf(
  fields: Pick<EndpointHeartbeat, 'endpointId' | 'sequence'> & Partial<EndpointHeartbeat>,
): AgedHeartbeat {
  const heartbeat = {
    startedAtMs: 0,
    service: SERVICE,
    address: `${fields.endpointId}:1`,
    availabilityZone: 'z',
    slots: SLOTS,
    warmUpLeftMs: 0,
    ...fields,
  };
  return { ageMs: 0, heartbeat };
}

/** A pool with a clock that the test advances. */
class Setup {
  nowMs = 10_000;
  readonly pool: EndpointPool;
  /** Since when a response from each endpoint has been in progress. */
  sameProcessSinceMs = Infinity;
  readonly inDoubt: [string, number][] = [];
  readonly timeouts: string[] = [];
  readonly replaced: string[] = [];
  private sequence = 0;

  /** Creates the pool of an entry that has been running for a while, or has just started. */
  constructor(random = () => 0, { hasJustStarted = false } = {}) {
    this.pool = new EndpointPool({
      availabilityZone: 'z',
      heartbeatMs: HEARTBEAT_MS,
      random,
      nowMs: () => this.nowMs,
      isLeaving: () => false,
      inSubset: () => IN_SUBSET,
      userCount: () => USERS,
      entryCount: () => 1,
      sameProcessSinceMs: () => this.sameProcessSinceMs,
      onWriterInDoubt: (endpointId, sinceMs) => this.inDoubt.push([endpointId, sinceMs]),
      onLoadChange: () => undefined,
      onSlotWanted: () => undefined,
      onRunReplaced: (_endpointId, address) => this.replaced.push(address),
      onTimeout: (moment) => this.timeouts.push(moment),
    });
    if (!hasJustStarted) this.nowMs += 2000;
  }

  /** Delivers new heartbeats of these endpoints through a control process. */
  observe(...endpointIds: string[]): void {
    this.sequence += 1;
    const { sequence } = this;
    this.pool.observeHeartbeats(
      endpointIds.map((endpointId) => heartbeatOf({ endpointId, sequence })),
    );
  }

  /** Delivers a heartbeat of one incarnation of an endpoint. */
  observeRun(endpointId: string, startedAtMs: number, sequence: number): void {
    this.pool.observeHeartbeats([heartbeatOf({ endpointId, startedAtMs, sequence })]);
  }

  /** Advances the clock while control processes reply without heartbeats of endpoints. */
  advanceWithReplies(forMs: number): void {
    for (let passedMs = 0; passedMs < forMs; passedMs += 100) {
      this.nowMs += 100;
      this.observe();
    }
  }

  isUsable(endpointId: string): boolean {
    return this.pool.isUsable(endpointId);
  }

  hasUsableEndpoint(): boolean {
    return this.pool.choose(SERVICE, NONE) !== undefined;
  }
}

describe('choice of an endpoint', () => {
  test(title('prefers the subset, and uses other endpoints if its short queues are full'), (t) => {
    const setup = new Setup();
    setup.observe('a', 'b');
    const chosen: (string | undefined)[] = [];
    for (let send = 0; send <= SLOTS + QUEUED; send += 1) {
      const endpoint = setup.pool.choose(SERVICE, NONE);
      chosen.push(endpoint?.endpointId);
      if (endpoint !== undefined) setup.pool.noteSendStarted(endpoint.endpointId);
    }
    t.deepEqual(chosen, [...Array<string>(SLOTS + QUEUED).fill('a'), 'b']);
    t.deepEqual(
      setup.pool.usableInSubset(SERVICE).map(({ endpointId }) => endpointId),
      ['a'],
    );
    t.is(setup.pool.choose(SERVICE, new Set(['a', 'b'])), undefined);
  });
});

describe('endpoints of a software version', () => {
  test(title('alone are chosen and counted if one is required'), (t) => {
    const setup = new Setup();
    setup.pool.observeHeartbeats([
      heartbeatOf({ endpointId: 'a', sequence: 1, softwareVersion: 'v1' }),
      heartbeatOf({ endpointId: 'b', sequence: 1, softwareVersion: 'v2' }),
    ]);
    const required = { softwareVersion: 'v2' };
    t.like(setup.pool.choose(SERVICE, NONE, required), { endpointId: 'b', softwareVersion: 'v2' });
    t.is(setup.pool.capacity(SERVICE, NONE, 'v2').slots, SLOTS);
    t.is(setup.pool.choose(SERVICE, new Set(['b']), required), undefined);
  });

  test(title('are up while they are ejected, but not after their process has ended'), (t) => {
    const setup = new Setup();
    setup.pool.observeHeartbeats([
      heartbeatOf({ endpointId: 'a', sequence: 1, softwareVersion: 'v1' }),
    ]);
    const failed = { kind: 'ended', outcome: { kind: 'lost', reason: 'r' } } as const;
    for (let failure = 0; failure < 2; failure += 1) setup.pool.recordOutcome('a', failed, 0);
    t.true(setup.pool.isServed(SERVICE, 'v1', NONE));
    t.false(setup.pool.isServed(SERVICE, 'v1', new Set(['a'])));
    t.false(setup.pool.isServed(SERVICE, 'v2', NONE));
    setup.pool.markDown('a');
    t.false(setup.pool.isServed(SERVICE, 'v1', NONE));
  });

  // A delayed heartbeat names the version of an earlier run.
  test(title('have that of their latest run'), (t) => {
    const setup = new Setup();
    setup.pool.observeHeartbeats([
      heartbeatOf({ endpointId: 'a', startedAtMs: 2, sequence: 1, softwareVersion: 'v2' }),
      heartbeatOf({ endpointId: 'a', startedAtMs: 1, sequence: 9, softwareVersion: 'v1' }),
    ]);
    t.false(setup.pool.isServed(SERVICE, 'v1', NONE));
    t.true(setup.pool.isServed(SERVICE, 'v2', NONE));
  });
});

describe('confirmation of an incarnation', () => {
  const ID = 'a';
  const RUN = `${ID}#1`;
  /** Time after which the connections to the endpoint have been checked. */
  const CHECKED_MS = 80;

  // An endpoint may have restarted under its id, at another software version, a moment ago.
  test(title('waits for a heartbeat sent after the response began'), async (t) => {
    const setup = new Setup();
    setup.observeRun(ID, 1, 1);
    setup.nowMs += 100;
    const confirmed = setup.pool.confirmServing(RUN);
    await pause(CHECKED_MS);
    setup.pool.observeHeartbeats([
      { ...heartbeatOf({ endpointId: ID, startedAtMs: 1, sequence: 2 }), ageMs: 50 },
    ]);
    setup.nowMs += 100;
    setup.observeRun(ID, 1, 3);
    t.true(await confirmed);
  });

  test(title('takes an earlier response that is still in progress as proof'), async (t) => {
    const setup = new Setup();
    setup.sameProcessSinceMs = setup.nowMs;
    setup.nowMs += 100;
    setup.observeRun(ID, 1, 1);
    setup.nowMs += 100;
    t.true(await setup.pool.confirmServing(RUN));
  });

  test(title('fails once a later incarnation is known'), async (t) => {
    const setup = new Setup();
    setup.observeRun(ID, 1, 1);
    setup.nowMs += 100;
    const confirmed = setup.pool.confirmServing(RUN);
    await pause(CHECKED_MS);
    setup.observeRun(ID, 2, 1);
    t.false(await confirmed);
    t.false(await setup.pool.confirmServing(RUN));
  });

  // A stream may have begun at the next incarnation before its first heartbeat arrived.
  test(title('is lost for what arrived since, if the next one is of another version'), (t) => {
    const setup = new Setup();
    const run = { endpointId: ID, sequence: 1 };
    setup.pool.observeHeartbeats([heartbeatOf({ ...run, startedAtMs: 1, softwareVersion: 'v1' })]);
    const heardAtMs = setup.nowMs;
    setup.nowMs += 100;
    setup.pool.observeHeartbeats([heartbeatOf({ ...run, startedAtMs: 2, softwareVersion: 'v1' })]);
    t.deepEqual(setup.inDoubt, [], 'the same version');
    setup.pool.observeHeartbeats([heartbeatOf({ ...run, startedAtMs: 3, softwareVersion: 'v2' })]);
    t.deepEqual(setup.inDoubt, [[`${ID}#2`, heardAtMs + 100]]);
    t.true(setup.pool.isWriterCertain(`${ID}#2`, heardAtMs + 100));
    t.false(setup.pool.isWriterCertain(`${ID}#2`, heardAtMs + 101));
    t.true(setup.pool.isWriterCertain(RUN, setup.nowMs));
  });

  test(title('is not needed if ids are not used again'), async (t) => {
    const setup = new Setup();
    setup.observe(ID);
    setup.nowMs += 100;
    t.true(await setup.pool.confirmServing(ID));
  });
});

describe('endpoints outside the subset', () => {
  /**
   * Entries do not know the load of endpoints outside their subset. When they assumed none and
   * preferred their own zone, a quarter of the zone's requests in peaks were sent to full endpoints
   * and waited half a second there, though endpoints in other zones had free slots.
   */
  test(title('are chosen uniformly in all zones'), (t) => {
    const random = seededRandom(8);
    const setup = new Setup(random);
    setup.observe('a');
    const outside = Array.from({ length: 10 }, (_, number) => `outside-${number}`);
    for (const [index, endpointId] of outside.entries()) {
      const availabilityZone = index === 0 ? 'z' : 'other';
      setup.pool.observeHeartbeats([heartbeatOf({ endpointId, sequence: 1, availabilityZone })]);
    }
    for (let send = 0; send < SLOTS + QUEUED; send += 1) setup.pool.noteSendStarted('a');
    const chosen = new Map<string, number>();
    for (let send = 0; send < 1000; send += 1) {
      const endpointId = setup.pool.choose(SERVICE, NONE)?.endpointId ?? 'none';
      chosen.set(endpointId, (chosen.get(endpointId) ?? 0) + 1);
    }
    t.deepEqual([...chosen.keys()].sort(), outside);
    t.true(Math.max(...chosen.values()) < 150, 'no endpoint is preferred');
  });
});

describe('leases of endpoints', () => {
  test(title('an endpoint without a heartbeat for its lease is not used'), (t) => {
    const setup = new Setup();
    setup.observe('a');
    setup.advanceWithReplies(3 * HEARTBEAT_MS - 200);
    t.true(setup.isUsable('a'));
    setup.advanceWithReplies(400);
    t.false(setup.isUsable('a'));
  });

  /**
   * If all connections to control processes are unresponsive, no heartbeat arrives. The leases of
   * all endpoints must not expire together until the connections are reopened: entries would refuse
   * all requests for seconds while the endpoints are idle.
   */
  test(title('an entry without contact to any control process keeps using its endpoints'), (t) => {
    const setup = new Setup();
    setup.observe('a', 'b');
    setup.nowMs += 4 * HEARTBEAT_MS;
    t.true(setup.hasUsableEndpoint());
    // The first reply after that may not include all endpoints yet.
    setup.observe('a');
    t.true(setup.isUsable('a'));
    t.true(setup.isUsable('b'));
    setup.advanceWithReplies(3 * HEARTBEAT_MS);
    t.false(setup.isUsable('b'));
  });

  test(
    title('a stopped endpoint announced by a delayed heartbeat receives one request only'),
    (t) => {
      const setup = new Setup();
      setup.observe('stopped', 'b', 'c', 'd');
      t.true(setup.isUsable('stopped'));
      setup.pool.noteSendStarted('stopped');
      const outcome = { kind: 'refused', status: 421 } as const;
      setup.pool.noteSendEnded('stopped', { kind: 'ended', outcome }, undefined);
      t.false(setup.isUsable('stopped'));
      t.true(setup.hasUsableEndpoint());
    },
  );

  test(title('endpoints with closed ports are not used until their next heartbeat'), (t) => {
    const setup = new Setup();
    setup.observe('a', 'b', 'c');
    for (const endpointId of ['a', 'b']) {
      setup.pool.noteSendStarted(endpointId);
      const outcome = { kind: 'notSent', reason: 'ECONNREFUSED' } as const;
      setup.pool.noteSendEnded(endpointId, { kind: 'ended', outcome }, undefined);
    }
    setup.pool.markDown('c');
    for (const endpointId of ['a', 'b', 'c'])
      t.false(setup.isUsable(endpointId), 'even if all are down');
    setup.advanceWithReplies(1000);
    const delayed = heartbeatOf({ endpointId: 'a', sequence: 2 });
    setup.pool.observeHeartbeats([{ ...delayed, ageMs: 1100 }]);
    t.false(setup.isUsable('a'), 'the heartbeat was sent before the port was closed');
    setup.observe('a');
    setup.observe('a');
    t.true(setup.isUsable('a'));
    t.false(setup.isUsable('b'));
  });

  test(title('a timeout after a response has begun does not count against its endpoint'), (t) => {
    const setup = new Setup();
    setup.observe('a', 'b', 'c');
    const timeOut = (kind: 'brokeOff' | 'lost'): void => {
      setup.pool.noteSendStarted('a');
      const outcome = { kind, reason: 'silent', isSilence: true } as const;
      setup.pool.noteSendEnded('a', { kind: 'ended', outcome }, undefined);
    };
    for (let send = 0; send < 5; send += 1) timeOut('brokeOff');
    t.true(setup.isUsable('a'));
    for (let send = 0; send < 2; send += 1) timeOut('lost');
    t.false(setup.isUsable('a'));
    t.is(setup.timeouts.filter((moment) => moment === 'begun').length, 5);
  });

  test(title('leases expire if no control process replies for a long time'), (t) => {
    const setup = new Setup();
    setup.observe('a');
    setup.nowMs += 60_000;
    t.false(setup.hasUsableEndpoint());
  });
});

describe('an endpoint that restarts with the same id', () => {
  test(title('takes work at once, with a load of zero'), (t) => {
    const setup = new Setup();
    setup.observeRun('a', 1000, 40);
    for (let send = 0; send < SLOTS; send += 1) setup.pool.noteSendStarted(FIRST_RUN);
    setup.pool.observePeerLoads('peer', [{ endpointId: FIRST_RUN, online: 2, batch: 0 }]);
    setup.observeRun('a', 2000, 1);
    t.false(setup.isUsable(FIRST_RUN));
    t.like(setup.pool.choose(SERVICE, NONE), { endpointId: SECOND_RUN, load: 0 });
    t.deepEqual(setup.replaced, ['a:1']);
    // The outcomes of requests to the previous incarnation have no effect.
    setup.pool.noteSendEnded(FIRST_RUN, { kind: 'stopped' }, undefined);
    t.deepEqual(setup.pool.ownLoads(), []);
  });

  test(title('is not ejected for failures of the previous incarnation'), (t) => {
    const setup = new Setup();
    setup.observe('b', 'c', 'd');
    setup.observeRun('a', 1000, 1);
    const outcome = { kind: 'notSent', reason: 'refused' } as const;
    setup.pool.noteSendStarted(FIRST_RUN);
    setup.pool.noteSendEnded(FIRST_RUN, { kind: 'ended', outcome }, undefined);
    t.false(setup.isUsable(FIRST_RUN));
    setup.observeRun('a', 2000, 1);
    t.true(setup.isUsable(SECOND_RUN));
  });

  test(title('a delayed heartbeat of the previous incarnation is ignored'), (t) => {
    const setup = new Setup();
    setup.observeRun('a', 2000, 1);
    setup.observeRun('a', 1000, 50);
    t.false(setup.isUsable(FIRST_RUN));
    t.true(setup.isUsable(SECOND_RUN));
    t.deepEqual(setup.replaced, []);
  });

  test(title('an incarnation that drains is not used, but the next one is'), (t) => {
    const setup = new Setup();
    setup.observeRun('a', 1000, 1);
    setup.pool.markLeaving([FIRST_RUN]);
    t.false(setup.isUsable(FIRST_RUN));
    setup.observeRun('a', 2000, 1);
    t.true(setup.isUsable(SECOND_RUN));
  });

  test(
    title('an entry that has just started assumes the load of the others to equal its own'),
    (t) => {
      const started = new Setup(undefined, { hasJustStarted: true });
      started.observe('a');
      const fillSlots = (): number => {
        let sent = 0;
        for (; started.pool.choose(SERVICE, NONE) !== undefined && sent < 100; sent += 1) {
          started.pool.noteSendStarted(FIRST_OF_A);
        }
        return sent;
      };
      t.is(fillSlots(), SLOTS / USERS, 'its share of the slots');
      started.nowMs += 2000;
      started.observe('a');
      t.is(
        fillSlots(),
        SLOTS + QUEUED - SLOTS / USERS,
        'then all slots and queue positions that are free',
      );
    },
  );
});
