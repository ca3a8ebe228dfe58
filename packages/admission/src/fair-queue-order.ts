/**
 * Fair order of the requests that wait at one entry: neither a workspace that sends too much nor a
 * more urgent rank can take all capacity. It matters under overload; below that few requests wait,
 * and they are ordered by their target.
 */
import { compareWaitingRequests, timelinessOf } from './wait-estimate.js';
import type { WaitingRequest } from './wait-estimate.js';

/** A waiting request and the workspace that sent it. */
export interface QueuedRequest extends WaitingRequest {
  /** Undefined if callers present no key; all such requests count as one workspace. */
  readonly workspace?: string;
}

/** Time constant of the exponentially decaying counts; it covers several traffic peaks. */
const DECAY_TIME_MS = 5000;
/**
 * A rank is starved if the share of its requests that are served falls below this part of the
 * share over all ranks. No rank may fall below a third of it; the margin covers the delay and the
 * decay of the counts.
 */
const STARVED_SHARE = 0.45;
/** Decayed count of a rank's requests below which it never counts as starved. */
const MIN_RANK_REQUESTS = 3;

/** Decayed count of served requests below which the count of a workspace is removed. */
const MIN_SERVED_COUNT = 0.05;

/** Exponentially decaying counts of requests. */
interface ServiceCounts {
  arrived: number;
  assigned: number;
}

/** Orders the waiting requests of one entry by what was served recently. */
export class FairQueueOrder {
  private readonly byRank = new Map<number, ServiceCounts>();
  /** Counts over all ranks. */
  private readonly all: ServiceCounts = { arrived: 0, assigned: 0 };
  /** Decayed count of served requests by workspace. */
  private readonly servedByWorkspace = new Map<string, number>();
  private countedAtMs = 0;

  /** Records the arrival of a request. */
  recordArrival(rank: number, nowMs: number): void {
    this.decay(nowMs);
    this.countsOf(rank).arrived += 1;
    this.all.arrived += 1;
  }

  /** Records that a request was assigned to an endpoint. */
  recordServed({ rank, workspace = '' }: QueuedRequest, nowMs: number): void {
    this.decay(nowMs);
    this.countsOf(rank).assigned += 1;
    this.all.assigned += 1;
    this.servedByWorkspace.set(workspace, (this.servedByWorkspace.get(workspace) ?? 0) + 1);
  }

  /**
   * Returns the requests in the order in which they get an endpoint: by rank and timeliness as in
   * {@link compareWaitingRequests}; within these by how many requests of the workspace were served
   * recently or are queued before it; then by {@link compareWaitingRequests}. The first request of
   * a starved rank comes before all others.
   */
  order<T extends { readonly request: QueuedRequest }>(waiting: readonly T[], nowMs: number): T[] {
    this.decay(nowMs);
    const positions = new Map<T, number>();
    const nextPositions = new Map<string, number>();
    const byTarget = [...waiting].sort((a, b) =>
      compareWaitingRequests(a.request, b.request, nowMs),
    );
    for (const item of byTarget) {
      const { workspace = '' } = item.request;
      const position = nextPositions.get(workspace) ?? this.servedByWorkspace.get(workspace) ?? 0;
      nextPositions.set(workspace, position + 1);
      positions.set(item, position);
    }
    const ordered = byTarget.sort((a, b) => {
      const isSameClass = orderingClassOf(a.request, nowMs) === orderingClassOf(b.request, nowMs);
      const byPosition = (positions.get(a) ?? 0) - (positions.get(b) ?? 0);
      return (isSameClass ? byPosition : 0) || compareWaitingRequests(a.request, b.request, nowMs);
    });
    return this.moveStarvedFirst(ordered);
  }

  private moveStarvedFirst<T extends { readonly request: QueuedRequest }>(ordered: T[]): T[] {
    const firstRank = ordered[0]?.request.rank;
    const index = ordered.findIndex(
      ({ request }) => request.rank !== firstRank && this.isStarved(request.rank),
    );
    if (index <= 0) return ordered;
    const [starved] = ordered.splice(index, 1);
    return starved === undefined ? ordered : [starved, ...ordered];
  }

  private isStarved(rank: number): boolean {
    const { arrived, assigned } = this.countsOf(rank);
    if (arrived < MIN_RANK_REQUESTS) return false;
    return assigned / arrived < (STARVED_SHARE * this.all.assigned) / Math.max(1, this.all.arrived);
  }

  private decay(nowMs: number): void {
    const factor = Math.exp(-Math.max(0, nowMs - this.countedAtMs) / DECAY_TIME_MS);
    this.countedAtMs = nowMs;
    for (const count of [this.all, ...this.byRank.values()]) {
      count.arrived *= factor;
      count.assigned *= factor;
    }
    for (const [workspace, served] of this.servedByWorkspace) {
      if (served < MIN_SERVED_COUNT) this.servedByWorkspace.delete(workspace);
      else this.servedByWorkspace.set(workspace, served * factor);
    }
  }

  private countsOf(rank: number): ServiceCounts {
    const known = this.byRank.get(rank);
    if (known !== undefined) return known;
    const created = { arrived: 0, assigned: 0 };
    this.byRank.set(rank, created);
    return created;
  }
}

/** Returns a key of rank and timeliness; requests with the same key are ordered by workspace. */
function orderingClassOf(request: QueuedRequest, nowMs: number): string {
  return `${request.rank} ${timelinessOf(request, nowMs)}`;
}
