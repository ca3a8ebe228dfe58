/**
 * Runs one online generation: chooses endpoints, repeats what may be repeated, and resumes an
 * interrupted answer elsewhere from the tokens already sent.
 */
import { mayRetry, ranAfter } from '@shedline/admission';
import type { SendProgress } from '@shedline/admission';
import { ShedlineError } from '@shedline/errors';
import type { Logger } from '@shedline/logger';
import type { BurnRecorder, LatencyHistogram, LatencyRecorder } from '@shedline/metrics';
import { prefixHashes, rowKey } from '@shedline/types';
import type { ServiceRow } from '@shedline/types';
import type { KnownEndpoint } from '@shedline/directory';
import type { AdmissionController } from './admission-controller.js';
import type { Usage } from './answer-check.js';
import type { EndpointDriver, GenerateOutcome } from './endpoint-driver.js';
import type { FleetView } from './fleet-view.js';
import type { TableReader } from './table-reader.js';

/** What runs need of their entry. */
export interface OnlineContext {
  readonly fleet: FleetView;
  readonly reader: TableReader;
  readonly admission: AdmissionController;
  readonly driver: EndpointDriver;
  readonly logger: Logger;
  readonly latencies: LatencyRecorder;
  readonly burn: BurnRecorder;
  readonly nowMs: () => number;
  /** Told when online work begins at an endpoint, so that batch work there can yield. */
  readonly onlineStarted: (endpointId: string) => void;
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
  /** Aborted when the caller goes away. */
  readonly signal: AbortSignal;
  readonly onToken: (text: string) => void;
}

/** A whole answer. */
export interface OnlineAnswer {
  readonly finishReason: string;
  readonly usage: Usage | undefined;
  readonly tokens: readonly string[];
}

const MAX_ATTEMPTS = 4;
const MIN_FIRST_TOKEN_TIMEOUT_MS = 3000;
const FIRST_TOKEN_TIMEOUT_FACTOR = 8;
const MIN_STALL_TIMEOUT_MS = 1500;
const STALL_TIMEOUT_FACTOR = 30;
const CACHE_MOVE_TIMEOUT_MS = 150;
const UNAVAILABLE_RETRY_MS = 500;

