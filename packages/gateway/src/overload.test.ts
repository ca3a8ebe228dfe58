/**
 * Simulates the load of many entries and endpoints on the queues and pools of the entries, with a
 * virtual clock, and checks what callers get: during overload, and after a power loss of all
 * instances in a peak.
 */
import test from 'ava';
import { EndpointSubsets } from '@shedline/directory';
import type { ZonedName } from '@shedline/directory';
import { runIdOf } from '@shedline/fleet';
import { EndpointQueue } from '@shedline/forwarding';
import { describe, seededRandom, title } from '@shedline/test-utils';
import type { RandomSource } from '@shedline/test-utils';
import { RecentPeak } from '@shedline/batch';
import type { LoadReportUrgency } from '@shedline/routing';
import { EndpointPool } from './endpoint-pool.js';
import type { LoadCount } from './endpoint-pool.js';
import { LoadReporter } from './load-reporter.js';

const SERVICE = 's';
const SLOTS = 8;
const ZONES = 3;
/** Mean time for which an endpoint processes a request (±25 %), and time to its first event. */
const RUN_MS = 710;
const FIRST_EVENT_MS = 45;
const TARGET_MS = 300;
const DEADLINE_MS = 5000;
/** Callers disconnect if their stream has not begun by then. */
const CALLER_TIMEOUT_MS = 2000;
/** Time that a message between entries takes. */
const MESSAGE_MS = 5;
/** Interval of the checks for slots that batch items may use, and duration of an item. */
const SLOT_CHECK_MS = 40;
const ITEM_MS = 4700;
/** Time for which a slot is free before an item starts in it. */
const SLOT_FREE_MS = 200;
/** Time after which an item that has to yield has released its slot. */
const YIELDED_MS = 15;
/** Time within which a peak reaches its full load. */
const PEAK_RISE_MS = 100;
const HEARTBEAT_MS = 1000;
/** Time after a restart until entries receive load reports from each other. */
const CONNECTED_AFTER_MS = 800;
/** Period of the peaks, each of which lasts from `PEAK_FROM_MS` to the end of the period. */
const PERIOD_MS = 5200;
const PEAK_FROM_MS = 3000;
const LENGTH_MS = 10_400;

/** Requests per second. */
interface Load {
  readonly inPeaksPerS: number;
  readonly betweenPerS: number;
}

interface Fleet {
  readonly entries: number;
  readonly endpoints: number;
  /** Times at which all instances lose power, and at which the entries serve again. */
  readonly outageMs?: readonly [number, number];
  /** Batch items submitted per second. */
  readonly itemsPerS?: number;
  /** Decision when load reports are due; the one of the entries if omitted. */
  readonly urgency?: Pick<LoadReportUrgency, 'delayMs'>;
}

/** Outcomes of the requests that were sent in one second. */
interface Second {
  sent: number;
  withinTarget: number;
  afterTarget: number;
  refused: number;
  /** Disconnected before the response began. */
  disconnected: number;
}

/** A request at an endpoint. */
interface EngineRequest {
  onFirstEvent(): void;
  onComplete(): void;
}

interface Engine {
  running: number;
  waiting: EngineRequest[];
  /** Batch items, which count as running. */
  readonly items: Set<object>;
  readonly onlinePeak: RecentPeak;
  /** Incremented at each power loss. */
  incarnation: number;
}

interface Entry {
  readonly member: ZonedName;
  readonly pool: EndpointPool;
  readonly queue: EndpointQueue;
  readonly reporter: LoadReporter;
}

function members(prefix: string, count: number): ZonedName[] {
  return Array.from({ length: count }, (_, index) => {
    const availabilityZone = `z${Math.floor((index * ZONES) / count)}`;
    return { name: `${prefix}${index}`, availabilityZone };
  });
}

/** Entries and endpoints with a virtual clock. */
class SimulatedFleet {
  readonly seconds: Second[] = [];
  /** Messages with load counts. */
  messageCount = 0;
  /** Requests that waited at an endpoint although items had time to yield. */
  waitedAtEndpoint = 0;
  completedItems = 0;
  private readonly load: Load;
  private readonly fleet: Fleet;
  private readonly random: RandomSource;
  private readonly entryNames: readonly ZonedName[];
  private readonly endpoints: readonly ZonedName[];
  private readonly subsets: EndpointSubsets;
  private readonly engines = new Map<string, Engine>();
  private readonly due = new Map<number, (() => void)[]>();
  private waitingItems = 0;
  private entries = new Map<string, Entry>();
  private heldRequests: { readonly entry: number; readonly sentAtMs: number }[] = [];
  private nowMs = 0;
  private connectedAtMs = 0;

