/**
 * Simulates loads of one workspace on many entries with three strategies to enforce its limit. All
 * requests within the limit must be admitted, and no window may contain more than the limit and its
 * tolerance.
 */
import { QuotaHolder, QuotaOwner, RateBucket } from '@shedline/admission';
import test from 'ava';
import { describe, seededRandom, title } from '@shedline/test-utils';
import type { QuotaTerms } from './messages.js';
import { RequestLedger } from './request-ledger.js';
import { RequestShare } from './request-share.js';
import { allowedInWindow } from './tolerance.js';
import type { QuotaTolerance } from './tolerance.js';

const TOLERANCE: QuotaTolerance = { windowMs: 5000, overshootShare: 0.1, slack: 20 };
const WORKSPACE = 'w';
const REPORT_EVERY_MS = 50;
const CHECK_EVERY_MS = 500;
const LEASE_REQUEST_EVERY_MS = 250;
/** Time after a total power loss without any entry; processes restart within 0.42 to 0.45 s. */
const OUTAGE_MS = 400;

/** One request of the workspace: its time, and the number of the entry that receives it. */
interface Arrival {
  readonly atMs: number;
  readonly entry: number;
}

/** A strategy to enforce a limit over all entries. */
interface LimitStrategy {
  readonly name: string;
  /** Number of messages between processes so far. */
  messages: number;
  /** Returns whether the request is admitted. */
  arrive(arrival: Arrival): boolean;
  /** Called every millisecond. */
  tick(nowMs: number): void;
  /** Stops the counter; another process takes over. */
  loseCounter(nowMs: number): void;
  /** Restarts all processes. */
  restartAll(nowMs: number): void;
}

/** Entries report admitted requests to a counter, and need grants near the limit, or always. */
class CounterStrategy implements LimitStrategy {
  readonly name: string;
  messages = 0;
  private readonly terms: QuotaTerms;
  private readonly alwaysRequestsGrant: boolean;
  private readonly entryCount: number;
  private shares: RequestShare[] = [];
  private ledger: RequestLedger;
  private counterNumber = 0;
  private hasNotified = false;

  constructor(terms: QuotaTerms, entryCount: number, alwaysRequestsGrant: boolean) {
    this.name = alwaysRequestsGrant ? 'grant for each request' : 'reports, grants near the limit';
    this.terms = terms;
    this.alwaysRequestsGrant = alwaysRequestsGrant;
    this.entryCount = entryCount;
    this.ledger = new RequestLedger({ tolerance: TOLERANCE, startedAtMs: -100_000 });
    this.startShares();
  }

  arrive({ atMs: nowMs, entry }: Arrival): boolean {
    const share = this.share(entry);
    const mode = this.alwaysRequestsGrant ? 'ask' : share.modeOf(WORKSPACE, true, nowMs);
    if (mode === 'ask') {
      this.messages += 2;
      const request = { workspace: WORKSPACE, terms: this.terms, wanted: 1 };
      if (this.ledger.grant(request, nowMs).granted === 0) return false;
    }
    share.recordAdmitted(WORKSPACE, this.terms, { isCounted: mode === 'ask', nowMs });
    return true;
  }

  tick(nowMs: number): void {
    if (nowMs % REPORT_EVERY_MS === 0) this.sendReports(nowMs);
    if (nowMs % CHECK_EVERY_MS !== 0) return;
    this.ledger.tick(nowMs);
    this.notifyEntries(nowMs, this.ledger.workspacesNearLimit(nowMs));
  }

  loseCounter(): void {
    this.counterNumber += 1;
    // The process that takes over has been running for long, without this count.
    this.ledger = new RequestLedger({ tolerance: TOLERANCE, startedAtMs: -100_000 });
  }

  restartAll(nowMs: number): void {
    this.ledger = new RequestLedger({ tolerance: TOLERANCE, startedAtMs: nowMs });
    this.startShares();
  }

  private sendReports(nowMs: number): void {
    for (const share of this.shares) {
      const reports = share.takeReports(() => String(this.counterNumber), nowMs);
      for (const report of [...reports.values()].flat()) {
        this.messages += 1;
        if (!this.ledger.report(report, nowMs)) continue;
        if (!this.hasNotified) this.notifyEntries(nowMs, [WORKSPACE]);
        share.updateNearLimit([WORKSPACE], nowMs);
        this.messages += 1;
      }
    }
  }

  private notifyEntries(nowMs: number, near: readonly string[]): void {
    this.hasNotified = near.length > 0;
    if (near.length === 0 || this.alwaysRequestsGrant) return;
    this.messages += this.entryCount;
    for (const share of this.shares) share.updateNearLimit(near, nowMs);
  }

  private startShares(): void {
    this.shares = Array.from({ length: this.entryCount }, (_, index) => {
      return new RequestShare({ self: `e${index}`, tolerance: TOLERANCE });
    });
  }

  private share(entry: number): RequestShare {
    const share = this.shares[entry];
    if (share === undefined) throw new Error(`no entry ${entry}`);
    return share;
  }
}

