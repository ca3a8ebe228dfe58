/**
 * Plays overloads of several shapes through one queue in three orders, and checks what the callers of each
 * workspace and rank get.
 */
import test from 'ava';
import { describe, seededRandom, title } from '@shedline/test-utils';
import { FairQueueOrder } from './fair-queue-order.js';
import type { QueuedRequest } from './fair-queue-order.js';
import { compareTurns } from './wait-estimate.js';

/** Callers wait this long; later than the target an answer is late. */
const DEADLINE_MS = 2000;
const TARGET_MS = 300;
const LENGTH_MS = 60_000;
/** Requests that the endpoints run in a second. */
const CAPACITY_PER_S = 20;

/** Requests a second of one workspace. */
interface Demand {
  readonly workspace: string;
  readonly rank: number;
  readonly perS: number;
}

interface Waiting {
  readonly request: QueuedRequest;
}

/** Who goes first, in one of the ways weighed. */
interface TurnOrder {
  readonly name: string;
  asked(rank: number, nowMs: number): void;
  served(request: QueuedRequest, nowMs: number): void;
  order(waiting: readonly Waiting[], nowMs: number): Waiting[];
}

class SoonestLateFirst implements TurnOrder {
  readonly name: string = 'soonest late first';

  asked(): void {
    // Nothing is remembered.
  }

  served(): void {
    // Nothing is remembered.
  }

  order(waiting: readonly Waiting[], nowMs: number): Waiting[] {
    return [...waiting].sort((a, b) => compareTurns(a.request, b.request, nowMs));
  }
}

/** Whoever was served least goes first, whenever it becomes late. */
class LeastServedFirst extends SoonestLateFirst {
  override readonly name = 'workspace in turn, whenever late';
  private readonly turns = new Map<string, number>();

  override order(waiting: readonly Waiting[], nowMs: number): Waiting[] {
    const turnOf = ({ request }: Waiting): number => this.turns.get(request.workspace ?? '') ?? 0;
    const ordered = [...waiting].sort(
      (a, b) =>
        a.request.rank - b.request.rank ||
        turnOf(a) - turnOf(b) ||
        compareTurns(a.request, b.request, nowMs),
    );
    const first = ordered[0]?.request.workspace;
    if (first !== undefined) this.turns.set(first, (this.turns.get(first) ?? 0) + 1);
    return ordered;
  }
}

class Fair extends FairQueueOrder implements TurnOrder {
  readonly name = 'both';
}

interface Counts {
  asked: number;
  onTime: number;
  served: number;
}

function play(turns: TurnOrder, demands: readonly Demand[]): Map<string, Counts> {
  const counts = new Map<string, Counts>();
  const random = seededRandom(1);
  let waiting: Waiting[] = [];
  for (let nowMs = 0; nowMs < LENGTH_MS; nowMs += 1) {
    demands.forEach((demand) => {
      if (random() < demand.perS / 1000) {
        const { workspace, rank } = demand;
        const request = {
          workspace,
          rank,
          onTimeUntilMs: nowMs + TARGET_MS,
          deadlineMs: nowMs + DEADLINE_MS,
        };
        waiting.push({ request });
        turns.asked(rank, nowMs);
        countOf(counts, workspace).asked += 1;
      }
    });
    waiting = waiting.filter(({ request }) => request.deadlineMs > nowMs);
    if (nowMs % (1000 / CAPACITY_PER_S) !== 0) continue;
    const [first, ...others] = turns.order(waiting, nowMs);
    if (first === undefined) continue;
    waiting = others;
    turns.served(first.request, nowMs);
    const count = countOf(counts, first.request.workspace ?? '');
    count.served += 1;
    if (first.request.onTimeUntilMs >= nowMs) count.onTime += 1;
  }
  return counts;
}

function countOf(counts: Map<string, Counts>, workspace: string): Counts {
  const known = counts.get(workspace) ?? { asked: 0, onTime: 0, served: 0 };
  counts.set(workspace, known);
  return known;
}

function shareOf(counts: Map<string, Counts>, names: readonly string[]): number {
  const own = names.flatMap((name) => counts.get(name) ?? []);
  const asked = own.reduce((sum, count) => sum + count.asked, 0);
  return own.reduce((sum, count) => sum + count.served, 0) / asked;
}

const small = (count: number, rank: number, perS: number): Demand[] =>
  Array.from({ length: count }, (_, index) => ({ workspace: `s${rank}-${index}`, rank, perS }));

const LOADS: readonly { readonly name: string; readonly demands: readonly Demand[] }[] = [
  {
    name: 'one workspace floods',
    demands: [{ workspace: 'big', rank: 1, perS: 40 }, ...small(8, 1, 1)],
  },
  { name: 'all ask too much alike', demands: small(10, 1, 4) },
  {
    name: 'the more urgent rank floods',
    demands: [{ workspace: 'big', rank: 0, perS: 60 }, ...small(8, 1, 1)],
  },
  {
    name: 'the less urgent rank floods',
    demands: [{ workspace: 'big', rank: 2, perS: 60 }, ...small(8, 1, 1)],
  },
  {
    name: 'three ranks, four times too much',
    demands: [...small(6, 0, 5), ...small(6, 1, 5), ...small(6, 2, 5)],
  },
];

describe('turns under more work than fits', () => {
  for (const { name, demands } of LOADS) {
    test(title(name), (t) => {
      const names = demands.map(({ workspace }) => workspace);
      for (const turns of [new SoonestLateFirst(), new LeastServedFirst()]) {
        const other = play(turns, demands);
        t.log(turns.name, ...summary(other, demands));
      }
      const counts = play(new Fair(), demands);
      t.log('both', ...summary(counts, demands));
      const whole = shareOf(counts, names);
      for (const { workspace, rank } of demands) {
        const alike = demands.filter((one) => one.rank === rank && one.workspace !== workspace);
        const own = shareOf(counts, [workspace]);
        t.true(own >= whole / 3, `${workspace} ${own} of ${whole}`);
        if (alike.length === 0) continue;
        const others = shareOf(
          counts,
          alike.map((one) => one.workspace),
        );
        // One that floods asks for more than its share; nobody else of its rank may pay for that.
        if (workspace !== 'big') t.true(own >= others / 2, `${workspace} ${own}, others ${others}`);
      }
    });
  }

  test(title('nobody waits for long where half of the capacity is used'), (t) => {
    const demands = [{ workspace: 'big', rank: 1, perS: 6 }, ...small(8, 1, 0.5)];
    const counts = play(new Fair(), demands);
    // The aim of days without trouble.
    for (const { asked, onTime } of counts.values()) t.true(onTime >= 0.95 * asked);
  });
});

function summary(counts: Map<string, Counts>, demands: readonly Demand[]): string[] {
  const groups = new Map<string, string[]>();
  for (const { workspace, rank } of demands) {
    const key = workspace === 'big' ? 'big' : `rank ${rank}`;
    groups.set(key, [...(groups.get(key) ?? []), workspace]);
  }
  const onTime = [...counts.values()].reduce((sum, count) => sum + count.onTime, 0);
  const served = [...groups].map(([key, own]) => `${key} ${shareOf(counts, own).toFixed(2)}`);
  return [`on time ${onTime}, served:`, served.join(', ')];
}
