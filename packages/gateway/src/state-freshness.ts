/**
 * Tracks how long ago control processes last confirmed that a quorum holds no newer state than this
 * entry, and logs if that is too long ago: the configuration of this entry may be stale then.
 */
import type { Logger } from '@shedline/logger';

/**
 * Age from which the state counts as unconfirmed. A configuration must be in force everywhere
 * within 2 s; a further control process is polled every 1.2 s, and some have no member of the fleet
 * group.
 */
const MAX_CONFIRMATION_AGE_MS = 3000;

/** Options of {@link StateFreshness}. */
export interface StateFreshnessOptions {
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Returns the version of the current configuration. */
  readonly version: () => number;
  /** Returns the names of the connected control processes. */
  readonly connected: () => readonly string[];
}

/** Age of an entry's copy of the fleet state. */
export class StateFreshness {
  private readonly options: StateFreshnessOptions;
  private confirmedAtMs = -Infinity;
  private hasBeenConfirmed = false;
  private isStale = false;

  constructor(options: StateFreshnessOptions) {
    this.options = options;
  }

  /** Time since the last confirmation. */
  get ageMs(): number {
    return this.options.nowMs() - this.confirmedAtMs;
  }

  /** Whether the last confirmation is recent enough to rely on the state. */
  get isFresh(): boolean {
    return this.ageMs < MAX_CONFIRMATION_AGE_MS;
  }

  /** Notes that according to `peer` the known state was the newest at `atMs`. */
  confirm(atMs: number, peer: string): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
    this.hasBeenConfirmed = true;
    if (!this.isStale || this.ageMs >= MAX_CONFIRMATION_AGE_MS) return;
    this.isStale = false;
    const { logger, version } = this.options;
    logger.info('fleet state confirmed again', {
      step: 'configure',
      version: version(),
      peer,
    });
  }

  /** Logs a warning if the state has become unconfirmed; called periodically. */
  check(): void {
    if (this.isStale || !this.hasBeenConfirmed || this.ageMs < MAX_CONFIRMATION_AGE_MS) return;
    this.isStale = true;
    const { logger, version, connected } = this.options;
    logger.warn('fleet state not confirmed', {
      step: 'configure',
      version: version(),
      ageMs: Math.round(this.ageMs),
      controls: connected(),
    });
  }
}
