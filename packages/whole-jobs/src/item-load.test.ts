import test from 'ava';
import fc from 'fast-check';
import { MemoryItemFiles } from '@shedline/storage';
import { describe, seededRandom, title } from '@shedline/test-utils';
import { unitHash } from '@shedline/types';
import { ItemDispenser } from './item-dispenser.js';
import type { ItemRef } from './item-dispenser.js';
import { WholeJobs } from './whole-jobs.js';

const SLOTS = 12;
const RUN_MS = 5000;
const EVENTS = 100;
const EVENT_MS = RUN_MS / EVENTS;
const DUE_MS = 18_000;
const JOB_ITEMS = 10;
/** Arrivals end after this; items are served until the last one is due. */
const LOAD_MS = 60_000;
const END_MS = LOAD_MS + DUE_MS;

interface Run extends ItemRef {
  eventCount: number;
  /** Events of the whole item; nobody knows it before its end. */
  readonly size: number;
  /** Until this moment the prompt is read. */
  readonly readUntilMs: number;
}

/** Time to hand out an item and to read its prompt. */
const BEGIN_MS = 300;
/** Sizes differ by this share of the mean, both ways. */
const SIZE_SPREAD = 0.5;

interface Load {
  /** Items that come, as a multiple of what the slots can finish. */
  readonly times: number;
  /** Time between two moments at which online work takes a slot. */
  readonly cutEveryMs: number;
  /** Time that online work keeps a slot. */
  readonly cutForMs: number;
  readonly seed: number;
}

interface Outcome {
  readonly onTime: number;
  /** Items that an order with full knowledge could have finished on time at the most. */
  readonly bound: number;
}

/** Plays a load on a clock of its own, event by event. */
class LoadPlay {
  private readonly load: Load;
  private readonly random: () => number;
  private readonly jobs = new WholeJobs(new MemoryItemFiles());
  private readonly dispenser = new ItemDispenser({ leaseMs: 10 * END_MS });
  private readonly submittedAtMs = new Map<string, number>();
  private readonly runs: Run[] = [];
  /** Ends of the times for which online work holds a slot. */
  private taken: number[] = [];
  private logIndex = 0;
  private nowMs = 0;
  private onTime = 0;
  private slotMs = 0;

  constructor(load: Load) {
    this.load = load;
    this.random = seededRandom(load.seed);
  }

  play(): Outcome {
    const jobEveryMs = (RUN_MS * JOB_ITEMS) / (SLOTS * this.load.times);
    for (let due = 0; this.nowMs < END_MS; this.nowMs += EVENT_MS) {
      for (; due <= this.nowMs && due < LOAD_MS; due += jobEveryMs) this.submit();
      this.taken = this.taken.filter((untilMs) => untilMs > this.nowMs);
      const isCut = Math.floor(this.nowMs / this.load.cutEveryMs);
      if (isCut !== Math.floor((this.nowMs - EVENT_MS) / this.load.cutEveryMs)) this.cut();
      this.fill();
      this.advance();
    }
    const items = this.submittedAtMs.size * JOB_ITEMS;
    return { onTime: this.onTime, bound: Math.min(items, Math.floor(this.slotMs / RUN_MS)) };
  }

  private submit(): void {
    const jobId = `job-${this.logIndex}`;
    this.submittedAtMs.set(jobId, this.nowMs);
    const items = Array.from({ length: JOB_ITEMS }, (_, item) => ({
      itemId: `${jobId}-${item}`,
      path: '/p/x',
      headers: [],
      body: new Uint8Array(0),
      tokens: 1,
    }));
    const rules = {
      maxWaitingTokens: 0,
      resultsDueMs: DUE_MS,
      keepItemsMs: END_MS,
      maxAttempts: 3,
    };
    this.apply({
      type: 'submitJob',
      jobId,
      host: 'h',
      path: '/p/',
      quotaKey: 'k',
      ...rules,
      items,
    });
  }

  private apply(command: object): void {
    this.logIndex += 1;
    const timed = { ...command, atMs: this.nowMs } as Parameters<WholeJobs['apply']>[0];
    this.jobs.apply(timed, this.logIndex);
  }