/** An owner leases shares of the rate to the entries that request them. */
class LeaseStrategy implements LimitStrategy {
  readonly name = 'leased shares';
  messages = 0;
  private readonly terms: QuotaTerms;
  private readonly entryCount: number;
  private owner: QuotaOwner;
  private holders: QuotaHolder[] = [];
  private buckets: RateBucket[] = [];
  private demand: number[] = [];

  constructor(terms: QuotaTerms, entryCount: number) {
    this.terms = terms;
    this.entryCount = entryCount;
    this.owner = new QuotaOwner({ entryCount, epoch: '0' });
    this.startEntries();
  }

  arrive({ atMs, entry }: Arrival): boolean {
    this.demand[entry] = (this.demand[entry] ?? 0) + 1;
    const { ratePerS } = this.terms;
    const allowed = this.holders[entry]?.allowance(WORKSPACE, ratePerS, atMs) ?? 0;
    return this.buckets[entry]?.take(1, allowed, atMs) === true;
  }

  tick(nowMs: number): void {
    if (nowMs % LEASE_REQUEST_EVERY_MS !== 0) return;
    for (const [entry, holder] of this.holders.entries()) {
      if (holder.selectOwner('owner', nowMs) === undefined) continue;
      const token = holder.lastToken;
      const demand = ((this.demand[entry] ?? 0) * 1000) / LEASE_REQUEST_EVERY_MS;
      this.demand[entry] = 0;
      const request = {
        entry: `e${entry}`,
        row: WORKSPACE,
        demand,
        limit: this.terms.ratePerS,
        revision: 1,
        ...(token === undefined ? {} : { token }),
      };
      this.messages += 2;
      holder.recordReply('owner', WORKSPACE, this.owner.grant(request, nowMs), nowMs);
    }
  }

  loseCounter(nowMs: number): void {
    this.owner = new QuotaOwner({ entryCount: this.entryCount, epoch: String(nowMs) });
  }

  restartAll(nowMs: number): void {
    this.loseCounter(nowMs);
    this.startEntries();
  }

  private startEntries(): void {
    const each = { length: this.entryCount };
    this.holders = Array.from(each, () => new QuotaHolder({ entryCount: this.entryCount }));
    this.buckets = Array.from(each, () => new RateBucket());
    this.demand = Array.from(each, () => 0);
  }
}

/** Result of one simulation. */
interface Outcome {
  readonly requested: number;
  readonly admitted: number;
  /** Requests that an ideal single counter would have admitted in addition. */
  readonly wronglyRefused: number;
  /** Largest number of admitted requests in a window, less the limit. */
  readonly maxExcess: number;
  readonly messagesPerRequest: number;
}

function simulate(
  strategy: LimitStrategy,
  terms: QuotaTerms,
  arrivals: readonly Arrival[],
  faults: readonly { readonly atMs: number; readonly kind: 'loseCounter' | 'restartAll' }[] = [],
): Outcome {
  const admittedAtMs: number[] = [];
  const arrived: Arrival[] = [];
  let outageUntilMs = 0;
  const endMs = Math.ceil(arrivals.at(-1)?.atMs ?? 0) + 1000;
  let next = 0;
  for (let nowMs = 1; nowMs <= endMs; nowMs += 1) {
    strategy.tick(nowMs);
    for (const { kind } of faults.filter(({ atMs }) => atMs === nowMs)) {
      strategy[kind](nowMs);
      if (kind === 'restartAll') outageUntilMs = nowMs + OUTAGE_MS;
    }
    for (; (arrivals[next]?.atMs ?? Infinity) <= nowMs; next += 1) {
      const arrival = arrivals[next];
      if (arrival === undefined || nowMs < outageUntilMs) continue;
      arrived.push(arrival);
      if (strategy.arrive({ ...arrival, atMs: nowMs })) admittedAtMs.push(nowMs);
    }
  }
  const requested = arrived.length;
  return {
    requested,
    admitted: admittedAtMs.length,
    wronglyRefused: Math.max(0, idealAdmissions(terms, arrived) - admittedAtMs.length),
    maxExcess: maxInWindow(admittedAtMs) - allowedInWindow(terms, TOLERANCE),
    messagesPerRequest: strategy.messages / requested,
  };
}

/** Returns the number of requests that an exact token bucket would admit. */
function idealAdmissions({ ratePerS, burst }: QuotaTerms, arrivals: readonly Arrival[]): number {
  let level = burst;
  let refilledAtMs = 0;
  let admitted = 0;
  for (const { atMs } of arrivals) {
    level = Math.min(burst, level + ((atMs - refilledAtMs) / 1000) * ratePerS);
    refilledAtMs = atMs;
    if (level < 1) continue;
    level -= 1;
    admitted += 1;
  }
  return admitted;
}

function maxInWindow(times: readonly number[]): number {
  let max = 0;
  let first = 0;
  for (const [index, time] of times.entries()) {
    while ((times[first] ?? 0) <= time - TOLERANCE.windowMs) first += 1;
    max = Math.max(max, index - first + 1);
  }
  return max;
}

