/**
 * Plays loads of many entries and endpoints through the queues and pools of the entries, on a clock of its own, and
 * checks what callers get: under more work than fits, and after a loss of all power in a peak.
 */
import test from 'ava';
import { EndpointSubsets } from '@shedline/directory';
import type { ZonedName } from '@shedline/directory';
import { runIdOf } from '@shedline/fleet';
import { EndpointQueue } from '@shedline/forwarding';
import { describe, seededRandom, title } from '@shedline/test-utils';
import type { RandomSource } from '@shedline/test-utils';
import { EndpointPool } from './endpoint-pool.js';
import type { LoadCount } from './endpoint-pool.js';

const SERVICE = 's';
const SLOTS = 8;
const ZONES = 3;
/** Time that an endpoint is at work on a request, give or take a quarter, and to its first event. */
const RUN_MS = 710;
const FIRST_EVENT_MS = 45;
const TARGET_MS = 300;
const DEADLINE_MS = 5000;
/** Callers leave a stream that has not begun by then. */
const PATIENCE_MS = 2000;
/** Time until an entry hears of the load of another. */
const NEWS_MS = 30;
const HEARTBEAT_MS = 1000;
/** Time from which on entries that start together hear of each other's load. */
const LINKS_UP_MS = 800;
/** Peaks return this often, and last from their beginning to the end of the period. */
const PERIOD_MS = 5200;
const PEAK_FROM_MS = 3000;
const LENGTH_MS = 10_400;

/** Requests a second. */
interface Load {
  readonly inPeaksPerS: number;
  readonly betweenPerS: number;
}

interface Fleet {
  readonly entries: number;
  readonly endpoints: number;
  /** All power is lost at the first time, and the entries serve again from the second. */
  readonly outageMs?: readonly [number, number];
}

/** What callers got that asked in one second. */
interface Second {
  asked: number;
  onTime: number;
  late: number;
  refused: number;
  /** Left before the answer began. */
  left: number;
}

/** One request at an endpoint. */
interface EngineJob {
  begun(): void;
  done(): void;
}

interface Engine {
  running: number;
  waiting: EngineJob[];
  /** Counts the losses of power. */
  life: number;
}

interface Entry {
  readonly place: ZonedName;
  readonly pool: EndpointPool;
  readonly queue: EndpointQueue;
}

function placed(prefix: string, count: number): ZonedName[] {
  return Array.from({ length: count }, (_, index) => {
    const availabilityZone = `z${Math.floor((index * ZONES) / count)}`;
    return { name: `${prefix}${index}`, availabilityZone };
  });
}

/** Entries and endpoints in simulated time. */
class SimulatedFleet {
  readonly seconds: Second[] = [];
  private readonly load: Load;
  private readonly fleet: Fleet;
  private readonly random: RandomSource;
  private readonly places: readonly ZonedName[];
  private readonly endpoints: readonly ZonedName[];
  private readonly subsets: EndpointSubsets;
  private readonly engines = new Map<string, Engine>();
  private readonly due = new Map<number, (() => void)[]>();
  private readonly told = new Map<string, Set<string>>();
  private entries = new Map<string, Entry>();
  private held: { readonly entry: number; readonly askedAtMs: number }[] = [];
  private nowMs = 0;
  private linksUpAtMs = 0;

  constructor(fleet: Fleet, load: Load, seed: number) {
    this.fleet = fleet;
    this.load = load;
    this.random = seededRandom(seed);
    this.places = placed('e', fleet.entries);
    this.endpoints = placed('p', fleet.endpoints);
    const runs = this.endpoints.map(({ name, availabilityZone }) => {
      return { name: runOf(name), availabilityZone };
    });
    this.subsets = new EndpointSubsets({ entries: this.places, endpoints: runs });
    for (const { name } of runs) this.engines.set(name, { running: 0, waiting: [], life: 0 });
  }

  async play(): Promise<void> {
    this.startEntries();
    const [lostAtMs, backAtMs] = this.fleet.outageMs ?? [];
    for (this.nowMs = 1; this.nowMs < LENGTH_MS + DEADLINE_MS; this.nowMs += 1) {
      if (this.nowMs % HEARTBEAT_MS === 0) this.beat();
      if (this.nowMs === lostAtMs) this.losePower();
      if (this.nowMs === backAtMs) this.returnPower();
      for (const callback of this.due.get(this.nowMs) ?? []) callback();
      this.due.delete(this.nowMs);
      if (this.nowMs < LENGTH_MS) this.ask();
      await settled();
    }
  }

  /** Sum over the requests that were asked in some seconds. */
  sum(from = 0, to = Infinity): Second {
    const sum = { asked: 0, onTime: 0, late: 0, refused: 0, left: 0 };
    for (const second of this.seconds.slice(from, to)) {
      sum.asked += second.asked;
      sum.onTime += second.onTime;
      sum.late += second.late;
      sum.refused += second.refused;
      sum.left += second.left;
    }
    return sum;
  }