/** Longest silence of an engine before its first token and between two. */
export function silenceBounds(row: ServiceRow): {
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

/** One run of one request. */
export class OnlineRun {
  private readonly context: OnlineContext;
  private readonly request: OnlineRequest;
  private readonly service: string;
  private readonly startedMs: number;
  private readonly prefixes: readonly string[];
  private readonly tokens: string[] = [];
  private readonly sends: SendProgress[] = [];
  private readonly excluded = new Set<string>();
  private readonly gaps: LatencyHistogram;
  private lastTokenMs = 0;

  constructor(context: OnlineContext, request: OnlineRequest) {
    this.context = context;
    this.request = request;
    this.service = rowKey(request.row.workspace, request.row.service);
    this.startedMs = context.nowMs();
    this.prefixes = prefixHashes(request.prompt);
    this.gaps = context.latencies.histogram(this.service, 'online', 'betweenTokens');
  }

  /** Runs to the end; throws an error that truly says whether anything ran. */
  async run(): Promise<OnlineAnswer> {
    for (;;) {
      const endpoint = this.chooseEndpoint();
      if (endpoint === undefined) throw this.noEndpoint();
      const outcome = await this.sendTo(endpoint);
      if (outcome.kind === 'complete') {
        return this.complete(outcome, endpoint.announcement.endpointId);
      }
      this.noteFailure(endpoint, outcome);
      if (this.request.signal.aborted) throw this.givenUp();
      if (!this.mayGoOn(outcome)) throw this.failure(endpoint, outcome);
    }
  }

  private leftMs(): number {
    return this.request.deadlineMs - (this.context.nowMs() - this.startedMs);
  }

  private chooseEndpoint(): KnownEndpoint | undefined {
    const { row, sessionId } = this.request;
    const query = { row, prefixes: this.prefixes, sessionId, excluded: this.excluded };
    return this.context.fleet.route(query, this.context.nowMs());
  }

  private async sendTo(endpoint: KnownEndpoint): Promise<GenerateOutcome> {
    const { fleet, driver, onlineStarted } = this.context;
    const { endpointId, url } = endpoint.announcement;
    const { request } = this;
    await this.bringCache(endpoint);
    fleet.loads.change(endpointId, 'online', 1);
    fleet.endpoints.sent(endpointId);
    onlineStarted(endpointId);
    try {
      return await driver.generate({
        url,
        requestId: `${request.requestId}-${this.sends.length}`,
        path: request.path,
        body: request.body,
        resumeTokens: [...this.tokens],
        lane: 'online',
        signal: request.signal,
        deadlineMs: Math.max(1, this.leftMs()),
        ...silenceBounds(request.row),
        onToken: (text) => {
          this.onToken(text, endpointId);
        },
      });
    } finally {
      fleet.loads.change(endpointId, 'online', -1);
    }
  }

  /** A session whose endpoint leaves takes its cache along. */
  private async bringCache(endpoint: KnownEndpoint): Promise<void> {
    const { fleet, driver, nowMs } = this.context;
    const { sessionId, prompt } = this.request;
    if (sessionId === undefined || this.prefixes.length === 0) return;
    const lastId = fleet.sessionEndpoint(sessionId);
    if (lastId === undefined || lastId === endpoint.announcement.endpointId) return;
    const last = fleet.endpoints.get(lastId);
    const isLeaving = last?.announcement.leaving === true;
    const isUp = last !== undefined && fleet.endpoints.live(nowMs()).includes(last);
    if (!isLeaving || !isUp) return;
    const target = endpoint.announcement.url;
    await driver.moveCache(last.announcement.url, target, prompt, CACHE_MOVE_TIMEOUT_MS);
  }

  private onToken(text: string, endpointId: string): void {
    const nowMs = this.context.nowMs();
    if (this.tokens.length === 0) this.noteFirstToken(nowMs, endpointId);
    else this.noteNextToken(nowMs);
    this.lastTokenMs = nowMs;
    this.tokens.push(text);
    this.request.onToken(text);
  }

  private noteFirstToken(nowMs: number, endpointId: string): void {
    const { latencies, burn, fleet } = this.context;
    const { row } = this.request;
    const latencyMs = nowMs - this.startedMs;
    latencies.record(this.service, 'online', 'firstToken', latencyMs);
    burn.record(this.service, 'firstToken', latencyMs <= row.targets.firstTokenMs, nowMs);
    fleet.endpoints.succeeded(endpointId, latencyMs, nowMs);
    fleet.prefixes.note(endpointId, this.prefixes);
    const { sessionId } = this.request;
    if (sessionId !== undefined) fleet.noteSession(sessionId, endpointId);
    fleet.limitOf(endpointId, row).sample(latencyMs, fleet.loads.online(endpointId, nowMs));
  }

  private noteNextToken(nowMs: number): void {
    const gapMs = nowMs - this.lastTokenMs;
    const met = gapMs <= this.request.row.targets.betweenTokensMs;
    this.gaps.record(gapMs);
    this.context.burn.record(this.service, 'betweenTokens', met, nowMs);
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
      attempts: this.sends.length + 1,
    });
    return { finishReason: outcome.finishReason, usage: outcome.usage, tokens: this.tokens };
  }

  private noteFailure(
    endpoint: KnownEndpoint,
    outcome: GenerateOutcome & { kind: 'failed' },
  ): void {
    const { fleet, logger, nowMs } = this.context;
    const { endpointId } = endpoint.announcement;
    this.sends.push(outcome.progress);
    if (this.request.signal.aborted) {
      fleet.endpoints.inconclusive(endpointId);
      return;
    }
    this.excluded.add(endpointId);
    if (!outcome.permanent) fleet.endpoints.failed(endpointId, nowMs());
    logger.warn('endpoint failed a request', {
      requestId: this.request.requestId,
      step: 'generate',
      peer: endpointId,
      reason: outcome.message,
      tokens: this.tokens.length,
    });
  }

  private mayGoOn(outcome: GenerateOutcome & { kind: 'failed' }): boolean {
    if (outcome.permanent) return false;
    const allowed = mayRetry({
      progress: outcome.progress,
      idempotent: this.request.idempotent,
      attempts: this.sends.length,
      maxAttempts: MAX_ATTEMPTS,
      leftMs: this.leftMs(),
      hasAlternative: this.chooseEndpoint() !== undefined,
    });
    return allowed && this.context.admission.budgetOf(this.service).takeRetry();
  }

  private noEndpoint(): ShedlineError {
    return new ShedlineError({
      type: 'unavailable',
      message: `no endpoint of ${this.service} is up; come back later`,
      step: 'choose endpoint',
      peer: this.service,
      ran: ranAfter(this.sends),
      retryAfterMs: UNAVAILABLE_RETRY_MS,
    });
  }

  private givenUp(): ShedlineError {
    const message = 'the caller went away';
    const ran = ranAfter(this.sends);
    return new ShedlineError({
      type: 'endpoint_failed',
      message,
      step: 'generate',
      peer: 'caller',
      ran,
    });
  }

  private failure(
    endpoint: KnownEndpoint,
    outcome: GenerateOutcome & { kind: 'failed' },
  ): ShedlineError {
    const late = this.leftMs() <= 0;
    const type = late
      ? 'deadline_exceeded'
      : outcome.permanent
        ? 'invalid_request'
        : 'endpoint_failed';
    const refused = outcome.progress !== 'sent' && !outcome.permanent;
    return new ShedlineError({
      type: refused && !late ? 'unavailable' : type,
      message: late ? 'the deadline of the request has passed' : outcome.message,
      step: 'generate',
      peer: endpoint.announcement.endpointId,
      ran: ranAfter(this.sends),
      ...(refused ? { retryAfterMs: UNAVAILABLE_RETRY_MS } : {}),
    });
  }
}