/** Generates independent arrivals at a variable rate, each at a random entry. */
function arrivalsAt(
  ratePerS: (atMs: number) => number,
  { entryCount, durationMs, seed }: { entryCount: number; durationMs: number; seed: number },
): Arrival[] {
  const random = seededRandom(seed);
  const arrivals: Arrival[] = [];
  for (let atMs = 0; atMs < durationMs; atMs += 1) {
    for (let left = ratePerS(atMs) / 1000; left > 0; left -= 1) {
      if (random() < left) arrivals.push({ atMs, entry: Math.floor(random() * entryCount) });
    }
  }
  return arrivals;
}

const ENTRIES = 56;
const DURATION_MS = 20_000;
const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);
const terms = (ratePerS: number, burst = ratePerS): QuotaTerms => ({ ratePerS, burst, version: 1 });
/** Rate that alternates between 1.85 and 0.378 times the mean. */
const withPeaks =
  (meanPerS: number) =>
  (atMs: number): number =>
    meanPerS * (atMs % 5200 >= 3000 ? 1.85 : 0.378);
/** Rate of ten times the limit for half of the time, and of half the limit otherwise. */
const overload =
  (limitPerS: number) =>
  (atMs: number): number =>
    atMs < 5000 || atMs > 15_000 ? 0.5 * limitPerS : 10 * limitPerS;

const LOADS: readonly {
  readonly name: string;
  readonly terms: QuotaTerms;
  readonly ratePerS: (atMs: number) => number;
  readonly faults?: readonly {
    readonly atMs: number;
    readonly kind: 'loseCounter' | 'restartAll';
  }[];
  /** Whether the load never exceeds the limit. */
  readonly isWithinLimit: boolean;
}[] = [
  { name: 'few requests', terms: terms(4), ratePerS: withPeaks(2.5), isWithinLimit: true },
  { name: 'many requests', terms: terms(60), ratePerS: withPeaks(37), isWithinLimit: true },
  { name: 'ten times a small limit', terms: terms(4), ratePerS: overload(4), isWithinLimit: false },
  {
    name: 'ten times a large limit',
    terms: terms(60),
    ratePerS: overload(60),
    isWithinLimit: false,
  },
  {
    name: 'ten times a large limit, two losses of the counter',
    terms: terms(60),
    ratePerS: overload(60),
    faults: [
      { atMs: 7300, kind: 'loseCounter' },
      { atMs: 12_900, kind: 'loseCounter' },
    ],
    isWithinLimit: false,
  },
  {
    name: 'ten times a large limit, total power loss',
    terms: terms(60),
    ratePerS: overload(60),
    faults: [{ atMs: 9100, kind: 'restartAll' }],
    isWithinLimit: false,
  },
  {
    name: 'within a large limit, loss of the counter',
    terms: terms(60),
    ratePerS: withPeaks(37),
    faults: [{ atMs: 9100, kind: 'loseCounter' }],
    isWithinLimit: true,
  },
  {
    name: 'within a large limit, total power loss during a peak',
    terms: terms(60),
    ratePerS: withPeaks(37),
    faults: [{ atMs: 8700, kind: 'restartAll' }],
    isWithinLimit: true,
  },
];

describe('limits of a workspace over 56 entries', () => {
  for (const load of LOADS) {
    test(title(load.name), (t) => {
      const tolerated =
        TOLERANCE.overshootShare * allowedInWindow(load.terms, TOLERANCE) + TOLERANCE.slack;
      for (const seed of SEEDS) {
        const options = { entryCount: ENTRIES, durationMs: DURATION_MS, seed };
        const arrivals = arrivalsAt(load.ratePerS, options);
        const strategies = [
          new CounterStrategy(load.terms, ENTRIES, false),
          new CounterStrategy(load.terms, ENTRIES, true),
          new LeaseStrategy(load.terms, ENTRIES),
        ];
        const [reported, granted, leased] = strategies.map((strategy) => {
          const outcome = simulate(strategy, load.terms, arrivals, load.faults);
          if (seed === SEEDS[0]) t.log(strategy.name, ...describeOutcome(outcome));
          return outcome;
        });
        if (reported === undefined || granted === undefined || leased === undefined)
          throw new Error();
        t.true(reported.maxExcess <= tolerated, `seed ${seed}: excess ${reported.maxExcess}`);
        t.true(
          granted.maxExcess <= tolerated,
          `seed ${seed}: excess ${granted.maxExcess}, granted`,
        );
        if (load.isWithinLimit) t.is(reported.admitted, reported.requested, `seed ${seed}`);
        else
          t.true(reported.wronglyRefused <= tolerated, `seed ${seed}: ${reported.wronglyRefused}`);
      }
    });
  }
});

function describeOutcome(outcome: Outcome): string[] {
  const { requested, admitted, wronglyRefused, maxExcess, messagesPerRequest } = outcome;
  return [
    `${admitted} of ${requested} admitted, ${wronglyRefused} fewer than allowed,`,
    `largest excess in 5 s ${maxExcess}, ${messagesPerRequest.toFixed(2)} messages per request`,
  ];
}
