/**
 * Timer of the slot checks; {@link SlotCheckSchedule} decides when it fires.
 */
import { SlotCheckSchedule } from './slot-check-schedule.js';
import type { SlotCheckResult } from './slot-check-schedule.js';

/** Options of {@link SlotCheckTimer}. */
export interface SlotCheckTimerOptions {
  readonly nowMs: () => number;
  readonly check: () => void;
}

/** Runs the slot checks. */
export class SlotCheckTimer {
  private readonly options: SlotCheckTimerOptions;
  private readonly schedule = new SlotCheckSchedule();
  private timer: NodeJS.Timeout | undefined;
  private dueAtMs = Infinity;
  private isStopped = false;

  constructor(options: SlotCheckTimerOptions) {
    this.options = options;
  }

  /** Notes that a check was made, and schedules the next one in place of any scheduled before. */
  checked(result: SlotCheckResult): void {
    const nowMs = this.options.nowMs();
    this.schedule.checked(nowMs);
    this.clear();
    this.fireWithin(this.schedule.nextInMs(result, nowMs));
  }

  /** Checks within a time in ms, but not too soon after the last check; at once if possible. */
  checkWithin(delayMs: number): void {
    const earliestInMs = this.schedule.earliestInMs(this.options.nowMs());
    const dueInMs = Math.max(delayMs, earliestInMs);
    if (dueInMs > 0) this.fireWithin(dueInMs);
    else if (!this.isStopped) this.options.check();
  }

  /** Stops the checks for good. */
  stop(): void {
    this.isStopped = true;
    this.clear();
  }

  private fireWithin(delayMs: number): void {
    const dueAtMs = this.options.nowMs() + delayMs;
    if (this.isStopped || dueAtMs >= this.dueAtMs) return;
    this.clear();
    this.dueAtMs = dueAtMs;
    this.timer = setTimeout(() => {
      this.dueAtMs = Infinity;
      this.options.check();
    }, delayMs);
  }

  private clear(): void {
    clearTimeout(this.timer);
    this.dueAtMs = Infinity;
  }
}
