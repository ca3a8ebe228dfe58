import test from 'ava';
import { runIdOf } from '@shedline/fleet';
import type { AgedHeartbeat, EndpointHeartbeat } from '@shedline/fleet';
import { describe, seededRandom, title } from '@shedline/test-utils';
import { EndpointPool } from './endpoint-pool.js';

const HEARTBEAT_MS = 1200;
const SERVICE = 's';
const SLOTS = 8;
/** Requests beyond its slots that an endpoint in reach is given. */
const QUEUED = 2;
/** Entries that use an endpoint. */
const USERS = 4;
const NONE: ReadonlySet<string> = new Set();
const IN_SUBSET: ReadonlySet<string> = new Set(['a', 'gone']);
const FIRST_RUN = runIdOf({ endpointId: 'a', startedAtMs: 1000 });
const FIRST_OF_A = runIdOf({ endpointId: 'a', startedAtMs: 0 });
const SECOND_RUN = runIdOf({ endpointId: 'a', startedAtMs: 2000 });

function heardOf(
  heard: Pick<EndpointHeartbeat, 'endpointId' | 'sequence'> & Partial<EndpointHeartbeat>,
): AgedHeartbeat {
  const heartbeat = {
    startedAtMs: 0,
    service: SERVICE,
    address: `${heard.endpointId}:1`,
    availabilityZone: 'z',
    slots: SLOTS,
    warmUpLeftMs: 0,
    ...heard,
  };
  return { ageMs: 0, heartbeat };
}

/** A pool on a clock that the test moves. */
class Setup {
  nowMs = 10_000;
  readonly pool: EndpointPool;
  readonly silences: string[] = [];
  readonly gone: string[] = [];
  private sequence = 0;

  /** An entry that has run for a while, or has just started. */
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
      onLoadChange: () => undefined,
      onSlotWanted: () => undefined,
      onRunGone: (_endpointId, address) => this.gone.push(address),
      onSilence: (moment) => this.silences.push(moment),
    });
    if (!hasJustStarted) this.nowMs += 2000;
  }

  /** News of a control process that heard these endpoints just now. */
  hear(...endpointIds: string[]): void {
    this.sequence += 1;
    const { sequence } = this;
    this.pool.hear(endpointIds.map((endpointId) => heardOf({ endpointId, sequence })));
  }

  /** News of one run of an endpoint. */
  hearRun(endpointId: string, startedAtMs: number, sequence: number): void {
    this.pool.hear([heardOf({ endpointId, startedAtMs, sequence })]);
  }

  /** Time passes in which control processes are heard, but none of the endpoints. */
  passWithNews(forMs: number): void {
    for (let passedMs = 0; passedMs < forMs; passedMs += 100) {
      this.nowMs += 100;
      this.hear();
    }
  }

  knows(endpointId: string): boolean {
    return this.pool.isUsable(endpointId);
  }

  hasRoom(): boolean {
    return this.pool.choose(SERVICE, NONE) !== undefined;
  }
}

describe('choice of an endpoint', () => {
  test(title('those in reach come first, the others where their short queues are full'), (t) => {
    const setup = new Setup();
    setup.hear('a', 'b');
    const chosen: (string | undefined)[] = [];
    for (let send = 0; send <= SLOTS + QUEUED; send += 1) {
      const endpoint = setup.pool.choose(SERVICE, NONE);
      chosen.push(endpoint?.endpointId);
      if (endpoint !== undefined) setup.pool.began(endpoint.endpointId);
    }
    t.deepEqual(chosen, [...Array<string>(SLOTS + QUEUED).fill('a'), 'b']);
    t.deepEqual(
      setup.pool.usableInSubset(SERVICE).map(({ endpointId }) => endpointId),
      ['a'],
    );
    t.is(setup.pool.choose(SERVICE, new Set(['a', 'b'])), undefined);
  });
});

describe('endpoints beyond reach', () => {
  /**
   * In peaks a quarter of the requests of a zone were sent to endpoints that were full, though others had room:
   * entries know nothing of the load beyond their reach, took it for none, and stayed in their zone. The evidence:
   * requests with a load of 0 in the log that waited half a second at the endpoint.
   */
  test(title('are taken alike, in whatever zone'), (t) => {
    const random = seededRandom(8);
    const setup = new Setup(random);
    setup.hear('a');
    const far = Array.from({ length: 10 }, (_, number) => `far-${number}`);
    for (const [index, endpointId] of far.entries()) {
      const availabilityZone = index === 0 ? 'z' : 'other';
      setup.pool.hear([heardOf({ endpointId, sequence: 1, availabilityZone })]);
    }
    for (let send = 0; send < SLOTS + QUEUED; send += 1) setup.pool.began('a');
    const chosen = new Map<string, number>();
    for (let send = 0; send < 1000; send += 1) {
      const endpointId = setup.pool.choose(SERVICE, NONE)?.endpointId ?? 'none';
      chosen.set(endpointId, (chosen.get(endpointId) ?? 0) + 1);
    }
    t.deepEqual([...chosen.keys()].sort(), far);
    t.true(Math.max(...chosen.values()) < 150, 'no herd');
  });
});

