/**
 * The course of a planned stop: an entry serves on as long as callers keep addresses that name
 * it, then refuses what is new so that what runs can end, and closes before it is killed.
 */
import { setTimeout as pause } from 'node:timers/promises';

const POLL_MS = 20;
/** Time before the end of the process at which connections are closed. */
const STOP_MARGIN_MS = 700;
/**
 * Time before that from which new requests are refused as not run, so that those under way can
 * end: callers may go on using their connections until the process is gone.
 */
const REFUSE_BEFORE_END_MS = 1500;

/** Options of {@link PlannedStop}. */
export interface PlannedStopOptions {
  readonly nowMs: () => number;
  /** Time after which the process is killed. */
  readonly stopWithinMs: number;
  /** Time for which callers keep an answer with addresses. */
  readonly addressKeepMs: number;
  /** Requests under way. */
  readonly openRequests: () => number;
}

/** One planned stop. */
export class PlannedStop {
  private readonly options: PlannedStopOptions;
  private begun = false;
  private closing = false;

  constructor(options: PlannedStopOptions) {
    this.options = options;
  }

  /** Whether the process was told to stop. */
  get hasBegun(): boolean {
    return this.begun;
  }

  /** The last part of the stop: nothing new is begun. */
  get isClosing(): boolean {
    return this.closing;
  }

  /** Resolves when connections may close; `handedBack` resolves when batch work is handed back. */
  async run(handedBack: Promise<void>): Promise<void> {
    const { nowMs, stopWithinMs, addressKeepMs, openRequests } = this.options;
    this.begun = true;
    const beganMs = nowMs();
    const untilMs = beganMs + stopWithinMs - STOP_MARGIN_MS;
    const refuseFromMs = untilMs - REFUSE_BEFORE_END_MS;
    // Callers come here as long as they keep an answer that names this entry.
    const keptUntilMs = Math.min(beganMs + addressKeepMs, refuseFromMs);
    await pause(Math.max(0, keptUntilMs - nowMs()));
    while (openRequests() > 0 && nowMs() < untilMs) {
      this.closing = nowMs() >= refuseFromMs;
      await pause(POLL_MS);
    }
    this.closing = true;
    await Promise.race([handedBack, pause(Math.max(0, untilMs - nowMs()))]);
  }
}