  constructor(fleet: Fleet, load: Load, seed: number) {
    this.fleet = fleet;
    this.load = load;
    this.random = seededRandom(seed);
    this.entryNames = members('e', fleet.entries);
    this.endpoints = members('p', fleet.endpoints);
    const runs = this.endpoints.map(({ name, availabilityZone }) => {
      return { name: runOf(name), availabilityZone };
    });
    this.subsets = new EndpointSubsets({ entries: this.entryNames, endpoints: runs });
    for (const { name } of runs) {
      const onlinePeak = new RecentPeak({ windowMs: SLOT_FREE_MS });
      const items = new Set<object>();
      this.engines.set(name, { running: 0, waiting: [], items, onlinePeak, incarnation: 0 });
    }
  }

  async run(): Promise<void> {
    this.startEntries();
    const [lostAtMs, restoredAtMs] = this.fleet.outageMs ?? [];
    for (this.nowMs = 1; this.nowMs < LENGTH_MS + DEADLINE_MS; this.nowMs += 1) {
      if (this.nowMs % HEARTBEAT_MS === 0) this.deliverHeartbeats();
      if (this.nowMs === lostAtMs) this.losePower();
      if (this.nowMs === restoredAtMs) this.restorePower();
      for (const callback of this.due.get(this.nowMs) ?? []) callback();
      this.due.delete(this.nowMs);
      if (this.nowMs < LENGTH_MS) this.sendRequests();
      if (this.fleet.itemsPerS !== undefined) this.runItems(this.fleet.itemsPerS);
      await runPromiseCallbacks();
    }
  }

  /** Returns the sum of the outcomes over a range of seconds. */
  sum(from = 0, to = Infinity): Second {
    const sum = { sent: 0, withinTarget: 0, afterTarget: 0, refused: 0, disconnected: 0 };
    for (const second of this.seconds.slice(from, to)) {
      sum.sent += second.sent;
      sum.withinTarget += second.withinTarget;
      sum.afterTarget += second.afterTarget;
      sum.refused += second.refused;
      sum.disconnected += second.disconnected;
    }
    return sum;
  }

  private sendRequests(): void {
    const { inPeaksPerS, betweenPerS } = this.load;
    const sinceRiseMs = (this.nowMs % PERIOD_MS) - PEAK_FROM_MS;
    const risen = Math.max(0, Math.min(1, sinceRiseMs / PEAK_RISE_MS));
    const perS = betweenPerS + risen * (inPeaksPerS - betweenPerS);
    for (let remaining = perS / 1000; remaining > 0; remaining -= 1) {
      if (this.random() >= remaining) continue;
      const entry = Math.floor(this.random() * this.entryNames.length);
      this.secondOf(this.nowMs).sent += 1;
      const [lostAtMs = Infinity, restoredAtMs = 0] = this.fleet.outageMs ?? [];
      const isHeld = this.nowMs >= lostAtMs && this.nowMs < restoredAtMs;
      if (isHeld) this.heldRequests.push({ entry, sentAtMs: this.nowMs });
      else void this.request(entry, this.nowMs);
    }
  }

  private async request(index: number, sentAtMs: number): Promise<void> {
    const entry = this.entries.get(this.entryNames[index]?.name ?? '');
    if (entry === undefined) throw new Error(`no entry ${index}`);
    const queued = entry.queue.enter({
      service: SERVICE,
      tried: new Set(),
      mayRetryTried: true,
      rank: 0,
      targetDeadlineMs: sentAtMs + TARGET_MS,
      deadlineMs: sentAtMs + DEADLINE_MS,
      firstEventDeadlineMs: sentAtMs + CALLER_TIMEOUT_MS,
    });
    const endpoint = await queued.endpoint;
    const second = this.secondOf(sentAtMs);
    if (endpoint === undefined) {
      second.refused += 1;
      return;
    }
    const { endpointId, isPastTarget } = endpoint;
    const forwardedAtMs = this.nowMs;
    let timeToFirstEventMs = 0;
    const engine = this.engineOf(endpointId);
    const engineRequest = {
      onFirstEvent: () => {
        timeToFirstEventMs = this.nowMs - forwardedAtMs;
        const tookMs = this.nowMs - sentAtMs;
        if (tookMs <= TARGET_MS) second.withinTarget += 1;
        else if (tookMs <= CALLER_TIMEOUT_MS) second.afterTarget += 1;
        else second.disconnected += 1;
      },
      onComplete: () => {
        entry.pool.noteSendEnded(endpointId, { kind: 'complete' }, timeToFirstEventMs);
        entry.queue.ended(SERVICE, {
          runMs: this.nowMs - forwardedAtMs,
          timeToFirstEventMs,
          isPastTarget,
        });
      },
    };
    engine.waiting.push(engineRequest);
    this.admit(engine);
    this.after(YIELDED_MS, () => {
      if (engine.waiting.includes(engineRequest)) this.waitedAtEndpoint += 1;
    });
  }

