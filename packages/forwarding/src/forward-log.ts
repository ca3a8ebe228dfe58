/**
 * Log lines of one request: one for each decision, with what decided it.
 */
import type { Logger } from '@shedline/logger';
import type { ChosenEndpoint } from './endpoint-queue.js';
import type { SendResult } from './endpoint-sender.js';
import type { ForwardEnd, ForwardTask } from './forward-task.js';

/** How a request went, for its last line. */
export interface ForwardSummary {
  readonly sends: number;
  readonly tookMs: number;
  readonly waitedMs: number;
  readonly firstPartMs: number | undefined;
}

/** Writes the lines of one request. */
export class ForwardLog {
  private readonly logger: Logger;
  private readonly task: ForwardTask;

  constructor(logger: Logger, task: ForwardTask) {
    this.logger = logger;
    this.task = task;
  }

  /** It goes out to an endpoint. */
  sent(
    endpoint: ChosenEndpoint,
    details: {
      readonly send: number;
      readonly timeLeftMs: number;
      readonly resumeAfterEventId: string | undefined;
    },
  ): void {
    const { resumeAfterEventId, ...numbers } = details;
    this.logger.info('request sent', {
      ...this.about(endpoint),
      version: this.task.version,
      load: endpoint.load,
      ...numbers,
      ...(resumeAfterEventId === undefined ? {} : { resumeAfterEventId }),
    });
  }

  /** Its endpoint says nothing, or something again. */
  silence(endpoint: ChosenEndpoint, isSilent: boolean, hasBegun: boolean): void {
    const message = isSilent ? 'endpoint is silent' : 'endpoint is heard again';
    this.logger.info(message, { ...this.about(endpoint), hasBegun });
  }

  /** A send brought no whole answer; `content` is the same for all that ask the same. */
  sendEnded(
    endpoint: ChosenEndpoint,
    result: SendResult,
    details: { readonly hasBegun: boolean; readonly content: string },
  ): void {
    const detail = result.kind === 'ended' ? result.outcome : undefined;
    const reason = detail !== undefined && 'reason' in detail ? detail.reason : undefined;
    this.logger.info('send ended without an answer', {
      ...this.about(endpoint),
      outcome: detail?.kind ?? result.kind,
      ...details,
      ...(reason === undefined ? {} : { reason }),
    });
  }

  /** Its content has ended endpoints: it is not sent. */
  held(content: string, crashes: number, retryAfterMs: number): void {
    this.logger.info('request held back', {
      step: 'hold',
      request: this.task.request.requestId,
      content,
      crashes,
      retryAfterMs: Math.round(retryAfterMs),
    });
  }

  /** It is over. */
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

  private about({ endpointId, address }: ChosenEndpoint): Record<string, string> {
    const { requestId } = this.task.request;
    return { step: 'forward', request: requestId, endpoint: endpointId, peer: address };
  }
}
