/**
 * Runs one online generation: chooses an endpoint, retries if permitted, and resumes an interrupted
 * response on another endpoint after the tokens already sent.
 */
import { mayRetry, ranAfterAttempts } from '@shedline/admission';
import type { SendProgress } from '@shedline/admission';
import { ShedlineError } from '@shedline/errors';
import type { Logger } from '@shedline/logger';
import type { BurnRecorder, LatencyHistogram, LatencyRecorder } from '@shedline/metrics';
import { prefixHashes, rowKey } from '@shedline/types';
import type { ServiceRow } from '@shedline/types';
import type { KnownEndpoint } from '@shedline/directory';
import type { AdmissionController } from './admission-controller.js';
import type { Usage } from './stream-validator.js';
import type { EndpointDriver, GenerateOutcome } from './endpoint-driver.js';
import type { FleetView } from './fleet-view.js';
import type { TableReader } from './table-reader.js';

/** Parts of the entry that online requests use. */
export interface OnlineContext {
  readonly fleet: FleetView;
  readonly reader: TableReader;
  readonly admission: AdmissionController;
  readonly driver: EndpointDriver;
  readonly logger: Logger;
  readonly latencies: LatencyRecorder;
  readonly burn: BurnRecorder;
  readonly nowMs: () => number;
  /** Called when online work starts at an endpoint, so that batch work there can yield. */
  readonly onOnlineStart: (endpointId: string) => void;
}

/** One online request. */
export interface OnlineRequest {
  readonly requestId: string;
  readonly row: ServiceRow;
  readonly path: '/v1/chat/completions' | '/v1/completions';
  readonly body: Readonly<Record<string, unknown>>;
  readonly prompt: string;
  readonly sessionId: string | undefined;
  readonly idempotent: boolean;
  readonly deadlineMs: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  readonly onToken: (text: string) => void;
}

/** A complete response. */
export interface OnlineAnswer {
  readonly finishReason: string;
  readonly usage: Usage | undefined;
  readonly tokens: readonly string[];
}

const MAX_ATTEMPTS = 4;
/** Timeouts are multiples of the targets of the row, but not below these minimums. */
const MIN_FIRST_TOKEN_TIMEOUT_MS = 3000;
const FIRST_TOKEN_TIMEOUT_FACTOR = 8;
const MIN_STALL_TIMEOUT_MS = 1500;
const STALL_TIMEOUT_FACTOR = 30;
const CACHE_MOVE_TIMEOUT_MS = 150;
const UNAVAILABLE_RETRY_MS = 500;

/** Returns the maximum times until the first token of an engine and between two tokens. */
export function streamTimeouts(row: ServiceRow): {
  firstTokenTimeoutMs: number;
  stallTimeoutMs: number;
} {
  const { firstTokenMs, betweenTokensMs } = row.targets;
  return {
    firstTokenTimeoutMs: Math.max(
      MIN_FIRST_TOKEN_TIMEOUT_MS,
      firstTokenMs * FIRST_TOKEN_TIMEOUT_FACTOR,
    ),
    stallTimeoutMs: Math.max(MIN_STALL_TIMEOUT_MS, betweenTokensMs * STALL_TIMEOUT_FACTOR),
  };
}

/** Execution of one request, with all its attempts. */
export class OnlineRun {
  private readonly context: OnlineContext;
  private readonly request: OnlineRequest;
  private readonly service: string;
  private readonly startedMs: number;
  private readonly prefixes: readonly string[];
  private readonly tokens: string[] = [];
  private readonly attempts: SendProgress[] = [];
  private readonly excluded = new Set<string>();
  private readonly tokenGaps: LatencyHistogram;
  private lastTokenMs = 0;

  constructor(context: OnlineContext, request: OnlineRequest) {
    this.context = context;
    this.request = request;
    this.service = rowKey(request.row.workspace, request.row.service);
    this.startedMs = context.nowMs();
    this.prefixes = prefixHashes(request.prompt);
    this.tokenGaps = context.latencies.histogram(this.service, 'online', 'betweenTokens');
  }

