/**
 * Log records of one forwarded request: one for each decision, with the values that it depended on.
 */
import type { Logger } from '@shedline/logger';
import type { Quarantine } from './content-guard.js';
import type { ChosenEndpoint } from './endpoint-queue.js';
import type { SendResult } from './endpoint-sender.js';
import type { ForwardEnd, ForwardTask } from './forward-task.js';

/** Maximum number of parts of a prompt in a log record. */
const MAX_LOGGED_PARTS = 8;

/** Figures of a finished request, for its last log record. */
export interface ForwardSummary {
  readonly sends: number;
  readonly tookMs: number;
  readonly waitedMs: number;
  readonly firstPartMs: number | undefined;
}

/** Writes the log records of one request. */
export class ForwardLog {
  private readonly logger: Logger;
  private readonly task: ForwardTask;

  constructor(logger: Logger, task: ForwardTask) {
    this.logger = logger;
    this.task = task;
  }

  /** Logs that the request is sent to an endpoint. */
  sent(
    endpoint: ChosenEndpoint,
    details: {
      readonly send: number;
      readonly timeLeftMs: number;
      readonly resumeAfterEventId: string | undefined;
      /** Ids of the parts of its prompt that other requests may share. */
      readonly sharedParts: readonly string[];
    },
  ): void {
    const { resumeAfterEventId, sharedParts, ...numbers } = details;
    const { resumesRequestId } = this.task.request;
    this.logger.info('request sent', {
      ...this.endpointFields(endpoint),
      softwareVersion: endpoint.softwareVersion,
      version: this.task.version,
      load: endpoint.load,
      ...numbers,
      ...(sharedParts.length === 0 ? {} : { parts: loggedParts(sharedParts) }),
      ...(resumeAfterEventId === undefined ? {} : { resumeAfterEventId }),
      ...(resumesRequestId === undefined ? {} : { resumes: resumesRequestId }),
    });
  }

  /** Logs that the endpoint became unresponsive or responds again. */
  silenceChanged(endpoint: ChosenEndpoint, isSilent: boolean, hasBegun: boolean): void {
    const message = isSilent ? 'endpoint is unresponsive' : 'endpoint is responsive again';
    this.logger.info(message, { ...this.endpointFields(endpoint), hasBegun });
  }

  /**
   * Logs that a send brought no complete response; `content` is equal for requests of equal
   * content.
   */
  sendEnded(
    endpoint: ChosenEndpoint,
    result: SendResult,
    details: { readonly hasBegun: boolean; readonly content: string },
  ): void {
    const detail = result.kind === 'ended' ? result.outcome : undefined;
    const reason = detail !== undefined && 'reason' in detail ? detail.reason : undefined;
    this.logger.info('send ended without a complete response', {
      ...this.endpointFields(endpoint),
      outcome: detail?.kind ?? result.kind,
      ...details,
      ...(reason === undefined ? {} : { reason }),
    });
  }

  /** Logs that the request is not sent because one of its features crashes endpoints. */
  quarantined({ featureKey, crashes, isConfirmed, forMs }: Quarantine): void {
    this.logger.info('request refused: one of its features is quarantined', {
      step: 'hold',
      request: this.task.request.requestId,
      feature: featureKey,
      crashes,
      isConfirmed,
      retryAfterMs: Math.round(forMs),
    });
  }

  /** Logs that a stream cannot continue at the software version that began it. */
  notContinued({
    softwareVersion,
    resumeAfterEventId,
    isWriterCertain,
  }: {
    readonly softwareVersion: string;
    readonly resumeAfterEventId: string | undefined;
    readonly isWriterCertain: boolean;
  }): void {
    const { requestId, resumesRequestId } = this.task.request;
    this.logger.info('stream not continued', {
      step: 'forward',
      request: requestId,
      softwareVersion,
      reason: isWriterCertain
        ? 'no endpoint of its software version is available'
        : 'the endpoint that began it may have restarted as another version',
      ...(resumeAfterEventId === undefined ? {} : { resumeAfterEventId }),
      ...(resumesRequestId === undefined ? {} : { resumes: resumesRequestId }),
    });
  }

  /** Logs that the request ended. */
  ended(outcome: ForwardEnd, { sends, tookMs, waitedMs, firstPartMs }: ForwardSummary): void {
    const { request, route, version } = this.task;
    this.logger.info('request ended', {
      step: 'forward',
      request: request.requestId,
      route: route.name,
      version,
      outcome,
      sends,
      tookMs: Math.round(tookMs),
      waitedMs: Math.round(waitedMs),
      ...(firstPartMs === undefined ? {} : { firstPartMs: Math.round(firstPartMs) }),
    });
  }

  private endpointFields({ endpointId, address }: ChosenEndpoint): Record<string, string> {
    const { requestId } = this.task.request;
    return { step: 'forward', request: requestId, endpoint: endpointId, peer: address };
  }
}

/** Returns the parts of a prompt for a log record, comma-separated; further ones are only counted. */
export function loggedParts(parts: readonly string[]): string {
  const omitted = parts.length - MAX_LOGGED_PARTS;
  const listed = parts.slice(0, MAX_LOGGED_PARTS).join(',');
  return omitted > 0 ? `${listed},+${omitted}` : listed;
}
