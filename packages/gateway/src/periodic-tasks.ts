/**
 * Periodic tasks of an entry that share one timer, as each timer wakes the process up separately: a
 * wake-up costs about 0.1 ms of CPU time, even if there is nothing to do.
 */

/**
 * Interval between ticks. A change whose pushes were all lost is found by a poll at each tick, and is
 * in force within the 2 s that operators allow even if one of the polled control processes is silent
 * or partitioned. The leases of endpoints pause after 700 ms without a reply to a poll.
 */
export const TICK_INTERVAL_MS = 500;

/** A task that runs at every n-th tick of the shared timer. */
export interface PeriodicTask {
  readonly everyTicks: number;
  readonly run: () => void;
}

/** The tasks, without the timer. */
export class PeriodicTasks {
  private readonly tasks = new Set<PeriodicTask>();
  private tickCount = 0;

  /** Adds a task, which first runs at the next tick that is due; returns a function to remove it. */
  add(task: PeriodicTask): () => void {
    this.tasks.add(task);
    return () => {
      this.tasks.delete(task);
    };
  }

  /** Runs the tasks that are due. */
  tick(): void {
    this.tickCount += 1;
    for (const { everyTicks, run } of this.tasks) {
      if (this.tickCount % everyTicks === 0) run();
    }
  }
}