  /** Starts and stops batch items like `ItemRunner`. */
  private runItems(perS: number): void {
    if (this.random() < perS / 1000) this.waitingItems += 1;
    if (this.nowMs % SLOT_CHECK_MS !== 0) return;
    for (const [endpointId, engine] of this.engines) {
      const owner = this.ownerOf(endpointId);
      const candidates = owner.pool.usableInSubset(SERVICE);
      const online = candidates.find((known) => known.endpointId === endpointId)?.online ?? SLOTS;
      const mayStart = SLOTS - engine.onlinePeak.note(online, this.nowMs);
      for (let excess = engine.items.size + online - SLOTS; excess > 0; excess -= 1)
        this.stopItem(endpointId);
      if (this.waitingItems > 0 && engine.items.size < mayStart) this.startItem(endpointId);
    }
  }

  private startItem(endpointId: string): void {
    const engine = this.engineOf(endpointId);
    const item = {};
    engine.items.add(item);
    engine.running += 1;
    this.waitingItems -= 1;
    this.ownerOf(endpointId).pool.batchChange(endpointId, 1);
    this.after(ITEM_MS, () => {
      if (engine.items.has(item)) this.completedItems += 1;
      this.endItem(endpointId, item);
    });
  }

  private stopItem(endpointId: string): void {
    const last = [...this.engineOf(endpointId).items].at(-1);
    if (last === undefined) return;
    this.waitingItems += 1;
    this.endItem(endpointId, last);
  }

  private endItem(endpointId: string, item: object): void {
    const engine = this.engineOf(endpointId);
    if (!engine.items.delete(item)) return;
    engine.running -= 1;
    this.ownerOf(endpointId).pool.batchChange(endpointId, -1);
    this.admit(engine);
  }

  private ownerOf(endpointId: string): Entry {
    const owner = this.entries.get(this.subsets.nearEntriesOf(endpointId)[0] ?? '');
    if (owner === undefined) throw new Error(`no entry owns ${endpointId}`);
    return owner;
  }

  private admit(engine: Engine): void {
    while (engine.running < SLOTS) {
      const request = engine.waiting.shift();
      if (request === undefined) return;
      engine.running += 1;
      const { incarnation } = engine;
      const runMs = RUN_MS * (0.75 + 0.5 * this.random());
      this.after(FIRST_EVENT_MS, () => {
        if (engine.incarnation === incarnation) request.onFirstEvent();
      });
      this.after(runMs, () => {
        if (engine.incarnation !== incarnation) return;
        engine.running -= 1;
        request.onComplete();
        this.admit(engine);
      });
    }
  }

  /** Discards the requests in progress; their callers are not counted again. */
  private losePower(): void {
    for (const engine of this.engines.values()) {
      engine.running = 0;
      engine.waiting = [];
      engine.incarnation += 1;
    }
  }

  private restorePower(): void {
    this.connectedAtMs = this.nowMs + CONNECTED_AFTER_MS;
    for (const { reporter } of this.entries.values()) reporter.stop();
    this.startEntries();
    for (const { entry, sentAtMs } of this.heldRequests) void this.request(entry, sentAtMs);
    this.heldRequests = [];
  }

  private startEntries(): void {
    this.entries = new Map(this.entryNames.map((member) => [member.name, this.startEntry(member)]));
    this.deliverHeartbeats();
  }

