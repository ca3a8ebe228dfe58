/**
 * Holds what callers ask while an entry does not know the fleet yet. A process that comes back
 * is ready within some tenths of a second: a request that waits for that is answered sooner
 * than one that is refused and has to come back, and callers come back only once or twice.
 */

/**
 * Time from its start in which an entry holds what comes. After a loss of all power entries
 * were ready 0.42 to 0.45 s after their start; slower machines need two to three times that.
 */
const HOLD_ALONE_MS = 1500;
/** The same where other entries are ready, so that a refused caller is served there at once. */
const HOLD_AMONG_OTHERS_MS = 400;

/** Options of {@link StartGate}. */
export interface StartGateOptions {
  readonly nowMs: () => number;
  /** Whether other entries are known to take callers. */
  readonly othersReady: () => boolean;
  readonly holdAloneMs?: number;
  readonly holdAmongOthersMs?: number;
}

/** Tells of a caller that leaves. */
export interface DisconnectNotifier {
  /** Called once if the caller goes away before its answer is complete, or has gone already. */
  onGone(listener: () => void): void;
}

/** A gate that opens once. */
export class StartGate {
  private readonly options: Required<StartGateOptions>;
  private readonly startedAtMs: number;
  private readonly waiters = new Set<() => void>();
  private isOpen = false;

  constructor(options: StartGateOptions) {
    this.options = {
      holdAloneMs: HOLD_ALONE_MS,
      holdAmongOthersMs: HOLD_AMONG_OTHERS_MS,
      ...options,
    };
    this.startedAtMs = options.nowMs();
  }

  /** How much longer a request that comes now would be held; 0 where it passes or is refused. */
  get holdMs(): number {
    if (this.isOpen) return 0;
    const { nowMs, othersReady, holdAloneMs, holdAmongOthersMs } = this.options;
    const limitMs = othersReady() ? holdAmongOthersMs : holdAloneMs;
    return Math.max(0, this.startedAtMs + limitMs - nowMs());
  }

  /** Requests that wait. */
  get waitingCount(): number {
    return this.waiters.size;
  }

  /** Lets everything pass from now on. */
  open(): void {
    this.isOpen = true;
    for (const wake of [...this.waiters]) wake();
  }

  /**
   * Resolves when the gate opens, the time to hold requests is over, or the caller leaves; gives
   * the time that the request was held.
   */
  async pass(caller: DisconnectNotifier): Promise<number> {
    const { holdMs } = this;
    if (holdMs === 0) return 0;
    const sinceMs = this.options.nowMs();
    await this.released(caller, holdMs);
    return this.options.nowMs() - sinceMs;
  }

  private released(caller: DisconnectNotifier, holdMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        wake();
      }, holdMs);
      const wake = (): void => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      this.waiters.add(wake);
      caller.onGone(wake);
    });
  }
}
