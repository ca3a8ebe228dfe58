/**
 * Order of the requests that wait at one entry, so that neither a workspace that floods nor one of a more urgent
 * rank takes everything. It answers loads beyond what the endpoints can run: below that hardly anybody waits, and
 * the order is by when each becomes late.
 */
import { compareTurns, timelinessOf } from './wait-estimate.js';
import type { WaitingRequest } from './wait-estimate.js';

/** A request that waits, and for whom. */
export interface QueuedRequest extends WaitingRequest {
  /** Undefined where callers show no key; all of these count as one. */
  readonly workspace?: string;
}

/** Time over which it is counted who asked and who was served; some peaks of traffic. */
const MEMORY_MS = 5000;
/**
 * Share of how often all are served below which a rank gets the next turn, whatever waits before it. No rank
 * may be served less than a third as often as all; what is counted late and forgotten needs the difference.
 */
const STARVED_SHARE = 0.45;
/** Requests of a rank below which nothing is said of how often it is served. */
const FEW_REQUESTS = 3;

/** Part of a request below which it is forgotten that a workspace was served. */
const FORGOTTEN = 0.05;

interface Served {
  asked: number;
  served: number;
}

/** Whose turn it is at one entry. */
export class FairQueueOrder {
  private readonly byRank = new Map<number, Served>();
  private readonly all: Served = { asked: 0, served: 0 };
  /** Requests of each workspace that were served of late. */
  private readonly servedOf = new Map<string, number>();
  private countedAtMs = 0;

  /** Notes that a request came. */
  asked(rank: number, nowMs: number): void {
    this.fade(nowMs);
    this.countOf(rank).asked += 1;
    this.all.asked += 1;
  }

  /** Notes that a request got its endpoint. */
  served({ rank, workspace = '' }: QueuedRequest, nowMs: number): void {
    this.fade(nowMs);
    this.countOf(rank).served += 1;
    this.all.served += 1;
    this.servedOf.set(workspace, (this.servedOf.get(workspace) ?? 0) + 1);
  }

  /**
   * The order of turns: by rank and lateness as {@link compareTurns}; within these by what the workspace was served of late
   * and has waiting before; then the soonest late first. The first of a rank that is starved goes before all.
   */
  order<T extends { readonly request: QueuedRequest }>(waiting: readonly T[], nowMs: number): T[] {
    this.fade(nowMs);
    const places = new Map<T, number>();
    const next = new Map<string, number>();
    const soonest = [...waiting].sort((a, b) => compareTurns(a.request, b.request, nowMs));
    for (const one of soonest) {
      const { workspace = '' } = one.request;
      const place = next.get(workspace) ?? this.servedOf.get(workspace) ?? 0;
      next.set(workspace, place + 1);
      places.set(one, place);
    }
    const ordered = soonest.sort((a, b) => {
      const isAlike = classOf(a.request, nowMs) === classOf(b.request, nowMs);
      const byPlace = (places.get(a) ?? 0) - (places.get(b) ?? 0);
      return (isAlike ? byPlace : 0) || compareTurns(a.request, b.request, nowMs);
    });
    return this.starvedFirst(ordered);
  }

  private starvedFirst<T extends { readonly request: QueuedRequest }>(ordered: T[]): T[] {
    const firstRank = ordered[0]?.request.rank;
    const place = ordered.findIndex(
      ({ request }) => request.rank !== firstRank && this.isStarved(request.rank),
    );
    if (place <= 0) return ordered;
    const [starved] = ordered.splice(place, 1);
    return starved === undefined ? ordered : [starved, ...ordered];
  }

  private isStarved(rank: number): boolean {
    const { asked, served } = this.countOf(rank);
    if (asked < FEW_REQUESTS) return false;
    return served / asked < (STARVED_SHARE * this.all.served) / Math.max(1, this.all.asked);
  }

  private fade(nowMs: number): void {
    const factor = Math.exp(-Math.max(0, nowMs - this.countedAtMs) / MEMORY_MS);
    this.countedAtMs = nowMs;
    for (const count of [this.all, ...this.byRank.values()]) {
      count.asked *= factor;
      count.served *= factor;
    }
    for (const [workspace, served] of this.servedOf) {
      if (served < FORGOTTEN) this.servedOf.delete(workspace);
      else this.servedOf.set(workspace, served * factor);
    }
  }

  private countOf(rank: number): Served {
    const known = this.byRank.get(rank);
    if (known !== undefined) return known;
    const fresh = { asked: 0, served: 0 };
    this.byRank.set(rank, fresh);
    return fresh;
  }
}

/** Requests of a class are told apart by workspace first: rank, and whether they are late already. */
function classOf(turn: QueuedRequest, nowMs: number): string {
  return `${turn.rank} ${timelinessOf(turn, nowMs)}`;
}
