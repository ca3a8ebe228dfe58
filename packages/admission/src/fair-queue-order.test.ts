/**
 * Simulates several kinds of overload of one queue with three queue orders, and checks which share
 * of the requests of each workspace and rank is served.
 */
import test from 'ava';
import { describe, seededRandom, title } from '@shedline/test-utils';
import { FairQueueOrder } from './fair-queue-order.js';
import type { QueuedRequest } from './fair-queue-order.js';
import { compareWaitingRequests } from './wait-estimate.js';

/** Time that callers wait for a response. */
const DEADLINE_MS = 2000;
/** A response within this time is on target. */
const TARGET_MS = 300;
const DURATION_MS = 60_000;
/** Requests a second that the endpoints complete. */
const CAPACITY_PER_S = 20;

/** Request rate of one workspace. */
interface Demand {
  readonly workspace: string;
  readonly rank: number;
  readonly perS: number;
}

interface QueueItem {
  readonly request: QueuedRequest;
}

/** One of the compared queue orders. */
interface QueueOrder {
  readonly name: string;
  recordArrival(rank: number, nowMs: number): void;
  recordServed(request: QueuedRequest, nowMs: number): void;
  order(waiting: readonly QueueItem[], nowMs: number): QueueItem[];
}

class EarliestTargetFirst implements QueueOrder {
  readonly name: string = 'earliest target first';

  recordArrival(): void {
    // This order keeps no state.
  }

  recordServed(): void {
    // This order keeps no state.
  }

  order(waiting: readonly QueueItem[], nowMs: number): QueueItem[] {
    return [...waiting].sort((a, b) => compareWaitingRequests(a.request, b.request, nowMs));
  }
}

/** Orders by rank and by how often the workspace was served, regardless of targets. */
class LeastServedWorkspaceFirst extends EarliestTargetFirst {
  override readonly name = 'least served workspace first';
  private readonly servedCounts = new Map<string, number>();

  override order(waiting: readonly QueueItem[], nowMs: number): QueueItem[] {
    const servedCountOf = ({ request }: QueueItem): number =>
      this.servedCounts.get(request.workspace ?? '') ?? 0;
    const ordered = [...waiting].sort(
      (a, b) =>
        a.request.rank - b.request.rank ||
        servedCountOf(a) - servedCountOf(b) ||
        compareWaitingRequests(a.request, b.request, nowMs),
    );
    const first = ordered[0]?.request.workspace;
    if (first !== undefined) this.servedCounts.set(first, (this.servedCounts.get(first) ?? 0) + 1);
    return ordered;
  }
}

class FairOrder extends FairQueueOrder implements QueueOrder {
  readonly name = 'fair order';
}

interface Counts {
  arrived: number;
  withinTarget: number;
  served: number;
}

function simulate(queueOrder: QueueOrder, demands: readonly Demand[]): Map<string, Counts> {
  const counts = new Map<string, Counts>();
  const random = seededRandom(1);
  let waiting: QueueItem[] = [];
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += 1) {
    demands.forEach((demand) => {
      if (random() < demand.perS / 1000) {
        const { workspace, rank } = demand;
        const request = {
          workspace,
          rank,
          targetDeadlineMs: nowMs + TARGET_MS,
          deadlineMs: nowMs + DEADLINE_MS,
        };
        waiting.push({ request });
        queueOrder.recordArrival(rank, nowMs);
        countOf(counts, workspace).arrived += 1;
      }
    });
    waiting = waiting.filter(({ request }) => request.deadlineMs > nowMs);
    if (nowMs % (1000 / CAPACITY_PER_S) !== 0) continue;
    const [first, ...others] = queueOrder.order(waiting, nowMs);
    if (first === undefined) continue;
    waiting = others;
    queueOrder.recordServed(first.request, nowMs);
    const count = countOf(counts, first.request.workspace ?? '');
    count.served += 1;
    if (first.request.targetDeadlineMs >= nowMs) count.withinTarget += 1;
  }
  return counts;
}

