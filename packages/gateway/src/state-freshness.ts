/**
 * Tells how long ago a quorum was known to hold nothing newer than this entry knows, as its control processes
 * say, and notes in the log when that is too long ago: the configuration in force here may be old then.
 */
import type { Logger } from '@shedline/logger';

/**
 * Age from which the log says so. Configurations have to be in force everywhere within two seconds; a further control process is
 * asked each 1.2 s, and some hold no member of the fleet group.
 */
const EXPECTED_WITHIN_MS = 3000;

/** Options of {@link StateFreshness}. */
export interface StateFreshnessOptions {
  readonly logger: Logger;
  readonly nowMs: () => number;
  /** Version of the configuration in force here. */
  readonly version: () => number;
  /** Names of the control processes that are connected. */
  readonly connected: () => readonly string[];
}

/** Age of what an entry knows of the fleet's state. */
export class StateFreshness {
  private readonly options: StateFreshnessOptions;
  private confirmedAtMs = -Infinity;
  private isExpected = false;
  private isMissing = false;

  constructor(options: StateFreshnessOptions) {
    this.options = options;
  }

  /** Time since the last confirmation. */
  get ageMs(): number {
    return this.options.nowMs() - this.confirmedAtMs;
  }

  /** What is known here was the newest at `atMs`, as `peer` says. */
  confirmed(atMs: number, peer: string): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
    this.isExpected = true;
    if (!this.isMissing || this.ageMs >= EXPECTED_WITHIN_MS) return;
    this.isMissing = false;
    const { logger, version } = this.options;
    logger.info('state of the fleet confirmed again', {
      step: 'configure',
      version: version(),
      peer,
    });
  }

  /** A regular look. */
  look(): void {
    if (this.isMissing || !this.isExpected || this.ageMs < EXPECTED_WITHIN_MS) return;
    this.isMissing = true;
    const { logger, version, connected } = this.options;
    logger.warn('state of the fleet not confirmed', {
      step: 'configure',
      version: version(),
      ageMs: Math.round(this.ageMs),
      controls: connected(),
    });
  }
}
