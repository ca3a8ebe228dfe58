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
const EVENTS_PER_ITEM = 100;
const EVENT_INTERVAL_MS = RUN_MS / EVENTS_PER_ITEM;
const DUE_MS = 18_000;
const JOB_ITEMS = 10;
/** Jobs are submitted during this time; items run until the last job is due. */
const SUBMISSION_PERIOD_MS = 60_000;
const END_MS = SUBMISSION_PERIOD_MS + DUE_MS;

interface Run extends ItemRef {
  eventCount: number;
  /** Number of events of the complete item; the dispenser does not know it. */
  readonly size: number;
  /** Time at which the prompt has been processed and events begin. */
  readonly prefillUntilMs: number;
}

/** Time to grant an item and to process its prompt. */
const START_DELAY_MS = 300;
/** Maximum deviation of an item's size from the mean, as a share of the mean. */
const SIZE_VARIATION = 0.5;

interface Load {
  /** Submitted items as a multiple of the items that the slots can finish. */
  readonly loadFactor: number;
  /** Interval at which online work takes a slot. */
  readonly preemptionIntervalMs: number;
  /** Mean time for which online work holds a slot. */
  readonly preemptionMs: number;
  readonly seed: number;
}

interface Outcome {
  readonly timelyCount: number;
  /** Upper bound on the items that an optimal order could finish by their due time. */
  readonly maxTimelyCount: number;
}

/** Simulates a load on a virtual clock, one event interval at a time. */
class LoadSimulation {
  private readonly load: Load;
  private readonly random: () => number;
  private readonly jobs = new WholeJobs(new MemoryItemFiles());
  private readonly dispenser = new ItemDispenser({ leaseMs: 10 * END_MS });
  private readonly submittedAtMsByJob = new Map<string, number>();
  private readonly runs: Run[] = [];
  /** Times until which online work holds slots, one entry per slot. */
  private onlineSlotsUntilMs: number[] = [];
  private logIndex = 0;
  private nowMs = 0;
  private timelyCount = 0;
  private slotMs = 0;

  constructor(load: Load) {
    this.load = load;
    this.random = seededRandom(load.seed);
  }

  run(): Outcome {
    const jobIntervalMs = (RUN_MS * JOB_ITEMS) / (SLOTS * this.load.loadFactor);
    for (let atMs = 0; this.nowMs < END_MS; this.nowMs += EVENT_INTERVAL_MS) {
      for (; atMs <= this.nowMs && atMs < SUBMISSION_PERIOD_MS; atMs += jobIntervalMs)
        this.submit();
      this.onlineSlotsUntilMs = this.onlineSlotsUntilMs.filter((untilMs) => untilMs > this.nowMs);
      const interval = Math.floor(this.nowMs / this.load.preemptionIntervalMs);
      if (
        interval !== Math.floor((this.nowMs - EVENT_INTERVAL_MS) / this.load.preemptionIntervalMs)
      )
        this.preempt();
      this.startRuns();
      this.advance();
    }
    const items = this.submittedAtMsByJob.size * JOB_ITEMS;
    return {
      timelyCount: this.timelyCount,
      maxTimelyCount: Math.min(items, Math.floor(this.slotMs / RUN_MS)),
    };
  }

  private submit(): void {
    const jobId = `job-${this.logIndex}`;
    this.submittedAtMsByJob.set(jobId, this.nowMs);
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
    const timestamped = { ...command, atMs: this.nowMs } as Parameters<WholeJobs['apply']>[0];
    this.jobs.apply(timestamped, this.logIndex);
  }

  /** Online work takes a slot; if none is free, the run with the fewest events is preempted. */
  private preempt(): void {
    this.onlineSlotsUntilMs.push(this.nowMs + this.load.preemptionMs * (0.5 + this.random()));
    if (this.runs.length + this.onlineSlotsUntilMs.length <= SLOTS) return;
    this.runs.sort((a, b) => b.eventCount - a.eventCount);
    const preempted = this.runs.pop();
    if (preempted === undefined) return;
    const { jobId, index, eventCount } = preempted;
    const progress = {
      pieces: Array.from({ length: eventCount }, () => 'x'),
      lastEventId: String(eventCount),
    };
    const returned = [{ jobId, index, ...(eventCount === 0 ? {} : { progress }) }];
    this.apply({ type: 'commitRuns', holder: 'a', finished: [], failed: [], returned });
    this.dispenser.release('a', returned);
  }