function countOf(counts: Map<string, Counts>, workspace: string): Counts {
  const known = counts.get(workspace) ?? { arrived: 0, withinTarget: 0, served: 0 };
  counts.set(workspace, known);
  return known;
}

function shareOf(counts: Map<string, Counts>, names: readonly string[]): number {
  const own = names.flatMap((name) => counts.get(name) ?? []);
  const arrived = own.reduce((sum, count) => sum + count.arrived, 0);
  return own.reduce((sum, count) => sum + count.served, 0) / arrived;
}

const smallDemands = (count: number, rank: number, perS: number): Demand[] =>
  Array.from({ length: count }, (_, index) => ({ workspace: `s${rank}-${index}`, rank, perS }));

const LOADS: readonly { readonly name: string; readonly demands: readonly Demand[] }[] = [
  {
    name: 'one workspace sends too much',
    demands: [{ workspace: 'big', rank: 1, perS: 40 }, ...smallDemands(8, 1, 1)],
  },
  { name: 'all workspaces send too much equally', demands: smallDemands(10, 1, 4) },
  {
    name: 'the more urgent rank sends too much',
    demands: [{ workspace: 'big', rank: 0, perS: 60 }, ...smallDemands(8, 1, 1)],
  },
  {
    name: 'the less urgent rank sends too much',
    demands: [{ workspace: 'big', rank: 2, perS: 60 }, ...smallDemands(8, 1, 1)],
  },
  {
    name: 'three ranks at four times the capacity',
    demands: [...smallDemands(6, 0, 5), ...smallDemands(6, 1, 5), ...smallDemands(6, 2, 5)],
  },
];

describe('queue order under overload', () => {
  for (const { name, demands } of LOADS) {
    test(title(name), (t) => {
      const names = demands.map(({ workspace }) => workspace);
      for (const queueOrder of [new EarliestTargetFirst(), new LeastServedWorkspaceFirst()]) {
        const otherCounts = simulate(queueOrder, demands);
        t.log(queueOrder.name, ...summary(otherCounts, demands));
      }
      const counts = simulate(new FairOrder(), demands);
      t.log('fair order', ...summary(counts, demands));
      const overallShare = shareOf(counts, names);
      for (const { workspace, rank } of demands) {
        const sameRank = demands.filter(
          (demand) => demand.rank === rank && demand.workspace !== workspace,
        );
        const own = shareOf(counts, [workspace]);
        t.true(own >= overallShare / 3, `${workspace} ${own} of ${overallShare}`);
        if (sameRank.length === 0) continue;
        const othersShare = shareOf(
          counts,
          sameRank.map((demand) => demand.workspace),
        );
        // `big` exceeds its fair share; the other workspaces of its rank must not lose theirs.
        if (workspace !== 'big')
          t.true(own >= othersShare / 2, `${workspace} ${own}, others ${othersShare}`);
      }
    });
  }

  test(title('requests meet the target while half of the capacity is used'), (t) => {
    const demands = [{ workspace: 'big', rank: 1, perS: 6 }, ...smallDemands(8, 1, 0.5)];
    const counts = simulate(new FairOrder(), demands);
    // The target share under normal load.
    for (const { arrived, withinTarget } of counts.values()) t.true(withinTarget >= 0.95 * arrived);
  });
});

function summary(counts: Map<string, Counts>, demands: readonly Demand[]): string[] {
  const groups = new Map<string, string[]>();
  for (const { workspace, rank } of demands) {
    const key = workspace === 'big' ? 'big' : `rank ${rank}`;
    groups.set(key, [...(groups.get(key) ?? []), workspace]);
  }
  const withinTarget = [...counts.values()].reduce((sum, count) => sum + count.withinTarget, 0);
  const served = [...groups].map(([key, own]) => `${key} ${shareOf(counts, own).toFixed(2)}`);
  return [`within target ${withinTarget}, served:`, served.join(', ')];
}
