/**
 * Phases of a graceful shutdown: an entry keeps serving while callers may have its address cached,
 * begins only what can end in time, and closes before it is killed.
 */
import { setTimeout as pause } from 'node:timers/promises';

const POLL_MS = 20;
/** Time before the process is killed at which connections are closed. */
const CLOSE_BEFORE_KILL_MS = 500;

/** Options of {@link GracefulShutdown}. */
export interface GracefulShutdownOptions {
  readonly nowMs: () => number;
  /** Time after which the process is killed. */
  readonly stopWithinMs: number;
  /** Time for which callers cache the addresses of entries. */
  readonly addressKeepMs: number;
  /** Returns the number of requests in progress. */
  readonly openRequests: () => number;
}

/** The graceful shutdown of one process. */
export class GracefulShutdown {
  private readonly options: GracefulShutdownOptions;
  private closeAtMs: number | undefined;
  private closing = false;

  constructor(options: GracefulShutdownOptions) {
    this.options = options;
  }

  /** Whether the shutdown has begun. */
  get hasBegun(): boolean {
    return this.closeAtMs !== undefined;
  }

  /** Time until connections are closed; Infinity before the shutdown. */
  get timeLeftMs(): number {
    if (this.closing) return 0;
    return (this.closeAtMs ?? Infinity) - this.options.nowMs();
  }

  /** Whether a call that lasts this long at most would end before connections are closed. */
  mayBegin(longestMs: number): boolean {
    return !this.closing && longestMs <= this.timeLeftMs;
  }

  /**
   * Resolves when connections may be closed; `itemsReturned` resolves when batch items are
   * returned.
   */
  async run(itemsReturned: Promise<void>): Promise<void> {
    const { nowMs, stopWithinMs, addressKeepMs, openRequests } = this.options;
    const beganAtMs = nowMs();
    const closeAtMs = beganAtMs + stopWithinMs - CLOSE_BEFORE_KILL_MS;
    this.closeAtMs = closeAtMs;
    // Callers may use this entry until their cached addresses expire.
    await pause(Math.max(0, Math.min(beganAtMs + addressKeepMs, closeAtMs) - nowMs()));
    while (openRequests() > 0 && nowMs() < closeAtMs) await pause(POLL_MS);
    this.closing = true;
    await Promise.race([itemsReturned, pause(Math.max(0, closeAtMs - nowMs()))]);
  }
}
