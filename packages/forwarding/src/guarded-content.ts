/**
 * Checks the content of one request with the content guard. The content key is computed only if
 * some content is suspected or a send broke, as it hashes the whole body: 7.5 us for 1.5 KB and 28
 * us for 15 KB.
 */
import { NOOP_GUARD } from './content-guard.js';
import type { BrokenSend, ContentGuard } from './content-guard.js';
import type { ChosenEndpoint } from './endpoint-queue.js';
import type { SendResult } from './endpoint-sender.js';
import type { CallerRequest } from './protocol.js';
import { contentKeyOf } from './request-content.js';

/** Options of {@link GuardedContent}. */
export interface GuardedContentOptions {
  /** Quarantine of request content; none if undefined. */
  readonly guard: ContentGuard | undefined;
  readonly host: string;
  readonly request: CallerRequest;
}

/** The content of one request and its state at the guard. */
export class GuardedContent {
  private readonly guard: ContentGuard;
  private readonly host: string;
  private readonly request: CallerRequest;
  private cachedKey: string | undefined;
  /** Number of sends of this request whose connection broke. */
  private brokenSends = 0;
  /** Whether the fleet admitted this request as the trial request of quarantined content. */
  private isTrialRequest = false;

  constructor({ guard, host, request }: GuardedContentOptions) {
    this.guard = guard ?? NOOP_GUARD;
    this.host = host;
    this.request = request;
  }

  /** Key of the content; see {@link contentKeyOf}. */
  get key(): string {
    this.cachedKey ??= contentKeyOf(this.host, this.request);
    return this.cachedKey;
  }

  /** Whether {@link admit} has to be called; false while no content is suspected. */
  get needsAdmission(): boolean {
    return !this.guard.isIdle;
  }

  /** Number of endpoint crashes attributed to the content, as known when it is sent. */
  get crashes(): number {
    const known = this.guard.isIdle ? 0 : this.guard.crashCountOf(this.key);
    return Math.max(known, this.brokenSends);
  }

  /**
   * Asks whether the content may be sent; returns its remaining quarantine time, 0 if it may be
   * sent.
   */
  async admit(): Promise<number> {
    const isQuarantined = this.guard.quarantinedForMs(this.key) > 0;
    const admission = await this.guard.admit(this.key);
    if (!admission.isAdmitted) return admission.retryAfterMs;
    this.isTrialRequest = isQuarantined;
    return 0;
  }

  /**
   * Current remaining quarantine time: the content may have been quarantined since it was admitted.
   */
  get quarantinedForMs(): number {
    return this.guard.isIdle || this.isTrialRequest ? 0 : this.guard.quarantinedForMs(this.key);
  }

  /** Reports the end of a send to the guard. */
  sendEnded(
    { endpointId, address }: ChosenEndpoint,
    result: SendResult,
    send: Pick<BrokenSend, 'knownCrashes' | 'hasBegun'>,
  ): void {
    if (isBroken(result)) {
      this.brokenSends += 1;
      const { requestId } = this.request;
      const contentKey = this.key;
      this.guard.noteBrokenSend({ endpointId, address, requestId, contentKey, ...send });
      return;
    }
    const isExecuted = result.kind === 'complete' || result.kind === 'failure';
    if (isExecuted && !this.guard.isIdle) this.guard.noteExecuted(this.key);
  }
}

/**
 * Whether the connection broke. An unresponsive endpoint doesn't count: it may still execute the
 * request.
 */
export function isBroken(result: SendResult): boolean {
  if (result.kind !== 'ended') return false;
  const { outcome } = result;
  return (outcome.kind === 'lost' || outcome.kind === 'brokeOff') && outcome.isSilence !== true;
}
