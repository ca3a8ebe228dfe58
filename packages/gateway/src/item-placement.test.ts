/**
 * Guards against items that are given up because their endpoints crashed, against items that never
 * complete beside one that crashes endpoints, and against one that crashes them without a pause.
 */
import test from 'ava';
import fc from 'fast-check';
import { MemoryItemFiles } from '@shedline/storage';
import { describe, title } from '@shedline/test-utils';
import { ItemDispenser, WholeJobs } from '@shedline/whole-jobs';
import type { CommitRuns, ItemRequest } from '@shedline/whole-jobs';
import { aloneCapacity, placeItems } from './item-placement.js';
import type { PlacementTarget } from './item-placement.js';

const ORIGIN = { service: 's', softwareVersion: 'v1' };
const NEWER = { ...ORIGIN, softwareVersion: 'v2' };
const ENTRIES = 2;
const ENDPOINTS_PER_ENTRY = 2;
const SLOTS = 3;
const ITEMS = 9;
const LEASE_MS = 1_000_000;
/** Crashes of an item from which on its next run is delayed, and by how much. */
const CRASHES_BEFORE_PAUSE = 2;
const CRASH_PAUSE_MS = 4000;
/** Steps after which all items that crash no endpoints must have ended. */
const LAST_STEPS = 2000;
/** Events of a run; too few to restart the count of crashes. */
const MAX_EVENTS = 3;

interface Run {
  readonly index: number;
  readonly endpoint: number;
  readonly runId: string;
  events: number;
}

interface Step {
  readonly action: 'grant' | 'advance' | 'end' | 'stop' | 'changeLeader' | 'expireLeases';
  /** Selects the entry or the run. */
  readonly choice: number;
}

/** Entries with slots at endpoints, and a group of stores, on a virtual clock. */
class Simulation {
  /** Times of the crashes that each item has caused. */
  readonly crashesMs = new Map<number, number[]>();
  private readonly files = new MemoryItemFiles();
  private readonly dispenser = new ItemDispenser({ leaseMs: LEASE_MS });
  private readonly crashing: ReadonlySet<number>;
  private jobs = new WholeJobs(this.files);
  private runs: Run[] = [];
  private readonly reserved = new Map<number, number>();
  private runCount = 0;
  private logIndex = 0;
  private nowMs = 10_000;

  constructor(crashing: readonly number[]) {
    this.crashing = new Set(crashing);
    const items = Array.from({ length: ITEMS }, (_, index) => ({
      itemId: `i${index}`,
      path: '/',
      headers: [],
      body: new Uint8Array(0),
      tokens: 1,
    }));
    const limits = { maxWaitingTokens: 0, resultsDueMs: 1e9, keepItemsMs: 1e9, maxAttempts: 3 };
    const names = { jobId: 'j', host: 'h', path: '/', quotaKey: 'key' };
    this.jobs.apply({ type: 'submitJob', atMs: 0, ...names, ...limits, items }, 1);
  }

  apply({ action, choice }: Step): void {
    const run = this.runs[choice % Math.max(1, this.runs.length)];
    if (action === 'grant') this.grant(choice % ENTRIES);
    else if (action === 'advance') this.nowMs += choice;
    else if (action === 'changeLeader') this.changeLeader();
    else if (action === 'expireLeases') this.dispenser.becameLeader(this.nowMs);
    else if (run !== undefined && action === 'stop') this.returnRun(run);
    else if (run !== undefined && this.crashing.has(run.index) && run.events >= eventsOf(run))
      this.crash(run);
    else if (run !== undefined) this.progress(run);
  }

  /** Results by item, after enough further steps for all items to end. */
  finish(): Map<string, string> {
    for (let step = 0; step < LAST_STEPS; step += 1) {
      const action = (['grant', 'end', 'advance'] as const)[step % 3] ?? 'grant';
      this.apply({ action, choice: action === 'advance' ? 200 : Math.floor(step / 3) });
    }
    const { results } = this.jobs.results('j', 0, Infinity) ?? { results: [] };
    return new Map(results.map(({ itemId, state }) => [itemId, state]));
  }

  private commit(runs: Partial<CommitRuns>): void {
    const empty = { holder: 'e', finished: [], failed: [], returned: [] };
    this.logIndex += 1;
    const command = { type: 'commitRuns', atMs: 0, ...empty, ...runs } as const;
    this.jobs.apply(command, this.logIndex);
    this.dispenser.recordFinished(command.finished, this.nowMs);
    this.dispenser.release('e', command.returned);
  }

