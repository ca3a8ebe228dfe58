/**
 * Detects that nothing was received from an endpoint for too long: after a power loss or during a
 * network partition, the endpoint closes no connection.
 */

/** Options of {@link ResponseWatchdog}. */
export interface ResponseWatchdogOptions {
  readonly timeoutMs: number;
  /** Called once, when nothing was received for `timeoutMs`. */
  readonly onTimeout: () => void;
  readonly nowMs?: () => number;
}

/** Time-out for bytes received on one connection. */
export class ResponseWatchdog {
  private readonly timeoutMs: number;
  private readonly onTimeout: () => void;
  private readonly nowMs: () => number;
  private lastReceivedAtMs: number;
  private dueAtMs = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(options: ResponseWatchdogOptions) {
    this.timeoutMs = options.timeoutMs;
    this.onTimeout = options.onTimeout;
    this.nowMs = options.nowMs ?? (() => performance.now());
    this.lastReceivedAtMs = this.nowMs();
    this.schedule(this.timeoutMs);
  }

  /**
   * Notes that something was received. Cheap, as it is called for every event: no timer is
   * restarted.
   */
  reset(): void {
    this.lastReceivedAtMs = this.nowMs();
  }

  /** Suspends the time-out while this side does not read. */
  pause(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  /** Restarts the time-out after {@link pause}. */
  resume(): void {
    if (this.timer !== undefined) return;
    this.reset();
    this.schedule(this.timeoutMs);
  }

  /** Stops the time-out for good. */
  stop(): void {
    this.pause();
  }

  private schedule(delayMs: number): void {
    this.dueAtMs = this.nowMs() + delayMs;
    this.timer = setTimeout(() => {
      this.check();
    }, delayMs);
  }

  private check(): void {
    const nowMs = this.nowMs();
    const silentMs = nowMs - this.lastReceivedAtMs;
    // A process that was suspended has not read yet what arrived in the meantime.
    const wasSuspended = nowMs - this.dueAtMs > this.timeoutMs / 2;
    if (wasSuspended) {
      this.reset();
      this.schedule(this.timeoutMs);
      return;
    }
    if (silentMs < this.timeoutMs) {
      this.schedule(this.timeoutMs - silentMs);
      return;
    }
    this.timer = undefined;
    this.onTimeout();
  }
}
