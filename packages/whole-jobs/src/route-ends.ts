/**
 * Tracks which jobs no route serves any more, as one leader sees it.
 */
import type { JobRecord } from './job-record.js';

/** Options of {@link RouteEnds}. */
export interface RouteEndsOptions {
  /** Time without a route after which the route of a job has ended. */
  readonly delayMs: number;
}

/** Times since when open jobs have no route. */
export class RouteEnds {
  private readonly delayMs: number;
  private readonly unservedSinceMs = new Map<string, number>();

  constructor({ delayMs }: RouteEndsOptions) {
    this.delayMs = delayMs;
  }

  /** Forgets all times; called when the member becomes leader. */
  clear(): void {
    this.unservedSinceMs.clear();
  }

  /** Returns the open jobs that have had no route for the delay; called periodically. */
  unserved(
    jobs: Iterable<JobRecord>,
    isServed: (job: JobRecord) => boolean,
    nowMs: number,
  ): JobRecord[] {
    const unserved = [...jobs].filter((job) => job.isOpen && !isServed(job));
    const jobIds = new Set(unserved.map(({ identity }) => identity.jobId));
    for (const jobId of this.unservedSinceMs.keys())
      if (!jobIds.has(jobId)) this.unservedSinceMs.delete(jobId);
    for (const jobId of jobIds)
      if (!this.unservedSinceMs.has(jobId)) this.unservedSinceMs.set(jobId, nowMs);
    return unserved.filter(({ identity }) => {
      const sinceMs = this.unservedSinceMs.get(identity.jobId) ?? nowMs;
      return nowMs - sinceMs >= this.delayMs;
    });
  }
}