describe('leases of endpoints', () => {
  test(title('an endpoint that is not heard for its lease takes nothing'), (t) => {
    const setup = new Setup();
    setup.hear('a');
    setup.passWithNews(3 * HEARTBEAT_MS - 200);
    t.true(setup.knows('a'));
    setup.passWithNews(400);
    t.false(setup.knows('a'));
  });

  /**
   * Callers were refused by every entry for seconds, with all endpoints idle. All connections to
   * control processes had gone silent, so no heartbeat came, and the leases of all endpoints ran out at
   * once before the connections were opened anew. The evidence: requests refused after they had waited a
   * heartbeat interval, with no send, from a second after the silence until the entries logged
   * that they were connected again.
   */
  test(title('an entry that hears no control process keeps the endpoints that it knew'), (t) => {
    const setup = new Setup();
    setup.hear('a', 'b');
    setup.nowMs += 4 * HEARTBEAT_MS;
    t.true(setup.hasRoom());
    // The first news after it may not tell of all of them yet.
    setup.hear('a');
    t.true(setup.knows('a'));
    t.true(setup.knows('b'));
    setup.passWithNews(3 * HEARTBEAT_MS);
    t.false(setup.knows('b'));
  });

  test(title('an earlier run whose heartbeat came late is sent one request, not all'), (t) => {
    const setup = new Setup();
    setup.hear('gone', 'b', 'c', 'd');
    t.true(setup.knows('gone'));
    setup.pool.began('gone');
    const outcome = { kind: 'refused', status: 421 } as const;
    setup.pool.ended('gone', { kind: 'ended', outcome }, undefined);
    t.false(setup.knows('gone'));
    t.true(setup.hasRoom());
  });

  test(title('endpoints whose ports are closed take nothing until they are heard again'), (t) => {
    const setup = new Setup();
    setup.hear('a', 'b', 'c');
    for (const endpointId of ['a', 'b']) {
      setup.pool.began(endpointId);
      const outcome = { kind: 'notSent', reason: 'ECONNREFUSED' } as const;
      setup.pool.ended(endpointId, { kind: 'ended', outcome }, undefined);
    }
    setup.pool.markEnded('c');
    for (const endpointId of ['a', 'b', 'c']) t.false(setup.knows(endpointId), 'also all of them');
    setup.passWithNews(1000);
    const late = heardOf({ endpointId: 'a', sequence: 2 });
    setup.pool.hear([{ ...late, ageMs: 1100 }]);
    t.false(setup.knows('a'), 'a heartbeat from before its end');
    setup.hear('a');
    setup.hear('a');
    t.true(setup.knows('a'));
    t.false(setup.knows('b'));
  });

  test(title('silence after an answer has begun does not count against its endpoint'), (t) => {
    const setup = new Setup();
    setup.hear('a', 'b', 'c');
    const silent = (kind: 'brokeOff' | 'lost'): void => {
      setup.pool.began('a');
      const outcome = { kind, reason: 'silent', isSilence: true } as const;
      setup.pool.ended('a', { kind: 'ended', outcome }, undefined);
    };
    for (let send = 0; send < 5; send += 1) silent('brokeOff');
    t.true(setup.knows('a'));
    for (let send = 0; send < 2; send += 1) silent('lost');
    t.false(setup.knows('a'));
    t.is(setup.silences.filter((moment) => moment === 'begun').length, 5);
  });

  test(title('leases run out in the end where nothing is heard of anyone'), (t) => {
    const setup = new Setup();
    setup.hear('a');
    setup.nowMs += 60_000;
    t.false(setup.hasRoom());
  });
});

describe('an endpoint that starts again under its id', () => {
  test(title('takes work at once, with nothing under way'), (t) => {
    const setup = new Setup();
    setup.hearRun('a', 1000, 40);
    for (let send = 0; send < SLOTS; send += 1) setup.pool.began(FIRST_RUN);
    setup.pool.hearLoads('peer', [{ endpointId: FIRST_RUN, online: 2, batch: 0 }]);
    setup.hearRun('a', 2000, 1);
    t.false(setup.knows(FIRST_RUN));
    t.like(setup.pool.choose(SERVICE, NONE), { endpointId: SECOND_RUN, load: 0 });
    t.deepEqual(setup.gone, ['a:1']);
    // What was under way at the run before ends without a trace.
    setup.pool.ended(FIRST_RUN, { kind: 'stopped' }, undefined);
    t.deepEqual(setup.pool.ownLoads(), []);
  });

  test(title('is not ejected for what the run before did'), (t) => {
    const setup = new Setup();
    setup.hear('b', 'c', 'd');
    setup.hearRun('a', 1000, 1);
    const outcome = { kind: 'notSent', reason: 'refused' } as const;
    setup.pool.began(FIRST_RUN);
    setup.pool.ended(FIRST_RUN, { kind: 'ended', outcome }, undefined);
    t.false(setup.knows(FIRST_RUN));
    setup.hearRun('a', 2000, 1);
    t.true(setup.knows(SECOND_RUN));
  });

  test(title('a late heartbeat of the run before brings that run not back'), (t) => {
    const setup = new Setup();
    setup.hearRun('a', 2000, 1);
    setup.hearRun('a', 1000, 50);
    t.false(setup.knows(FIRST_RUN));
    t.true(setup.knows(SECOND_RUN));
    t.deepEqual(setup.gone, []);
  });

  test(title('a run that leaves takes nothing, the next one does'), (t) => {
    const setup = new Setup();
    setup.hearRun('a', 1000, 1);
    setup.pool.markLeaving([FIRST_RUN]);
    t.false(setup.knows(FIRST_RUN));
    setup.hearRun('a', 2000, 1);
    t.true(setup.knows(SECOND_RUN));
  });

  test(title('an entry that has just started takes the others for as busy as itself'), (t) => {
    const started = new Setup(undefined, { hasJustStarted: true });
    started.hear('a');
    const sendAll = (): number => {
      let sent = 0;
      for (; started.pool.choose(SERVICE, NONE) !== undefined && sent < 100; sent += 1) {
        started.pool.began(FIRST_OF_A);
      }
      return sent;
    };
    t.is(sendAll(), SLOTS / USERS, 'its share of the slots');
    started.nowMs += 2000;
    started.hear('a');
    t.is(sendAll(), SLOTS + QUEUED - SLOTS / USERS, 'then what it knows');
  });
});