  /** Runs until the response is complete; throws an error that states whether the request ran. */
  async run(): Promise<OnlineAnswer> {
    for (;;) {
      const endpoint = this.chooseEndpoint();
      if (endpoint === undefined) throw this.noEndpointError();
      const outcome = await this.attempt(endpoint);
      if (outcome.kind === 'complete') {
        return this.complete(outcome, endpoint.announcement.endpointId);
      }
      this.recordFailure(endpoint, outcome);
      if (this.request.signal.aborted) throw this.disconnectError();
      if (!this.mayRetryAfter(outcome)) throw this.failureError(endpoint, outcome);
    }
  }

  private remainingMs(): number {
    return this.request.deadlineMs - (this.context.nowMs() - this.startedMs);
  }

  private chooseEndpoint(): KnownEndpoint | undefined {
    const { row, sessionId } = this.request;
    const query = { row, prefixes: this.prefixes, sessionId, excluded: this.excluded };
    return this.context.fleet.route(query, this.context.nowMs());
  }

  private async attempt(endpoint: KnownEndpoint): Promise<GenerateOutcome> {
    const { fleet, driver, onOnlineStart } = this.context;
    const { endpointId, url } = endpoint.announcement;
    const { request } = this;
    await this.moveSessionCache(endpoint);
    fleet.loads.recordChange(endpointId, 'online', 1);
    fleet.endpoints.sent(endpointId);
    onOnlineStart(endpointId);
    try {
      return await driver.generate({
        url,
        requestId: `${request.requestId}-${this.attempts.length}`,
        path: request.path,
        body: request.body,
        resumeTokens: [...this.tokens],
        connectionClass: 'online',
        signal: request.signal,
        deadlineMs: Math.max(1, this.remainingMs()),
        ...streamTimeouts(request.row),
        onToken: (text) => {
          this.onToken(text, endpointId);
        },
      });
    } finally {
      fleet.loads.recordChange(endpointId, 'online', -1);
    }
  }

  /** Moves the KV cache of a session whose last endpoint drains to the chosen endpoint. */
  private async moveSessionCache(endpoint: KnownEndpoint): Promise<void> {
    const { fleet, driver, nowMs } = this.context;
    const { sessionId, prompt } = this.request;
    if (sessionId === undefined || this.prefixes.length === 0) return;
    const lastId = fleet.sessionEndpoint(sessionId);
    if (lastId === undefined || lastId === endpoint.announcement.endpointId) return;
    const lastEndpoint = fleet.endpoints.get(lastId);
    const isLeaving = lastEndpoint?.announcement.leaving === true;
    const isLive =
      lastEndpoint !== undefined && fleet.endpoints.live(nowMs()).includes(lastEndpoint);
    if (!isLeaving || !isLive) return;
    const target = endpoint.announcement.url;
    await driver.moveCache(lastEndpoint.announcement.url, target, prompt, CACHE_MOVE_TIMEOUT_MS);
  }

  private onToken(text: string, endpointId: string): void {
    const nowMs = this.context.nowMs();
    if (this.tokens.length === 0) this.recordFirstToken(nowMs, endpointId);
    else this.recordNextToken(nowMs);
    this.lastTokenMs = nowMs;
    this.tokens.push(text);
    this.request.onToken(text);
  }

  private recordFirstToken(nowMs: number, endpointId: string): void {
    const { latencies, burn, fleet } = this.context;
    const { row } = this.request;
    const latencyMs = nowMs - this.startedMs;
    latencies.record(this.service, 'online', 'firstToken', latencyMs);
    burn.record(this.service, 'firstToken', latencyMs <= row.targets.firstTokenMs, nowMs);
    fleet.endpoints.succeeded(endpointId, latencyMs, nowMs);
    fleet.prefixes.record(endpointId, this.prefixes);
    const { sessionId } = this.request;
    if (sessionId !== undefined) fleet.recordSession(sessionId, endpointId);
    fleet.limitOf(endpointId, row).addSample(latencyMs, fleet.loads.online(endpointId, nowMs));
  }