  private grant(entry: number): void {
    const owned = Array.from({ length: ENDPOINTS_PER_ENTRY }, (_, number) => entry * 2 + number);
    const runningAt = (endpoint: number): number =>
      this.runs.filter((run) => run.endpoint === endpoint).length;
    const isAlone = (endpoint: number): boolean =>
      this.runs.some((run) => run.endpoint === endpoint && this.mustRunAlone.has(run.runId));
    for (const endpoint of owned) {
      const index = this.reserved.get(endpoint);
      if (index === undefined || runningAt(endpoint) > 0) continue;
      this.reserved.delete(endpoint);
      this.start(index, endpoint, true);
    }
    const targets: PlacementTarget[] = owned
      .filter((endpoint) => !this.reserved.has(endpoint) && !isAlone(endpoint))
      .map((endpoint) => ({ endpoint, running: runningAt(endpoint) }))
      .filter(({ running }) => running < SLOTS)
      .map(({ endpoint, running }) => ({
        endpointId: String(endpoint),
        free: SLOTS - running,
        running,
        origin: ORIGIN,
      }));
    const mayReserve = !owned.some((endpoint) => this.reserved.has(endpoint));
    const request: ItemRequest = {
      holder: 'e',
      routeKey: 'key',
      maxItems: targets.reduce((sum, { free }) => sum + free, 0),
      runMs: 1000,
      runEvents: 100,
      maxAloneItems: aloneCapacity(targets, mayReserve),
    };
    const { items } = this.dispenser.grant(this.jobs, request, { nowMs: this.nowMs, wallMs: 0 });
    const { starts, reservations, unplaced } = placeItems(items, targets, mayReserve);
    for (const { item, endpointId } of starts)
      this.start(item.index, Number(endpointId), item.mustRunAlone);
    for (const { item, endpointId } of reservations)
      this.reserved.set(Number(endpointId), item.index);
    this.commit({ returned: unplaced.map(({ index }) => ({ jobId: 'j', index })) });
  }

  private readonly mustRunAlone = new Set<string>();

  private start(index: number, endpoint: number, mustRunAlone: boolean): void {
    this.runCount += 1;
    const run = { index, endpoint, runId: `r${this.runCount}`, events: 0 };
    if (mustRunAlone) this.mustRunAlone.add(run.runId);
    this.runs.push(run);
  }

  /** Ends the run when it has all its events. */
  private progress(run: Run): void {
    run.events += 1;
    if (run.events <= MAX_EVENTS) return;
    this.runs = this.runs.filter((other) => other !== run);
    const result = { jobId: 'j', index: run.index, state: 'complete', text: '' } as const;
    this.commit({ finished: [result] });
  }

  private returnRun(run: Run): void {
    this.runs = this.runs.filter((other) => other !== run);
    this.commit({ returned: [{ jobId: 'j', index: run.index }] });
  }

  private crash({ index, endpoint }: Run): void {
    this.crashesMs.set(index, [...(this.crashesMs.get(index) ?? []), this.nowMs]);
    const ended = this.runs.filter((run) => run.endpoint === endpoint);
    this.runs = this.runs.filter((run) => run.endpoint !== endpoint);
    const refs = ended.map((run) => ({ jobId: 'j', index: run.index }));
    this.commit({
      returned: refs,
      sharedCrashes: ended.map(({ index: item, runId, events }) => {
        return { jobId: 'j', index: item, runId, hasBegun: events > 0 };
      }),
    });
  }

  /** A replica with a copy of a snapshot leads; the holders renew their leases. */
  private changeLeader(): void {
    const jobs = new WholeJobs(this.files);
    jobs.restore(structuredClone(this.jobs.toData()));
    this.jobs = jobs;
    this.dispenser.becameLeader(this.nowMs);
    const held = [...this.runs.map(({ index }) => index), ...this.reserved.values()];
    const refs = held.map((index) => ({ jobId: 'j', index }));
    this.dispenser.renew(jobs, 'e', refs, this.nowMs);
  }
}

/** Events of a run of a crashing item before the crash. */
function eventsOf({ index }: Pick<Run, 'index'>): number {
  return index % 2;
}