  private startRuns(): void {
    const maxItems = SLOTS - this.onlineSlotsUntilMs.length - this.runs.length;
    if (maxItems <= 0) return;
    const request = {
      holder: 'a',
      routeKey: 'k',
      maxItems,
      runMs: RUN_MS,
      runEvents: EVENTS_PER_ITEM,
    };
    const time = { nowMs: this.nowMs, wallMs: this.nowMs };
    for (const { job, index } of this.dispenser.grant(this.jobs, request, time).items) {
      const { jobId } = job.identity;
      const eventCount = job.eventCount(index);
      const prefillUntilMs = this.nowMs + START_DELAY_MS;
      this.runs.push({ jobId, index, eventCount, size: itemSize(jobId, index), prefillUntilMs });
    }
  }

  private advance(): void {
    this.slotMs += EVENT_INTERVAL_MS * Math.max(0, SLOTS - this.onlineSlotsUntilMs.length);
    for (const run of this.runs) if (run.prefillUntilMs <= this.nowMs) run.eventCount += 1;
    const done = this.runs.filter(({ eventCount, size }) => eventCount >= size);
    for (const run of done) this.finish(run);
  }

  private finish(run: Run): void {
    const { jobId, index } = run;
    this.runs.splice(this.runs.indexOf(run), 1);
    const finished = [{ jobId, index, state: 'complete', text: '' }];
    this.apply({ type: 'commitRuns', holder: 'a', finished, failed: [], returned: [] });
    this.dispenser.recordFinished([{ jobId, index }], this.nowMs);
    if (this.nowMs <= (this.submittedAtMsByJob.get(jobId) ?? 0) + DUE_MS) this.timelyCount += 1;
  }
}

/** Number of events of an item; the same for each of its runs. */
function itemSize(jobId: string, index: number): number {
  const unit = unitHash(`${jobId}/${index}`);
  return Math.round(EVENTS_PER_ITEM * (1 + SIZE_VARIATION * (2 * unit - 1)));
}

function onTimeShare(load: Load): number {
  const { timelyCount, maxTimelyCount } = new LoadSimulation(load).run();
  return timelyCount / maxTimelyCount;
}

describe('share of items finished by their due time, of those that an optimal order could finish', () => {
  /** Online work takes a slot three times a second for 1.5 s: 4 to 5 of 12 slots on average. */
  const busy = { preemptionIntervalMs: 333, preemptionMs: 1500, seed: 1 };

  test(title('all items below capacity'), (t) => {
    for (const loadFactor of [0.3, 0.6]) t.is(onTimeShare({ ...busy, loadFactor }), 1);
  });

  /**
   * Shares at the three loads: 0.75, 0.58 and 0.58 when ordered by due time alone; 0.81, 0.83 and
   * 0.85 in the order of the dispenser.
   */
  test(title('at one, two and four times the capacity'), (t) => {
    for (const loadFactor of [1, 2, 4]) {
      const share = onTimeShare({ ...busy, loadFactor });
      t.log(`${loadFactor}: ${share.toFixed(2)}`);
      t.true(share > 0.78, `${loadFactor} times the capacity: ${share.toFixed(2)}`);
    }
  });

  /** The share is 0.33 when ordered by due time alone, or with an unlimited slowdown estimate. */
  test(title('while online work takes most slots'), (t) => {
    const share = onTimeShare({ ...busy, preemptionIntervalMs: 160, loadFactor: 1 });
    t.log(share.toFixed(2));
    t.true(share > 0.5);
  });

  test(title('for any load of online work'), (t) => {
    const load = fc.record({
      loadFactor: fc.double({ min: 0.5, max: 4, noNaN: true }),
      preemptionIntervalMs: fc.integer({ min: 250, max: 3000 }),
      preemptionMs: fc.integer({ min: 100, max: 1200 }),
      seed: fc.nat(1000),
    });
    fc.assert(
      fc.property(load, (sample) => onTimeShare(sample) > 0.6),
      { seed: 41, numRuns: 25 },
    );
    t.pass();
  });
});
