/**
 * Phases of a graceful shutdown: an entry keeps serving while callers may have its address cached,
 * begins only what can end in time, and answers what is still open before it is killed.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { OpenCalls } from '@shedline/draining';

/** Time before the process is killed at which the calls still open are answered. */
const CLOSE_BEFORE_KILL_MS = 500;
/** Time before the process is killed at which it exits, whatever is open. */
const EXIT_BEFORE_KILL_MS = 250;
/** Part of the time left that a call waiting for something leaves for its response. */
const RESPONSE_MARGIN_MS = 200;

/** Options of {@link GracefulShutdown}. */
export interface GracefulShutdownOptions {
  readonly nowMs: () => number;
  /** Time after which the process is killed. */
  readonly stopWithinMs: number;
  /** Time for which callers cache the addresses of entries. */
  readonly addressKeepMs: number;
  /** Calls in progress at this process. */
  readonly openCalls: Pick<OpenCalls, 'waitUntilNone'>;
}

/** The graceful shutdown of one process. */
export class GracefulShutdown {
  private readonly options: GracefulShutdownOptions;
  private readonly closeListeners = new Set<() => void>();
  private beganAtMs: number | undefined;
  private closing = false;

  constructor(options: GracefulShutdownOptions) {
    this.options = options;
  }

  /** Whether the shutdown has begun. */
  get hasBegun(): boolean {
    return this.beganAtMs !== undefined;
  }

  /** Whether the calls still open get their last answers, and new ones are refused. */
  get isClosing(): boolean {
    return this.closing;
  }

  /** Time until calls still open get their last answers; Infinity before the shutdown. */
  get timeLeftMs(): number {
    return this.closing ? 0 : this.untilKillMs - CLOSE_BEFORE_KILL_MS;
  }

  /** Time for which a call may be kept waiting for something that it could also do without. */
  get waitLimitMs(): number {
    const { beganAtMs, options } = this;
    if (beganAtMs === undefined) return Infinity;
    // Later calls come one after another, and each would keep the process from exiting.
    if (options.nowMs() >= beganAtMs + options.addressKeepMs) return 0;
    return Math.max(0, this.timeLeftMs - RESPONSE_MARGIN_MS);
  }

  /** Whether a call that lasts this long at most would end before connections are closed. */
  mayBegin(longestMs: number): boolean {
    return !this.closing && longestMs <= this.timeLeftMs;
  }

  /**
   * Registers a listener that gives an open call its last answer; returns a function that removes
   * it.
   */
  onClosing(listener: () => void): () => void {
    this.closeListeners.add(listener);
    return () => {
      this.closeListeners.delete(listener);
    };
  }

  /** Gives the calls still open their last answers, and refuses new ones. */
  refuseCalls(): void {
    if (this.closing) return;
    this.closing = true;
    for (const answer of [...this.closeListeners]) answer();
  }

  /** Resolves when the process may exit; `itemsReturned` resolves when batch items are returned. */
  async run(itemsReturned: Promise<void>): Promise<void> {
    const { nowMs, openCalls } = this.options;
    this.beganAtMs = nowMs();
    if (!this.closing) await this.serve(itemsReturned);
    this.refuseCalls();
    await openCalls.waitUntilNone(this.untilKillMs - EXIT_BEFORE_KILL_MS);
  }

  /** Resolves when no call is in progress and none is expected, or when no time is left. */
  private async serve(itemsReturned: Promise<void>): Promise<void> {
    const { addressKeepMs, openCalls } = this.options;
    // Callers may use this entry until their cached addresses expire.
    const mayClose = Promise.all([pause(Math.min(addressKeepMs, this.timeLeftMs)), itemsReturned]);
    await Promise.race([mayClose, pause(this.timeLeftMs, undefined, { ref: false })]);
    await openCalls.waitUntilNone(this.timeLeftMs);
  }

  /** Time until the process is killed; Infinity before the shutdown. */
  private get untilKillMs(): number {
    const { beganAtMs, options } = this;
    return beganAtMs === undefined ? Infinity : beganAtMs + options.stopWithinMs - options.nowMs();
  }
}