const USUAL_ACTIONS = ['grant', 'advance', 'end', 'end', 'end', 'stop', 'changeLeader'] as const;

function schedule(actions: readonly Step['action'][]): fc.Arbitrary<Step[]> {
  const step = fc.record({ action: fc.constantFrom(...actions), choice: fc.nat(2000) });
  return fc.array(step, { maxLength: 120 });
}

/** Whether exactly the items that crash endpoints are still owed, and all others completed. */
function isRightOutcome(simulation: Simulation, crashing: readonly number[]): boolean {
  const states = simulation.finish();
  return Array.from({ length: ITEMS }, (_, index) => index).every(
    (index) => states.get(`i${index}`) === (crashing.includes(index) ? undefined : 'complete'),
  );
}

/** Whether an item paused after each crash from the second on. */
function hasPaused(crashesMs: readonly number[]): boolean {
  return crashesMs
    .slice(CRASHES_BEFORE_PAUSE)
    .every((atMs, index) => atMs - (crashesMs[index + 1] ?? 0) >= CRASH_PAUSE_MS);
}

const crashingItems = fc.uniqueArray(fc.nat(ITEMS - 1), { maxLength: 3 });

describe('items beside items that crash endpoints', () => {
  test(title('complete, and the others stay owed and pause between their crashes'), (t) => {
    fc.assert(
      fc.property(crashingItems, schedule(USUAL_ACTIONS), (crashing, steps) => {
        const simulation = new Simulation(crashing);
        for (const step of steps) simulation.apply(step);
        const isRight = isRightOutcome(simulation, crashing);
        return isRight && [...simulation.crashesMs.values()].every(hasPaused);
      }),
      { seed: 12, numRuns: 300 },
    );
    t.pass();
  });

  // An item whose lease expired may run twice, each time beside the same crashing item.
  test(title('complete if leases expire during their runs'), (t) => {
    const actions = [...USUAL_ACTIONS, 'grant', 'expireLeases'] as const;
    fc.assert(
      fc.property(crashingItems, schedule(actions), (crashing, steps) => {
        const simulation = new Simulation(crashing);
        for (const step of steps) simulation.apply(step);
        return isRightOutcome(simulation, crashing);
      }),
      { seed: 13, numRuns: 300 },
    );
    t.pass();
  });
});

describe('placement of granted items', () => {
  const vacant = { endpointId: 'vacant', free: 4, running: 0, origin: ORIGIN };
  const busy = { endpointId: 'busy', free: 1, running: 3, origin: ORIGIN };
  const suspected = { name: 'suspected', mustRunAlone: true };
  const other = { name: 'other', mustRunAlone: false };

  test(title('an item that must run alone gets a vacant endpoint to itself'), (t) => {
    const { starts, unplaced } = placeItems([other, suspected, other], [busy, vacant], true);
    t.deepEqual(starts, [
      { item: suspected, endpointId: 'vacant' },
      { item: other, endpointId: 'busy' },
    ]);
    t.deepEqual(unplaced, [other]);
  });

  test(title('an item with progress prefers the software version that wrote it'), (t) => {
    const newer = { ...vacant, endpointId: 'newer', free: 2, origin: NEWER };
    const progress = { pieces: ['a'], lastEventId: '1' };
    const begun = { name: 'begun', progress: { ...progress, origin: ORIGIN } };
    const unstated = { name: 'unstated', progress };
    const { starts, unplaced } = placeItems([unstated, begun, begun, other], [newer, busy], true);
    t.deepEqual(starts, [
      { item: begun, endpointId: 'busy' },
      { item: unstated, endpointId: 'newer' },
      { item: begun, endpointId: 'newer' },
    ]);
    t.deepEqual(unplaced, [other]);
  });

  test(title('without a vacant endpoint one endpoint is reserved at a time'), (t) => {
    t.is(aloneCapacity([busy], true), 1);
    t.is(aloneCapacity([busy], false), 0);
    const targets = [busy, { ...busy, endpointId: 'emptier', running: 2 }];
    const { starts, reservations, unplaced } = placeItems([suspected, suspected], targets, true);
    t.deepEqual(reservations, [{ item: suspected, endpointId: 'emptier' }]);
    t.deepEqual([starts, unplaced], [[], [suspected]]);
    t.deepEqual(placeItems([suspected], targets, false).unplaced, [suspected]);
  });
});
