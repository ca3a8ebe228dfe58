/**
 * Notices that an endpoint has said nothing for too long: one that lost power, or was cut off,
 * closes no connection.
 */

/** Options of {@link SilenceWatch}. */
export interface SilenceWatchOptions {
  readonly limitMs: number;
  /** Called once. */
  readonly onSilent: () => void;
  readonly nowMs?: () => number;
}

/** Watches one connection. */
export class SilenceWatch {
  private readonly limitMs: number;
  private readonly onSilent: () => void;
  private readonly nowMs: () => number;
  private heardAtMs: number;
  private dueAtMs = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(options: SilenceWatchOptions) {
    this.limitMs = options.limitMs;
    this.onSilent = options.onSilent;
    this.nowMs = options.nowMs ?? (() => performance.now());
    this.heardAtMs = this.nowMs();
    this.wait(this.limitMs);
  }

  /** Notes a sign of life; cheap, as it comes with every event. */
  heard(): void {
    this.heardAtMs = this.nowMs();
  }

  /** Stops to watch, while this side does not read. */
  pause(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  /** Goes on after {@link pause}. */
  resume(): void {
    if (this.timer !== undefined) return;
    this.heard();
    this.wait(this.limitMs);
  }

  /** Ends. */
  stop(): void {
    this.pause();
  }

  private wait(waitMs: number): void {
    this.dueAtMs = this.nowMs() + waitMs;
    this.timer = setTimeout(() => {
      this.check();
    }, waitMs);
  }

  private check(): void {
    const nowMs = this.nowMs();
    const silentMs = nowMs - this.heardAtMs;
    // A process that stood still has not read yet what came in the meantime.
    const stoodStill = nowMs - this.dueAtMs > this.limitMs / 2;
    if (stoodStill) {
      this.heard();
      this.wait(this.limitMs);
      return;
    }
    if (silentMs < this.limitMs) {
      this.wait(this.limitMs - silentMs);
      return;
    }
    this.timer = undefined;
    this.onSilent();
  }
}