  private startEntry(member: ZonedName): Entry {
    const inSubset = new Set(this.subsets.endpointsOf(member.name));
    const pool = new EndpointPool({
      availabilityZone: member.availabilityZone,
      heartbeatMs: HEARTBEAT_MS,
      random: this.random,
      nowMs: () => this.nowMs,
      isLeaving: () => false,
      inSubset: () => inSubset,
      userCount: (endpointId) => this.subsets.entriesOf(endpointId).length,
      entryCount: () => this.entryNames.length,
      sameProcessSinceMs: () => Infinity,
      onWriterInDoubt: () => undefined,
      onLoadChange: (endpointId) => {
        reporter.markChanged(endpointId);
      },
      onSlotWanted: (endpointId) => {
        this.after(MESSAGE_MS, () => {
          this.stopItem(endpointId);
        });
      },
      onRunReplaced: () => undefined,
      onTimeout: () => undefined,
    });
    const after = (delayMs: number, callback: () => void): void => {
      this.after(delayMs, callback);
    };
    const nowMs = (): number => this.nowMs;
    const reporter = new LoadReporter({
      entries: {
        send: (user, _method, counts) => {
          if (user !== member.name) this.sendLoads(member.name, user, counts as LoadCount[]);
        },
      },
      pool: () => pool,
      usersOf: (endpointId) => this.subsets.entriesOf(endpointId),
      nowMs,
      after,
      ...(this.fleet.urgency === undefined ? {} : { urgency: this.fleet.urgency }),
    });
    reporter.start();
    return { member, pool, queue: new EndpointQueue({ finder: pool, nowMs, after }), reporter };
  }

  private deliverHeartbeats(): void {
    const sequence = 1 + Math.floor(this.nowMs / HEARTBEAT_MS);
    const heartbeats = this.endpoints.map(({ name, availabilityZone }) => ({
      ageMs: 0,
      heartbeat: {
        endpointId: name,
        startedAtMs: 1,
        service: SERVICE,
        address: `${name}:1`,
        availabilityZone,
        slots: SLOTS,
        sequence,
        warmUpLeftMs: 0,
      },
    }));
    for (const { pool } of this.entries.values()) pool.observeHeartbeats(heartbeats);
  }

  private sendLoads(from: string, to: string, counts: readonly LoadCount[]): void {
    if (this.nowMs < this.connectedAtMs) return;
    this.messageCount += 1;
    this.after(MESSAGE_MS, () => {
      this.entries.get(to)?.pool.observePeerLoads(from, counts);
    });
  }

  private after(delayMs: number, callback: () => void): void {
    const atMs = Math.max(this.nowMs + 1, Math.ceil(this.nowMs + delayMs));
    const known = this.due.get(atMs);
    if (known === undefined) this.due.set(atMs, [callback]);
    else known.push(callback);
  }

  private secondOf(atMs: number): Second {
    const index = Math.floor(atMs / 1000);
    const known = this.seconds[index] ?? {
      sent: 0,
      withinTarget: 0,
      afterTarget: 0,
      refused: 0,
      disconnected: 0,
    };
    this.seconds[index] = known;
    return known;
  }

  private engineOf(endpointId: string): Engine {
    const engine = this.engines.get(endpointId);
    if (engine === undefined) throw new Error(`no endpoint ${endpointId}`);
    return engine;
  }
}

function runOf(name: string): string {
  return runIdOf({ endpointId: name, startedAtMs: 1 });
}

/** Runs the promise callbacks of the current millisecond. */
async function runPromiseCallbacks(): Promise<void> {
  for (let round = 0; round < 6; round += 1) await Promise.resolve();
}

async function simulate(fleet: Fleet, load: Load, seed: number): Promise<SimulatedFleet> {
  const simulated = new SimulatedFleet(fleet, load, seed);
  await simulated.run();
  return simulated;
}

const SEEDS = [7, 8, 9];
const LARGE: Fleet = { entries: 56, endpoints: 42 };
const SMALL: Fleet = { entries: 13, endpoints: 8 };

/** Returns the requests per second that the endpoints of a fleet can complete. */
function capacityPerS({ endpoints }: Fleet): number {
  return (endpoints * SLOTS * 1000) / RUN_MS;
}