  private ask(): void {
    const isPeak = this.nowMs % PERIOD_MS >= PEAK_FROM_MS;
    const perS = isPeak ? this.load.inPeaksPerS : this.load.betweenPerS;
    for (let left = perS / 1000; left > 0; left -= 1) {
      if (this.random() >= left) continue;
      const entry = Math.floor(this.random() * this.places.length);
      this.secondOf(this.nowMs).asked += 1;
      const [lostAtMs = Infinity, backAtMs = 0] = this.fleet.outageMs ?? [];
      const isHeld = this.nowMs >= lostAtMs && this.nowMs < backAtMs;
      if (isHeld) this.held.push({ entry, askedAtMs: this.nowMs });
      else void this.request(entry, this.nowMs);
    }
  }

  private async request(index: number, askedAtMs: number): Promise<void> {
    const entry = this.entries.get(this.places[index]?.name ?? '');
    if (entry === undefined) throw new Error(`no entry ${index}`);
    const place = entry.queue.enter({
      service: SERVICE,
      tried: new Set(),
      mayRepeat: true,
      rank: 0,
      onTimeUntilMs: askedAtMs + TARGET_MS,
      deadlineMs: askedAtMs + DEADLINE_MS,
      beginByMs: askedAtMs + PATIENCE_MS,
    });
    const endpoint = await place.endpoint;
    const second = this.secondOf(askedAtMs);
    if (endpoint === undefined) {
      second.refused += 1;
      return;
    }
    const { endpointId, isForLate } = endpoint;
    const sentAtMs = this.nowMs;
    let leadMs = 0;
    const engine = this.engineOf(endpointId);
    engine.waiting.push({
      begun: () => {
        leadMs = this.nowMs - sentAtMs;
        const tookMs = this.nowMs - askedAtMs;
        if (tookMs <= TARGET_MS) second.onTime += 1;
        else if (tookMs <= PATIENCE_MS) second.late += 1;
        else second.left += 1;
      },
      done: () => {
        entry.pool.ended(endpointId, { kind: 'complete' }, leadMs);
        entry.queue.ended(SERVICE, { runMs: this.nowMs - sentAtMs, leadMs, isForLate });
      },
    });
    this.admit(engine);
  }

  private admit(engine: Engine): void {
    while (engine.running < SLOTS) {
      const job = engine.waiting.shift();
      if (job === undefined) return;
      engine.running += 1;
      const { life } = engine;
      const runMs = RUN_MS * (0.75 + 0.5 * this.random());
      this.after(FIRST_EVENT_MS, () => {
        if (engine.life === life) job.begun();
      });
      this.after(runMs, () => {
        if (engine.life !== life) return;
        engine.running -= 1;
        job.done();
        this.admit(engine);
      });
    }
  }

  /** What was under way is lost; its callers are not counted again. */
  private losePower(): void {
    for (const engine of this.engines.values()) {
      engine.running = 0;
      engine.waiting = [];
      engine.life += 1;
    }
  }

  private returnPower(): void {
    this.linksUpAtMs = this.nowMs + LINKS_UP_MS;
    this.told.clear();
    this.startEntries();
    for (const { entry, askedAtMs } of this.held) void this.request(entry, askedAtMs);
    this.held = [];
  }

  private startEntries(): void {
    this.entries = new Map(this.places.map((place) => [place.name, this.startEntry(place)]));
    this.beat();
  }

  private startEntry(place: ZonedName): Entry {
    const inSubset = new Set(this.subsets.endpointsOf(place.name));
    const pool = new EndpointPool({
      availabilityZone: place.availabilityZone,
      heartbeatMs: HEARTBEAT_MS,
      random: this.random,
      nowMs: () => this.nowMs,
      isLeaving: () => false,
      inSubset: () => inSubset,
      userCount: (endpointId) => this.subsets.entriesOf(endpointId).length,
      entryCount: () => this.places.length,
      onLoadChange: (endpointId) => {
        this.tellSoon(place.name, endpointId);
      },
      onSlotWanted: () => undefined,
      onRunGone: () => undefined,
      onSilence: () => undefined,
    });
    const after = (delayMs: number, callback: () => void): void => {
      this.after(delayMs, callback);
    };
    return {
      place,
      pool,
      queue: new EndpointQueue({ finder: pool, nowMs: () => this.nowMs, after }),
    };
  }

  private beat(): void {
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
    for (const { place, pool } of this.entries.values()) {
      pool.hear(heartbeats);
      this.tell(
        place.name,
        pool.ownLoads().filter(({ online }) => online > 0),
      );
    }
  }

