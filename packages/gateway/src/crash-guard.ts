/**
 * Quarantines features of requests that crash endpoints: at this entry at once, and at all entries
 * through the fleet's record of crashes.
 */
import type { Admission, BrokenSend, ContentGuard, Quarantine } from '@shedline/forwarding';
import type { Logger } from '@shedline/logger';
import { KnownCrashes } from '@shedline/quarantine';
import type { CrashChanges } from '@shedline/quarantine';
import type { CrashReporter } from './crash-reporter.js';
import type { CrashDetector } from './crash-detector.js';

/**
 * Retry delay while another entry runs the trial request, or no leader could permit this one to.
 */
const TRIAL_RETRY_MS = 1000;
/** Maximum number of features of one request in a log record. */
const MAX_LOGGED_FEATURES = 9;

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

  /** Number of features that are quarantined. */
  get heldCount(): number {
    return this.records.quarantinedCount;
  }

  async admit(featureKeys: readonly string[]): Promise<Admission> {
    const status = this.records.status(featureKeys);
    if (status.kind === 'free') return { isAdmitted: true };
    if (status.kind === 'held') return { isAdmitted: false, retryAfterMs: status.forMs };
    const { reporter, logger } = this.options;
    const isPermitted = await reporter.beginTrial(status.trials);
    logger.info('trial request with a quarantined feature', {
      step: 'hold',
      features: status.trials.map(({ contentKey }) => contentKey),
      trials: status.trials.map(({ trials }) => trials).join(','),
      outcome: isPermitted ? 'let' : 'not let',
    });
    return isPermitted ? { isAdmitted: true } : { isAdmitted: false, retryAfterMs: TRIAL_RETRY_MS };
  }

  quarantineOf(featureKeys: readonly string[]): Quarantine | undefined {
    const status = this.records.status(featureKeys);
    if (status.kind === 'free') return undefined;
    if (status.kind === 'held') {
      const { contentKey: featureKey, crashes, isConfirmed } = status.feature;
      return { forMs: status.forMs, featureKey, crashes, isConfirmed };
    }
    const [{ contentKey: featureKey }] = status.trials;
    const crashes = this.records.crashCountOf(featureKey);
    return { forMs: TRIAL_RETRY_MS, featureKey, crashes, isConfirmed: false };
  }

  crashCountOf(featureKey: string): number {
    return this.records.crashCountOf(featureKey);
  }

  noteBrokenSend(send: BrokenSend): void {
    void this.options.crashDetector.whenCrashed(send.endpointId, send.address, () => {
      this.recordCrash(send);
    });
  }

  noteExecuted(featureKeys: readonly string[]): void {
    for (const feature of featureKeys) {
      const crashes = this.records.crashCountOf(feature);
      if (!this.records.recordSurvival(feature)) continue;
      this.options.logger.info('feature released from quarantine', {
        step: 'hold',
        feature,
        crashes,
      });
      this.options.reporter.reportSurvival(feature);
    }
  }

  /** Applies changes of the fleet's record of crashes. */
  applyChanges(changes: CrashChanges, from: string): void {
    for (const feature of this.records.applyChanges(changes)) {
      this.options.logger.info('feature quarantined', {
        step: 'hold',
        feature,
        crashes: this.records.crashCountOf(feature),
        change: changes.number,
        peer: from,
      });
    }
  }

  private recordCrash({ features, hasBegun, requestId, endpointId }: BrokenSend): void {
    for (const { featureKey, knownCrashes } of features) {
      const wasSound = this.records.wasSound(featureKey);
      const crash = { knownCrashes, hasBegun, endpointId, ...(wasSound ? { wasSound } : {}) };
      this.records.recordCrash(featureKey, crash);
      this.options.reporter.reportCrash({ contentKey: featureKey, ...crash });
    }
    const logged = features.slice(0, MAX_LOGGED_FEATURES).map(({ featureKey }) => featureKey);
    this.options.logger.info('endpoint crashed while processing a request', {
      step: 'hold',
      request: requestId,
      endpoint: endpointId,
      hasBegun,
      features: logged,
      crashes: logged.map((key) => this.records.crashCountOf(key)).join(','),
    });
  }
}
