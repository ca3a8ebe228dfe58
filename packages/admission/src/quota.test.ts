import test from 'ava';
import fc from 'fast-check';
import { describe, seededRandom, title } from '@shedline/test-utils';
import { QuotaHolder, QuotaOwner } from './quota.js';
import type { QuotaAnswer, QuotaRequest } from './quota.js';

const LIMIT = 100;
const LEASE_MS = 1000;
const STEP_MS = 50;
const SLACK = 1e-6;
const ROW = 'w/s|concurrentRequests';

/** An owner that grants without the support of a majority. */
class OwnerWithoutMajority extends QuotaOwner {
  protected override mayGrant(): boolean {
    return true;
  }
}

interface Entry {
  readonly name: string;
  readonly holder: QuotaHolder;
  owner: QuotaOwner;
  preferred: string;
  epoch: number;
  nextRequestAtMs: number;
}

type CreateOwner = (options: { entryCount: number; epoch: string }) => QuotaOwner;

/** A schedule of faults; `entryIndex` selects the affected entry, modulo the number of entries. */
interface FaultPlan {
  readonly seed: number;
  readonly entryCount: number;
  readonly faults: readonly {
    kind: 'split' | 'heal' | 'restart' | 'changeOwner';
    entryIndex: number;
    durationMs: number;
  }[];
}

const plan: fc.Arbitrary<FaultPlan> = fc.record({
  seed: fc.nat(),
  entryCount: fc.integer({ min: 1, max: 7 }),
  faults: fc.array(
    fc.record({
      kind: fc.constantFrom('split', 'heal', 'restart', 'changeOwner'),
      entryIndex: fc.nat(),
      durationMs: fc.integer({ min: 50, max: 3000 }),
    }),
    { minLength: 1, maxLength: 12 },
  ),
});

/** Runs a plan with delayed messages; returns the highest sum of all shares at any time. */
function highestSum({ seed, entryCount, faults }: FaultPlan, create: CreateOwner): number {
  const random = seededRandom(seed);
  const entries = Array.from({ length: entryCount }, (_, index): Entry => {
    const name = `e${index}`;
    const owner = create({ entryCount, epoch: `${name}.0` });
    return {
      name,
      holder: new QuotaHolder({ entryCount }),
      owner,
      preferred: 'e0',
      epoch: 0,
      nextRequestAtMs: 0,
    };
  });
  const messages: { dueMs: number; deliver: () => void }[] = [];
  let partitionOf: (name: string) => number = () => 0;
  let nowMs = 0;
  let highest = 0;
  const send = (from: string, to: string, deliver: () => void): void => {
    if (partitionOf(from) === partitionOf(to))
      messages.push({ dueMs: nowMs + random() * 900, deliver });
  };
  const sendRequest = (entry: Entry): void => {
    const ownerName = entry.holder.selectOwner(entry.preferred, nowMs);
    const owner = entries.find((candidate) => candidate.name === ownerName);
    if (ownerName === undefined || owner === undefined) return;
    const requestedAtMs = nowMs;
    const token = entry.holder.lastToken;
    const demand = random() * LIMIT * 1.5;
    const request: QuotaRequest = {
      entry: entry.name,
      row: ROW,
      demand,
      limit: LIMIT,
      revision: 1,
      ...(token ? { token } : {}),
    };
    send(entry.name, ownerName, () => {
      const reply: QuotaAnswer = owner.owner.grant(request, nowMs);
      send(ownerName, entry.name, () => {
        entry.holder.recordReply(ownerName, ROW, reply, requestedAtMs);
      });
    });
  };
  const run = (durationMs: number): void => {
    for (const untilMs = nowMs + durationMs; nowMs < untilMs; nowMs += STEP_MS) {
      for (const due of messages.filter((message) => message.dueMs <= nowMs)) {
        messages.splice(messages.indexOf(due), 1);
        due.deliver();
      }
      for (const entry of entries) {
        if (nowMs < entry.nextRequestAtMs) continue;
        entry.nextRequestAtMs = nowMs + 100 + random() * 200;
        sendRequest(entry);
      }
      const sum = entries.reduce(
        (total, { holder }) => total + holder.allowance(ROW, LIMIT, nowMs),
        0,
      );
      highest = Math.max(highest, sum);
    }
  };
  run(3 * LEASE_MS);
  for (const { kind, entryIndex, durationMs } of faults) {
    const chosen = entries[entryIndex % entryCount];
    if (chosen === undefined) continue;
    if (kind === 'split') {
      partitionOf = (name) => (Number(name.slice(1)) * 7 + entryIndex) % 2;
      for (const entry of entries) {
        entry.preferred =
          entries.find((other) => partitionOf(other.name) === partitionOf(entry.name))?.name ??
          entry.name;
      }
    }
    if (kind === 'heal') partitionOf = () => 0;
    if (kind === 'changeOwner')
      for (const entry of entries) if (random() < 0.7) entry.preferred = chosen.name;
    if (kind === 'restart') {
      chosen.epoch += 1;
      chosen.owner = create({ entryCount, epoch: `${chosen.name}.${chosen.epoch}` });
    }
    run(durationMs);
  }
  return highest;
}

describe('quota leases', () => {
  test(
    title('the sum of all shares never exceeds the limit under partitions, restarts and delays'),
    (t) => {
      const property = fc.property(
        plan,
        (faultPlan) => highestSum(faultPlan, (options) => new QuotaOwner(options)) <= LIMIT + SLACK,
      );
      t.notThrows(() => {
        fc.assert(property, { seed: 3, numRuns: 400 });
      });
    },
  );

  test(title('an owner that grants without a majority exceeds the limit'), (t) => {
    const property = fc.property(
      plan,
      (faultPlan) =>
        highestSum(faultPlan, (options) => new OwnerWithoutMajority(options)) <= LIMIT + SLACK,
    );
    t.true(fc.check(property, { seed: 3, numRuns: 400, endOnFailure: true }).failed);
  });

  test(title('an unused share is available to others after about one lease period'), (t) => {
    const owner = new QuotaOwner({ entryCount: 2, epoch: 'o' });
    let token: QuotaAnswer['token'] | undefined;
    let granted = 0;
    const request = (entry: string, demand: number, nowMs: number): number => {
      const reply = owner.grant(
        { entry, row: ROW, demand, limit: LIMIT, revision: 1, ...(token ? { token } : {}) },
        nowMs,
      );
      token = reply.token;
      return reply.granted;
    };
    for (let nowMs = 0; nowMs < 4000; nowMs += 100) {
      request('a', 200, nowMs);
      granted = request('b', 200, nowMs);
    }
    t.is(Math.round(granted), 40);
    for (let nowMs = 4000; nowMs < 5200; nowMs += 100) {
      request('a', 0, nowMs);
      granted = request('b', 200, nowMs);
    }
    t.is(Math.round(granted), 80);
  });
});
