/**
 * Checks the features of one request with the content guard. The key of the content is computed only
 * if some feature is suspected or a send broke, as it hashes the whole body: 7.5 us for 1.5 KB and
 * 28 us for 15 KB.
 */
import { partKeyOf } from '@shedline/quarantine';
import { NOOP_GUARD } from './content-guard.js';
import type { ContentGuard, Quarantine } from './content-guard.js';
import type { ChosenEndpoint } from './endpoint-queue.js';
import type { SendResult } from './endpoint-sender.js';
import type { CallerRequest } from './protocol.js';
import { contentKeyOf } from './request-content.js';

/** Maximum number of parts of a prompt that are checked and counted. */
const MAX_PARTS = 64;

/** Options of {@link GuardedContent}. */
export interface GuardedContentOptions {
  /** Quarantine of features of requests; none if undefined. */
  readonly guard: ContentGuard | undefined;
  readonly host: string;
  readonly request: CallerRequest;
  readonly service: string;
  /** Ids of the parts of its prompt that other requests may share. */
  readonly sharedParts: readonly string[];
}

/** Where a request may run. */
export type ContentAdmission =
  | {
      readonly isAdmitted: true;
      /** Software version that must serve the request, if not all versions may. */
      readonly softwareVersion?: string;
    }
  | { readonly isAdmitted: false; readonly quarantine: Quarantine };

/** What was known of the features of a request when it was sent. */
export interface SendKnowledge {
  /** Endpoint crashes attributed to each feature; undefined if there were none at all. */
  readonly crashCounts: readonly number[] | undefined;
  /** Number of earlier sends of the request whose connection broke. */
  readonly brokenSends: number;
}

/** The features of one request and their state at the guard. */
export class GuardedContent {
  private readonly guard: ContentGuard;
  private readonly options: GuardedContentOptions;
  private cachedKey: string | undefined;
  /** Number of sends of this request whose connection broke. */
  private brokenSends = 0;
  /** Software version at which the fleet admitted one send of this request as a trial. */
  private trialVersion: string | undefined;

  constructor(options: GuardedContentOptions) {
    this.options = options;
    this.guard = options.guard ?? NOOP_GUARD;
  }

  /** Key of the content; see {@link contentKeyOf}. */
  get key(): string {
    this.cachedKey ??= contentKeyOf(this.options.host, this.options.request);
    return this.cachedKey;
  }

  /** Whether {@link admit} has to be called; false while no feature is suspected. */
  get needsAdmission(): boolean {
    return !this.guard.isIdle;
  }

  /** Returns what is known of the features at a software version. */
  knowledgeAt(softwareVersion: string): SendKnowledge {
    const { brokenSends, guard } = this;
    if (guard.isIdle) return { crashCounts: undefined, brokenSends };
    const crashCounts = this.keysAt(softwareVersion).map((key) => guard.crashCountOf(key));
    return { crashCounts, brokenSends };
  }

  /**
   * Asks where the request may be sent: at a software version that executes it as far as is known,
   * or else as a trial.
   */
  async admit(softwareVersions: readonly string[]): Promise<ContentAdmission> {
    const free = softwareVersions.filter((version) => this.isFreeAt(version));
    if (free.length === softwareVersions.length) return { isAdmitted: true };
    const [softwareVersion] = free;
    if (softwareVersion !== undefined) return { isAdmitted: true, softwareVersion };
    let soonest: Quarantine | undefined;
    for (const version of softwareVersions) {
      const featureKeys = this.keysAt(version);
      const admission = await this.guard.admit(featureKeys);
      if (admission.isAdmitted) {
        this.trialVersion = version;
        return { isAdmitted: true, softwareVersion: version };
      }
      const quarantine = this.guard.quarantineOf(featureKeys);
      if (quarantine === undefined) return { isAdmitted: true, softwareVersion: version };
      const forMs = admission.retryAfterMs;
      if (soonest === undefined || forMs < soonest.forMs) soonest = { ...quarantine, forMs };
    }
    return soonest === undefined
      ? { isAdmitted: true }
      : { isAdmitted: false, quarantine: soonest };
  }

  /**
   * Returns what keeps the request from a software version: a feature may have been quarantined since
   * the request was admitted.
   */
  quarantineAt(softwareVersion: string): Quarantine | undefined {
    if (this.guard.isIdle || this.trialVersion === softwareVersion) return undefined;
    return this.guard.quarantineOf(this.keysAt(softwareVersion));
  }

  /** Reports the end of a send to the guard; `hasBegun`: a part of the response was received. */
  sendEnded(
    { endpointId, address, softwareVersion }: ChosenEndpoint,
    result: SendResult,
    { crashCounts = [], brokenSends, hasBegun }: SendKnowledge & { readonly hasBegun: boolean },
  ): void {
    if (hasReachedEndpoint(result)) this.trialVersion = undefined;
    if (isBroken(result)) {
      this.brokenSends += 1;
      const { requestId } = this.options.request;
      const features = this.keysAt(softwareVersion).map((featureKey, index) => ({
        featureKey,
        knownCrashes: Math.max(crashCounts[index] ?? 0, brokenSends),
      }));
      this.guard.noteBrokenSend({ endpointId, address, requestId, features, hasBegun });
      return;
    }
    // A failure may have been sent before the endpoint began to execute the request.
    if (result.kind !== 'complete' || !hasBegun) return;
    const featureKeys = this.guard.isIdle
      ? this.partKeysAt(softwareVersion)
      : this.keysAt(softwareVersion);
    if (featureKeys.length > 0) this.guard.noteExecuted(featureKeys);
  }

  private isFreeAt(softwareVersion: string): boolean {
    return this.guard.quarantineOf(this.keysAt(softwareVersion)) === undefined;
  }

  private keysAt(softwareVersion: string): string[] {
    return [this.key, ...this.partKeysAt(softwareVersion)];
  }

  private partKeysAt(softwareVersion: string): string[] {
    const { service, sharedParts } = this.options;
    return partKeysOf({ service, sharedParts, softwareVersion });
  }
}

/** Returns the keys of the parts of a prompt at a software version of a service. */
export function partKeysOf({
  service,
  sharedParts,
  softwareVersion,
}: Pick<GuardedContentOptions, 'service' | 'sharedParts'> & {
  readonly softwareVersion: string;
}): string[] {
  const partIds = new Set(sharedParts.slice(0, MAX_PARTS));
  return [...partIds].map((partId) => partKeyOf({ partId, service, softwareVersion }));
}

/**
 * Whether the connection broke. An unresponsive endpoint doesn't count, as it may still execute the
 * request, nor a response that was dropped: its endpoint may have crashed before the send.
 */
export function isBroken(result: SendResult): boolean {
  if (result.kind !== 'ended') return false;
  const { outcome } = result;
  if (outcome.kind === 'brokeOff' && outcome.isUnconfirmed === true) return false;
  return (outcome.kind === 'lost' || outcome.kind === 'brokeOff') && outcome.isSilence !== true;
}

function hasReachedEndpoint(result: SendResult): boolean {
  if (result.kind !== 'ended') return true;
  return result.outcome.kind !== 'notSent' && result.outcome.kind !== 'refused';
}