  /** Online work takes a slot; the run with the least to lose goes. */
  private cut(): void {
    this.taken.push(this.nowMs + this.load.cutForMs * (0.5 + this.random()));
    if (this.runs.length + this.taken.length <= SLOTS) return;
    this.runs.sort((a, b) => b.eventCount - a.eventCount);
    const cut = this.runs.pop();
    if (cut === undefined) return;
    const { jobId, index, eventCount } = cut;
    const progress = {
      pieces: Array.from({ length: eventCount }, () => 'x'),
      lastEventId: String(eventCount),
    };
    const returned = [{ jobId, index, ...(eventCount === 0 ? {} : { progress }) }];
    this.apply({ type: 'commitRuns', holder: 'a', finished: [], failed: [], returned });
    this.dispenser.release('a', returned);
  }

  private fill(): void {
    const maxItems = SLOTS - this.taken.length - this.runs.length;
    if (maxItems <= 0) return;
    const request = { holder: 'a', routeKey: 'k', maxItems, runMs: RUN_MS, runEvents: EVENTS };
    const time = { nowMs: this.nowMs, wallMs: this.nowMs };
    for (const { job, index } of this.dispenser.grant(this.jobs, request, time).items) {
      const { jobId } = job.identity;
      const eventCount = job.eventCount(index);
      const readUntilMs = this.nowMs + BEGIN_MS;
      this.runs.push({ jobId, index, eventCount, size: sizeOf(jobId, index), readUntilMs });
    }
  }

  private advance(): void {
    this.slotMs += EVENT_MS * Math.max(0, SLOTS - this.taken.length);
    for (const run of this.runs) if (run.readUntilMs <= this.nowMs) run.eventCount += 1;
    const done = this.runs.filter(({ eventCount, size }) => eventCount >= size);
    for (const run of done) this.finish(run);
  }

  private finish(run: Run): void {
    const { jobId, index } = run;
    this.runs.splice(this.runs.indexOf(run), 1);
    const finished = [{ jobId, index, state: 'complete', text: '' }];
    this.apply({ type: 'commitRuns', holder: 'a', finished, failed: [], returned: [] });
    this.dispenser.finished([{ jobId, index }], this.nowMs);
    if (this.nowMs <= (this.submittedAtMs.get(jobId) ?? 0) + DUE_MS) this.onTime += 1;
  }
}

/** The same for each run of an item. */
function sizeOf(jobId: string, index: number): number {
  const unit = unitHash(`${jobId}/${index}`);
  return Math.round(EVENTS * (1 + SIZE_SPREAD * (2 * unit - 1)));
}

function shareOf(load: Load): number {
  const { onTime, bound } = new LoadPlay(load).play();
  return onTime / bound;
}

describe('items on time, of those that an order with full knowledge could finish', () => {
  /** Online work takes a slot three times a second for 1.5 s: 4 to 5 of 12 slots on average. */
  const busy = { cutEveryMs: 333, cutForMs: 1500, seed: 1 };

  test(title('all where there is room'), (t) => {
    for (const times of [0.3, 0.6]) t.is(shareOf({ ...busy, times }), 1);
  });

  /** With the soonest due first: 0.75, 0.58 and 0.58; now 0.81, 0.83 and 0.85. */
  test(title('at one, two and four times the capacity'), (t) => {
    for (const times of [1, 2, 4]) {
      const share = shareOf({ ...busy, times });
      t.log(`${times}: ${share.toFixed(2)}`);
      t.true(share > 0.78, `${times} times the capacity: ${share.toFixed(2)}`);
    }
  });

  /** 0.33 where nothing bounds what interruptions are taken to cost, and with the soonest due first. */
  test(title('where online work takes most slots'), (t) => {
    const share = shareOf({ ...busy, cutEveryMs: 160, times: 1 });
    t.log(share.toFixed(2));
    t.true(share > 0.5);
  });

  test(title('whatever online work takes'), (t) => {
    const load = fc.record({
      times: fc.double({ min: 0.5, max: 4, noNaN: true }),
      cutEveryMs: fc.integer({ min: 250, max: 3000 }),
      cutForMs: fc.integer({ min: 100, max: 1200 }),
      seed: fc.nat(1000),
    });
    fc.assert(
      fc.property(load, (one) => shareOf(one) > 0.6),
      { seed: 41, numRuns: 25 },
    );
    t.pass();
  });
});