  /** Loads that changed go out together, as `LoadExchange` sends them. */
  private tellSoon(entry: string, endpointId: string): void {
    const known = this.told.get(entry);
    if (known !== undefined) {
      known.add(endpointId);
      return;
    }
    const changed = new Set([endpointId]);
    this.told.set(entry, changed);
    this.after(NEWS_MS, () => {
      if (this.told.get(entry) !== changed) return;
      this.told.delete(entry);
      const loads = this.entries.get(entry)?.pool.ownLoads() ?? [];
      this.tell(
        entry,
        loads.filter((count) => changed.has(count.endpointId)),
      );
    });
  }

  private tell(entry: string, counts: readonly LoadCount[]): void {
    if (this.nowMs < this.linksUpAtMs) return;
    for (const count of counts) {
      for (const user of this.subsets.entriesOf(count.endpointId)) {
        if (user !== entry) this.entries.get(user)?.pool.hearLoads(entry, [count]);
      }
    }
  }

  private after(delayMs: number, callback: () => void): void {
    const atMs = Math.max(this.nowMs + 1, Math.ceil(this.nowMs + delayMs));
    const known = this.due.get(atMs);
    if (known === undefined) this.due.set(atMs, [callback]);
    else known.push(callback);
  }

  private secondOf(atMs: number): Second {
    const index = Math.floor(atMs / 1000);
    const known = this.seconds[index] ?? { asked: 0, onTime: 0, late: 0, refused: 0, left: 0 };
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

/** Lets the promises of what happened in this millisecond go on. */
async function settled(): Promise<void> {
  for (let turn = 0; turn < 6; turn += 1) await Promise.resolve();
}

async function played(fleet: Fleet, load: Load, seed: number): Promise<SimulatedFleet> {
  const simulated = new SimulatedFleet(fleet, load, seed);
  await simulated.play();
  return simulated;
}

const SEEDS = [7, 8, 9];
const LARGE: Fleet = { entries: 56, endpoints: 42 };
const SMALL: Fleet = { entries: 13, endpoints: 8 };

/** Requests a second that the endpoints of a fleet finish. */
function capacityPerS({ endpoints }: Fleet): number {
  return (endpoints * SLOTS * 1000) / RUN_MS;
}

describe('callers of a fleet with more work than fits', () => {
  const overloads: readonly (readonly [string, Fleet, number])[] = [
    ['large fleet, 1.3 times what fits', LARGE, 1.3],
    ['large fleet, 1.9 times what fits', LARGE, 1.9],
    ['small fleet, 1.3 times what fits', SMALL, 1.3],
  ];
  for (const [name, fleet, times] of overloads) {
    test(title(`${name}: of what fits, most is on time`), async (t) => {
      const fitsPerS = capacityPerS(fleet);
      for (const seed of SEEDS) {
        const load = { inPeaksPerS: times * fitsPerS, betweenPerS: 0.3 * fitsPerS };
        const fleetPlayed = await played(fleet, load, seed);
        const { asked, onTime, late, refused, left } = fleetPlayed.sum();
        const fits = fleetPlayed.seconds.reduce(
          (sum, { asked: own }) => sum + Math.min(own, fitsPerS),
          0,
        );
        t.log(`asked ${asked}, fits ${Math.round(fits)}, on time ${onTime}, late ${late}`);
        t.true(onTime >= 0.7 * fits, `seed ${seed}: ${onTime} of ${Math.round(fits)}`);
        t.is(onTime + late + refused + left, asked, 'everybody is answered');
        t.true(left <= 0.01 * asked, `${left} left`);
      }
    });
  }

  test(title('nine tenths of what fits in peaks: hardly anybody is late'), async (t) => {
    for (const fleet of [LARGE, SMALL]) {
      const fitsPerS = capacityPerS(fleet);
      for (const seed of SEEDS) {
        const load = { inPeaksPerS: 0.9 * fitsPerS, betweenPerS: 0.3 * fitsPerS };
        const { asked, onTime } = (await played(fleet, load, seed)).sum();
        t.true(onTime >= 0.95 * asked, `seed ${seed}: ${onTime} of ${asked}`);
      }
    }
  });
});

describe('callers after a loss of all power in a peak', () => {
  test(title('those that ask once it is back are served before those that are late'), async (t) => {
    const fleet: Fleet = { entries: 56, endpoints: 42, outageMs: [3300, 4600] };
    const fitsPerS = capacityPerS(fleet);
    for (const seed of SEEDS) {
      const load = { inPeaksPerS: 0.7 * fitsPerS, betweenPerS: 0.15 * fitsPerS };
      const fleetPlayed = await played(fleet, load, seed);
      const after = fleetPlayed.sum(5, 6);
      t.log(`asked in the second after: ${after.asked}, on time ${after.onTime}`);
      t.true(after.onTime >= 0.7 * after.asked, `seed ${seed}: ${after.onTime} of ${after.asked}`);
      const { refused, left, asked } = fleetPlayed.sum();
      t.true(refused + left <= 0.05 * asked, `${refused} refused, ${left} left of ${asked}`);
    }
  });
});