  private recordNextToken(nowMs: number): void {
    const gapMs = nowMs - this.lastTokenMs;
    const isMet = gapMs <= this.request.row.targets.betweenTokensMs;
    this.tokenGaps.record(gapMs);
    this.context.burn.record(this.service, 'betweenTokens', isMet, nowMs);
  }

  private complete(
    outcome: GenerateOutcome & { kind: 'complete' },
    endpointId: string,
  ): OnlineAnswer {
    const { admission, latencies, logger, nowMs } = this.context;
    const usedTokens = outcome.usage?.total_tokens ?? this.tokens.length;
    admission.charge(this.service, usedTokens, this.tokens.length);
    const durationMs = nowMs() - this.startedMs;
    latencies.record(this.service, 'online', 'wholeAnswer', durationMs);
    logger.debug('request completed', {
      requestId: this.request.requestId,
      step: 'generate',
      peer: endpointId,
      service: this.service,
      durationMs,
      tokens: this.tokens.length,
      attempts: this.attempts.length + 1,
    });
    return { finishReason: outcome.finishReason, usage: outcome.usage, tokens: this.tokens };
  }

  private recordFailure(
    endpoint: KnownEndpoint,
    outcome: GenerateOutcome & { kind: 'failed' },
  ): void {
    const { fleet, logger, nowMs } = this.context;
    const { endpointId } = endpoint.announcement;
    this.attempts.push(outcome.progress);
    if (this.request.signal.aborted) {
      fleet.endpoints.inconclusive(endpointId);
      return;
    }
    this.excluded.add(endpointId);
    if (!outcome.permanent) fleet.endpoints.failed(endpointId, nowMs());
    logger.warn('request failed at endpoint', {
      requestId: this.request.requestId,
      step: 'generate',
      peer: endpointId,
      reason: outcome.message,
      tokens: this.tokens.length,
    });
  }

  private mayRetryAfter(outcome: GenerateOutcome & { kind: 'failed' }): boolean {
    if (outcome.permanent) return false;
    const isAllowed = mayRetry({
      progress: outcome.progress,
      idempotent: this.request.idempotent,
      attempts: this.attempts.length,
      maxAttempts: MAX_ATTEMPTS,
      leftMs: this.remainingMs(),
      hasAlternative: this.chooseEndpoint() !== undefined,
    });
    return isAllowed && this.context.admission.budgetOf(this.service).takeRetry();
  }

  private noEndpointError(): ShedlineError {
    return new ShedlineError({
      type: 'unavailable',
      message: `no endpoint of ${this.service} is available; retry later`,
      step: 'choose endpoint',
      peer: this.service,
      ran: ranAfterAttempts(this.attempts),
      retryAfterMs: UNAVAILABLE_RETRY_MS,
    });
  }

  private disconnectError(): ShedlineError {
    const message = 'the caller disconnected';
    const ran = ranAfterAttempts(this.attempts);
    return new ShedlineError({
      type: 'endpoint_failed',
      message,
      step: 'generate',
      peer: 'caller',
      ran,
    });
  }

  private failureError(
    endpoint: KnownEndpoint,
    outcome: GenerateOutcome & { kind: 'failed' },
  ): ShedlineError {
    const isPastDeadline = this.remainingMs() <= 0;
    const type = isPastDeadline
      ? 'deadline_exceeded'
      : outcome.permanent
        ? 'invalid_request'
        : 'endpoint_failed';
    const isNotExecuted = outcome.progress !== 'sent' && !outcome.permanent;
    return new ShedlineError({
      type: isNotExecuted && !isPastDeadline ? 'unavailable' : type,
      message: isPastDeadline ? 'the deadline of the request has passed' : outcome.message,
      step: 'generate',
      peer: endpoint.announcement.endpointId,
      ran: ranAfterAttempts(this.attempts),
      ...(isNotExecuted ? { retryAfterMs: UNAVAILABLE_RETRY_MS } : {}),
    });
  }
}
