/**
 * Holds callers' requests until a starting entry knows the routes. A restarted process is ready
 * within a few tenths of a second, so a held request is answered sooner than a refused and retried
 * one, and callers retry only once or twice.
 */

/**
 * Time after startup during which an entry holds requests. After a power loss of all instances,
 * entries were ready 0.42 to 0.45 s after startup; slower machines need two to three times that.
 */
const MAX_HOLD_ALONE_MS = 1500;
/** The same if other entries are ready and serve a refused caller at once. */
const MAX_HOLD_AMONG_OTHERS_MS = 400;

/** Options of {@link StartupGate}. */
export interface StartupGateOptions {
  readonly nowMs: () => number;
  /** Whether other entries are known to accept callers. */
  readonly othersReady: () => boolean;
  readonly maxHoldAloneMs?: number;
  readonly maxHoldAmongOthersMs?: number;
}

/** Notifies about the disconnection of a caller. */
export interface DisconnectNotifier {
  /** Calls the listener once if the caller disconnects before its response ends, or already has. */
  onDisconnect(listener: () => void): void;
}

/** Gate that opens once, when the routes are known. */
export class StartupGate {
  private readonly options: Required<StartupGateOptions>;
  private readonly startedAtMs: number;
  private readonly waiters = new Set<() => void>();
  private isOpen = false;

  constructor(options: StartupGateOptions) {
    this.options = {
      maxHoldAloneMs: MAX_HOLD_ALONE_MS,
      maxHoldAmongOthersMs: MAX_HOLD_AMONG_OTHERS_MS,
      ...options,
    };
    this.startedAtMs = options.nowMs();
  }

  /** Remaining time for which a new request is held; 0 if it passes or is refused at once. */
  get holdMs(): number {
    if (this.isOpen) return 0;
    const {
      nowMs,
      othersReady,
      maxHoldAloneMs: holdAloneMs,
      maxHoldAmongOthersMs: holdAmongOthersMs,
    } = this.options;
    const limitMs = othersReady() ? holdAmongOthersMs : holdAloneMs;
    return Math.max(0, this.startedAtMs + limitMs - nowMs());
  }

  /** Number of requests that are held. */
  get waitingCount(): number {
    return this.waiters.size;
  }

  /** Releases all held requests and lets all later ones pass. */
  open(): void {
    this.isOpen = true;
    for (const release of [...this.waiters]) release();
  }

  /**
   * Resolves when the gate opens, the hold time ends or the caller disconnects; returns the time in
   * ms for which the request was held.
   */
  async pass(caller: DisconnectNotifier): Promise<number> {
    const { holdMs } = this;
    if (holdMs === 0) return 0;
    const sinceMs = this.options.nowMs();
    await this.untilReleased(caller, holdMs);
    return this.options.nowMs() - sinceMs;
  }

  private untilReleased(caller: DisconnectNotifier, holdMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        release();
      }, holdMs);
      const release = (): void => {
        clearTimeout(timer);
        this.waiters.delete(release);
        resolve();
      };
      this.waiters.add(release);
      caller.onDisconnect(release);
    });
  }
}
