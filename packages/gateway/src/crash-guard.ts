/**
 * Quarantines request content that crashes endpoints: at this entry at once, and at all entries
 * through the fleet's record of crashes.
 */
import type { Admission, BrokenSend, ContentGuard } from '@shedline/forwarding';
import type { Logger } from '@shedline/logger';
import { KnownCrashes } from '@shedline/quarantine';
import type { CrashChanges } from '@shedline/quarantine';
import type { CrashReporter } from './crash-reporter.js';
import type { CrashDetector } from './crash-detector.js';

/**
 * Retry delay while another entry runs the trial request, or no leader could permit this one to.
 */
const TRIAL_RETRY_MS = 1000;

/** Options of {@link CrashGuard}. */
export interface CrashGuardOptions {
  readonly crashDetector: Pick<CrashDetector, 'whenCrashed'>;
  readonly reporter: Pick<CrashReporter, 'reportCrash' | 'reportSurvival' | 'beginTrial'>;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

/** {@link ContentGuard} of an entry. */
export class CrashGuard implements ContentGuard {
  private readonly options: CrashGuardOptions;
  private readonly records: KnownCrashes;

  constructor(options: CrashGuardOptions) {
    this.options = options;
    this.records = new KnownCrashes(options.nowMs);
  }

  get isIdle(): boolean {
    return this.records.isEmpty;
  }

  /** Number of contents that are quarantined. */
  get heldCount(): number {
    return this.records.quarantinedCount;
  }

  async admit(contentKey: string): Promise<Admission> {
    const status = this.records.status(contentKey);
    if (status.kind === 'free') return { isAdmitted: true };
    if (status.kind === 'held') return { isAdmitted: false, retryAfterMs: status.forMs };
    const isPermitted = await this.options.reporter.beginTrial(contentKey, status.trials);
    const { logger } = this.options;
    logger.info('trial request for quarantined content', {
      step: 'hold',
      content: contentKey,
      trials: status.trials,
      outcome: isPermitted ? 'let' : 'not let',
    });
    return isPermitted ? { isAdmitted: true } : { isAdmitted: false, retryAfterMs: TRIAL_RETRY_MS };
  }

  quarantinedForMs(contentKey: string): number {
    const status = this.records.status(contentKey);
    if (status.kind === 'free') return 0;
    return status.kind === 'held' ? status.forMs : TRIAL_RETRY_MS;
  }

  crashCountOf(contentKey: string): number {
    return this.records.crashCountOf(contentKey);
  }

  noteBrokenSend(send: BrokenSend): void {
    void this.options.crashDetector.whenCrashed(send.endpointId, send.address, () => {
      this.recordCrash(send);
    });
  }

  noteExecuted(contentKey: string): void {
    const crashes = this.records.crashCountOf(contentKey);
    if (!this.records.recordSurvival(contentKey)) return;
    this.options.logger.info('content released from quarantine', {
      step: 'hold',
      content: contentKey,
      crashes,
    });
    this.options.reporter.reportSurvival(contentKey);
  }

  /** Applies changes of the fleet's record of crashes. */
  applyChanges(changes: CrashChanges, from: string): void {
    for (const content of this.records.applyChanges(changes)) {
      this.options.logger.info('content quarantined', {
        step: 'hold',
        content,
        crashes: this.records.crashCountOf(content),
        change: changes.number,
        peer: from,
      });
    }
  }

  private recordCrash(send: BrokenSend): void {
    const { contentKey, knownCrashes, hasBegun, requestId, endpointId } = send;
    this.records.recordCrash(contentKey, { knownCrashes, hasBegun });
    this.options.reporter.reportCrash({ contentKey, knownCrashes, hasBegun });
    this.options.logger.info('endpoint crashed while processing content', {
      step: 'hold',
      request: requestId,
      endpoint: endpointId,
      content: contentKey,
      hasBegun,
      crashes: this.records.crashCountOf(contentKey),
    });
  }
}
