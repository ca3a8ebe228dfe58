/**
 * Holds back what ends the endpoints that run it, at this entry and, through the fleet's record, at all.
 */
import type { Admission, BrokenSend, ContentGuard } from '@shedline/forwarding';
import type { Logger } from '@shedline/logger';
import { KnownCrashes } from '@shedline/quarantine';
import type { CrashChanges } from '@shedline/quarantine';
import type { CrashReporter } from './crash-reporter.js';
import type { EndWatch } from './end-watch.js';

/** When to ask again while somebody else tries the content, or nobody could let this entry try it. */
const TRIAL_UNDER_WAY_MS = 1000;

/** Options of {@link CrashGuard}. */
export interface CrashGuardOptions {
  readonly endWatch: Pick<EndWatch, 'whenEnded'>;
  readonly reporter: Pick<CrashReporter, 'reportCrash' | 'reportSurvival' | 'beginTrial'>;
  readonly logger: Logger;
  readonly nowMs: () => number;
}

/** {@link ContentGuard} of one entry. */
export class CrashGuard implements ContentGuard {
  private readonly options: CrashGuardOptions;
  private readonly known: KnownCrashes;

  constructor(options: CrashGuardOptions) {
    this.options = options;
    this.known = new KnownCrashes(options.nowMs);
  }

  get isIdle(): boolean {
    return this.known.isEmpty;
  }

  /** Contents that are held back now. */
  get heldCount(): number {
    return this.known.heldCount;
  }

  async admit(contentKey: string): Promise<Admission> {
    const status = this.known.status(contentKey);
    if (status.kind === 'free') return { isAdmitted: true };
    if (status.kind === 'held') return { isAdmitted: false, retryAfterMs: status.forMs };
    const isLet = await this.options.reporter.beginTrial(contentKey, status.trials);
    const { logger } = this.options;
    logger.info('trial of a content that is held back', {
      step: 'hold',
      content: contentKey,
      trials: status.trials,
      outcome: isLet ? 'let' : 'not let',
    });
    return isLet ? { isAdmitted: true } : { isAdmitted: false, retryAfterMs: TRIAL_UNDER_WAY_MS };
  }

  heldMs(contentKey: string): number {
    const status = this.known.status(contentKey);
    if (status.kind === 'free') return 0;
    return status.kind === 'held' ? status.forMs : TRIAL_UNDER_WAY_MS;
  }

  crashesOf(contentKey: string): number {
    return this.known.crashesOf(contentKey);
  }

  brokeOff(send: BrokenSend): void {
    void this.options.endWatch.whenEnded(send.endpointId, send.address, () => {
      this.blame(send);
    });
  }

  survived(contentKey: string): void {
    const crashes = this.known.crashesOf(contentKey);
    if (!this.known.survived(contentKey)) return;
    this.options.logger.info('content is cleared', { step: 'hold', content: contentKey, crashes });
    this.options.reporter.reportSurvival(contentKey);
  }

  /** Takes news of the fleet's record. */
  take(changes: CrashChanges, from: string): void {
    for (const content of this.known.take(changes)) {
      this.options.logger.info('content is held back', {
        step: 'hold',
        content,
        crashes: this.known.crashesOf(content),
        change: changes.number,
        peer: from,
      });
    }
  }

  private blame(send: BrokenSend): void {
    const { contentKey, knownCrashes, hasBegun, requestId, endpointId } = send;
    this.known.crashed(contentKey, { knownCrashes, hasBegun });
    this.options.reporter.reportCrash({ contentKey, knownCrashes, hasBegun });
    this.options.logger.info('endpoint ended under a content', {
      step: 'hold',
      request: requestId,
      endpoint: endpointId,
      content: contentKey,
      hasBegun,
      crashes: this.known.crashesOf(contentKey),
    });
  }
}