describe('an overloaded fleet', () => {
  const overloads: readonly (readonly [string, Fleet, number])[] = [
    ['large fleet at 1.3 times its capacity', LARGE, 1.3],
    ['large fleet at 1.9 times its capacity', LARGE, 1.9],
    ['small fleet at 1.3 times its capacity', SMALL, 1.3],
  ];
  for (const [name, fleet, times] of overloads) {
    test(
      title(`${name}: serves most requests up to the capacity within their target`),
      async (t) => {
        const maxPerS = capacityPerS(fleet);
        for (const seed of SEEDS) {
          const load = { inPeaksPerS: times * maxPerS, betweenPerS: 0.3 * maxPerS };
          const simulated = await simulate(fleet, load, seed);
          const { sent, withinTarget, afterTarget, refused, disconnected } = simulated.sum();
          const capacity = simulated.seconds.reduce(
            (sum, { sent: inSecond }) => sum + Math.min(inSecond, maxPerS),
            0,
          );
          t.log(
            `sent ${sent}, capacity ${Math.round(capacity)}, within target ${withinTarget}, after ${afterTarget}`,
          );
          t.true(
            withinTarget >= 0.7 * capacity,
            `seed ${seed}: ${withinTarget} of ${Math.round(capacity)}`,
          );
          t.is(
            withinTarget + afterTarget + refused + disconnected,
            sent,
            'each request has an outcome',
          );
          t.true(disconnected <= 0.01 * sent, `${disconnected} disconnected`);
        }
      },
    );
  }

  test(
    title('at nine tenths of the capacity in peaks, nearly all requests are within their target'),
    async (t) => {
      for (const fleet of [LARGE, SMALL]) {
        const maxPerS = capacityPerS(fleet);
        for (const seed of SEEDS) {
          const load = { inPeaksPerS: 0.9 * maxPerS, betweenPerS: 0.3 * maxPerS };
          const { sent, withinTarget } = (await simulate(fleet, load, seed)).sum();
          t.true(withinTarget >= 0.95 * sent, `seed ${seed}: ${withinTarget} of ${sent}`);
        }
      }
    },
  );
});

describe('a power loss of all instances in a peak', () => {
  test(title('afterwards new requests are served before those past their target'), async (t) => {
    const fleet: Fleet = { entries: 56, endpoints: 42, outageMs: [3300, 4600] };
    const maxPerS = capacityPerS(fleet);
    for (const seed of SEEDS) {
      const load = { inPeaksPerS: 0.7 * maxPerS, betweenPerS: 0.15 * maxPerS };
      const simulated = await simulate(fleet, load, seed);
      const after = simulated.sum(5, 6);
      t.log(`sent in the second after: ${after.sent}, within target ${after.withinTarget}`);
      t.true(
        after.withinTarget >= 0.7 * after.sent,
        `seed ${seed}: ${after.withinTarget} of ${after.sent}`,
      );
      const { refused, disconnected, sent } = simulated.sum();
      t.true(
        refused + disconnected <= 0.05 * sent,
        `${refused} refused, ${disconnected} disconnected of ${sent}`,
      );
    }
  });
});

interface ReportFigures {
  messages: number;
  waited: number;
  items: number;
}

/** Returns the sums of the figures over several seeds. */
async function simulateReports(fleet: Fleet, load: Load): Promise<ReportFigures> {
  const sums = { messages: 0, waited: 0, items: 0 };
  for (const seed of [...SEEDS, 10, 11, 12]) {
    const { messageCount, waitedAtEndpoint, completedItems } = await simulate(fleet, load, seed);
    sums.messages += messageCount;
    sums.waited += waitedAtEndpoint;
    sums.items += completedItems;
  }
  return sums;
}

// Reports that are too late would let entries fill endpoints beyond their slots, or leave slots
// unused because endpoints still look full.
describe('load reports by urgency, compared to reports of every change within 25 ms', () => {
  const betweenPerS = 0.13 * capacityPerS(LARGE);
  const inPeaksPerS = 5 * betweenPerS;
  const loads: readonly (readonly [string, Fleet, Load, number])[] = [
    ['no peaks', LARGE, { inPeaksPerS: betweenPerS, betweenPerS }, 0.25],
    ['five-fold peaks', LARGE, { inPeaksPerS, betweenPerS }, 1],
    ['five-fold peaks and items', { ...LARGE, itemsPerS: 8 }, { inPeaksPerS, betweenPerS }, 1],
  ];
  for (const [name, fleet, load, messageShare] of loads) {
    test(title(`${name}: no more requests wait at endpoints, fewer messages`), async (t) => {
      const urgency = { delayMs: () => 25 };
      const before = await simulateReports({ ...fleet, urgency }, load);
      const after = await simulateReports(fleet, load);
      t.log('before', before, 'after', after);
      t.true(after.messages <= messageShare * before.messages);
      t.true(after.waited <= 5 + 1.1 * before.waited);
      t.true(after.items >= 0.97 * before.items);
    });
  }
});
