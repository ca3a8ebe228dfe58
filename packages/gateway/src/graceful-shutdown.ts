/**
 * Phases of a graceful shutdown: an entry keeps serving while callers may have its address cached,
 * then refuses new requests so that those in progress can complete, and closes before it is killed.
 */
import { setTimeout as pause } from 'node:timers/promises';

const POLL_MS = 20;
/** Time before the process is killed at which connections are closed. */
const CLOSE_BEFORE_KILL_MS = 700;
/**
 * Time before connections are closed from which new requests are refused as not executed, so that
 * those in progress can complete: callers may use their connections until the process exits.
 */
const REFUSE_BEFORE_CLOSE_MS = 1500;

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
  private begun = false;
  private closing = false;

  constructor(options: GracefulShutdownOptions) {
    this.options = options;
  }

  /** Whether the shutdown has begun. */
  get hasBegun(): boolean {
    return this.begun;
  }

  /** Whether the last phase has begun, in which new requests are refused. */
  get isClosing(): boolean {
    return this.closing;
  }

  /**
   * Resolves when connections may be closed; `itemsReturned` resolves when batch items are
   * returned.
   */
  async run(itemsReturned: Promise<void>): Promise<void> {
    const { nowMs, stopWithinMs, addressKeepMs, openRequests } = this.options;
    this.begun = true;
    const beganAtMs = nowMs();
    const closeAtMs = beganAtMs + stopWithinMs - CLOSE_BEFORE_KILL_MS;
    const refuseFromMs = closeAtMs - REFUSE_BEFORE_CLOSE_MS;
    // Callers may use this entry until their cached addresses expire.
    const cachedUntilMs = Math.min(beganAtMs + addressKeepMs, refuseFromMs);
    await pause(Math.max(0, cachedUntilMs - nowMs()));
    while (openRequests() > 0 && nowMs() < closeAtMs) {
      this.closing = nowMs() >= refuseFromMs;
      await pause(POLL_MS);
    }
    this.closing = true;
    await Promise.race([itemsReturned, pause(Math.max(0, closeAtMs - nowMs()))]);
  }
}
