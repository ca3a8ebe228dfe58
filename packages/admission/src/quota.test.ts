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

/** An owner that grants without a majority behind it. */
class HastyOwner extends QuotaOwner {
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
  nextAskMs: number;
}

type CreateOwner = (options: { entryCount: number; epoch: string }) => QuotaOwner;

interface Plan {
  readonly seed: number;
  readonly entryCount: number;
  readonly faults: readonly {
    kind: 'split' | 'heal' | 'restart' | 'turn';
    pick: number;
    thenMs: number;
  }[];
}

const plan: fc.Arbitrary<Plan> = fc.record({
  seed: fc.nat(),
  entryCount: fc.integer({ min: 1, max: 7 }),
  faults: fc.array(
    fc.record({
      kind: fc.constantFrom('split', 'heal', 'restart', 'turn'),
      pick: fc.nat(),
      thenMs: fc.integer({ min: 50, max: 3000 }),
    }),
    { minLength: 1, maxLength: 12 },
  ),
});

/** Plays a plan with late messages; gives the highest sum of all shares at any moment. */
function highestSum({ seed, entryCount, faults }: Plan, create: CreateOwner): number {
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
      nextAskMs: 0,
    };
  });
  const messages: { dueMs: number; deliver: () => void }[] = [];
  let sides: (name: string) => number = () => 0;
  let nowMs = 0;
  let highest = 0;
  const send = (from: string, to: string, deliver: () => void): void => {
    if (sides(from) === sides(to)) messages.push({ dueMs: nowMs + random() * 900, deliver });
  };
  const ask = (entry: Entry): void => {
    const ownerName = entry.holder.ownerToAsk(entry.preferred, nowMs);
    const owner = entries.find((candidate) => candidate.name === ownerName);
    if (ownerName === undefined || owner === undefined) return;
    const askedAtMs = nowMs;
    const token = entry.holder.lastToken;
    const demand = random() * LIMIT * 1.5;
    const question: QuotaRequest = {
      entry: entry.name,
      row: ROW,
      demand,
      limit: LIMIT,
      revision: 1,
      ...(token ? { token } : {}),
    };
    send(entry.name, ownerName, () => {
      const answer: QuotaAnswer = owner.owner.ask(question, nowMs);
      send(ownerName, entry.name, () => {
        entry.holder.answered(ownerName, ROW, answer, askedAtMs);
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
        if (nowMs < entry.nextAskMs) continue;
        entry.nextAskMs = nowMs + 100 + random() * 200;
        ask(entry);
      }
      const sum = entries.reduce(
        (total, { holder }) => total + holder.allowance(ROW, LIMIT, nowMs),
        0,
      );
      highest = Math.max(highest, sum);
    }
  };
  run(3 * LEASE_MS);
  for (const { kind, pick, thenMs } of faults) {
    const chosen = entries[pick % entryCount];
    if (chosen === undefined) continue;
    if (kind === 'split') {
      sides = (name) => (Number(name.slice(1)) * 7 + pick) % 2;
      for (const entry of entries) {
        entry.preferred =
          entries.find((other) => sides(other.name) === sides(entry.name))?.name ?? entry.name;
      }
    }
    if (kind === 'heal') sides = () => 0;
    if (kind === 'turn')
      for (const entry of entries) if (random() < 0.7) entry.preferred = chosen.name;
    if (kind === 'restart') {
      chosen.epoch += 1;
      chosen.owner = create({ entryCount, epoch: `${chosen.name}.${chosen.epoch}` });
    }
    run(thenMs);
  }
  return highest;
}

describe('quota leases', () => {
  test(
    title(
      'the sum of all shares never exceeds the limit under splits, lost owners and late messages',
    ),
    (t) => {
      const property = fc.property(
        plan,
        (p) => highestSum(p, (options) => new QuotaOwner(options)) <= LIMIT + SLACK,
      );
      t.notThrows(() => {
        fc.assert(property, { seed: 3, numRuns: 400 });
      });
    },
  );

  test(title('an owner that grants without a majority exceeds the limit'), (t) => {
    const property = fc.property(
      plan,
      (p) => highestSum(p, (options) => new HastyOwner(options)) <= LIMIT + SLACK,
    );
    t.true(fc.check(property, { seed: 3, numRuns: 400, endOnFailure: true }).failed);
  });

  test(title('an idle share is free for others within about a lease'), (t) => {
    const owner = new QuotaOwner({ entryCount: 2, epoch: 'o' });
    let token: QuotaAnswer['token'] | undefined;
    let granted = 0;
    const ask = (entry: string, demand: number, nowMs: number): number => {
      const answer = owner.ask(
        { entry, row: ROW, demand, limit: LIMIT, revision: 1, ...(token ? { token } : {}) },
        nowMs,
      );
      token = answer.token;
      return answer.granted;
    };
    for (let nowMs = 0; nowMs < 4000; nowMs += 100) {
      ask('a', 200, nowMs);
      granted = ask('b', 200, nowMs);
    }
    t.is(Math.round(granted), 40);
    for (let nowMs = 4000; nowMs < 5200; nowMs += 100) {
      ask('a', 0, nowMs);
      granted = ask('b', 200, nowMs);
    }
    t.is(Math.round(granted), 80);
  });
});
