/**
 * Runs a task on request, at most once per interval.
 */

/** Options of {@link ThrottledTask}. */
export interface ThrottledTaskOptions {
  readonly intervalMs: number;
  readonly run: () => void;
}

/** A task that runs at most once per interval. */
export class ThrottledTask {
  private readonly options: ThrottledTaskOptions;
  private timer: NodeJS.Timeout | undefined;
  private isScheduledAgain = false;

  constructor(options: ThrottledTaskOptions) {
    this.options = options;
  }

  /** Runs the task now, or at the end of the current interval if it has already run in it. */
  schedule(): void {
    if (this.timer !== undefined) {
      this.isScheduledAgain = true;
      return;
    }
    this.timer = setTimeout(() => {
      this.onIntervalEnd();
    }, this.options.intervalMs);
    this.options.run();
  }

  /** Cancels a scheduled run. */
  close(): void {
    clearTimeout(this.timer);
    this.isScheduledAgain = false;
  }

  private onIntervalEnd(): void {
    this.timer = undefined;
    if (!this.isScheduledAgain) return;
    this.isScheduledAgain = false;
    this.schedule();
  }
}
