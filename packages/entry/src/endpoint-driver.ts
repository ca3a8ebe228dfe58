/**
 * Sends requests to endpoints. {@link EndpointDriver} is the interface that every kind of engine
 * implements; {@link OpenAiDriver} implements it for engines with an OpenAI-compatible interface.
 */
import { createParser } from 'eventsource-parser';
import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import { connectorWithin, hasVerifiableEnd } from '@shedline/http-connector';
import type { SendProgress } from '@shedline/admission';
import { provesNotSent } from '@shedline/errors';
import { REQUEST_ID_HEADER } from '@shedline/types';
import { StreamValidator } from './stream-validator.js';
import type { Usage } from './stream-validator.js';

/** Class of connections; separate ones keep batch requests from delaying online requests. */
export type ConnectionClass = 'online' | 'batch';

/** Options of {@link EndpointDriver.generate}. */
export interface GenerateOptions {
  readonly url: string;
  readonly requestId: string;
  readonly path: '/v1/chat/completions' | '/v1/completions';
  readonly body: Readonly<Record<string, unknown>>;
  /** Tokens of an interrupted response, after which generation resumes. */
  readonly resumeTokens: readonly string[];
  readonly connectionClass: ConnectionClass;
  /** Aborted when the caller disconnects or the work has to yield. */
  readonly signal: AbortSignal;
  /** Time left for the whole response. */
  readonly deadlineMs: number;
  readonly firstTokenTimeoutMs: number;
  readonly stallTimeoutMs: number;
  readonly onToken: (text: string) => void;
}

/** How a generation ended. */
export type GenerateOutcome =
  | { readonly kind: 'complete'; readonly finishReason: string; readonly usage: Usage | undefined }
  | {
      readonly kind: 'failed';
      readonly progress: SendProgress;
      /** Whether the same request can never succeed. */
      readonly permanent: boolean;
      /** Whether the connection broke, so that the endpoint may have stopped. */
      readonly lost: boolean;
      readonly status: number;
      readonly message: string;
    };

/** Options of {@link EndpointDriver.call}. */
export interface CallOptions {
  readonly url: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly connectionClass: ConnectionClass;
  readonly signal: AbortSignal;
}

/** How a call ended. */
export type CallOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: Readonly<Record<string, string>>;
      readonly body: Buffer;
    }
  | { readonly kind: 'failed'; readonly progress: SendProgress; readonly message: string };

/** Sends requests to endpoints. */
export interface EndpointDriver {
  generate(options: GenerateOptions): Promise<GenerateOutcome>;
  call(options: CallOptions): Promise<CallOutcome>;
  /** Moves the KV cache of a prompt; returns false if that failed or timed out. */
  moveCache(fromUrl: string, toUrl: string, prompt: string, timeoutMs: number): Promise<boolean>;
  close(): Promise<void>;
}

const CONNECT_TIMEOUT_MS = 500;
const ABORT_REASON = new Error('the request was ended by this entry');
const UNVERIFIABLE_END_MESSAGE =
  'the service responded with neither a length nor chunks, so that its response may be ' +
  'truncated; it has to send Content-Length or Transfer-Encoding: chunked';
/** Response statuses by which an endpoint reports that it did not execute the request. */
const REFUSED_STATUSES = new Set([429, 503]);
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
]);

/** {@link EndpointDriver} for OpenAI-compatible engines and plain HTTP services. */
export class OpenAiDriver implements EndpointDriver {
  private readonly agents: Readonly<Record<ConnectionClass, Agent>>;

  constructor() {
    const options = {
      connect: connectorWithin(CONNECT_TIMEOUT_MS),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: 30_000,
      pipelining: 1,
    };
    this.agents = { online: new Agent(options), batch: new Agent(options) };
  }

  async generate(options: GenerateOptions): Promise<GenerateOutcome> {
    const watchdog = new RequestWatchdog(options);
    let response: Dispatcher.ResponseData;
    try {
      response = await this.post(options, watchdog.signal);
    } catch (error) {
      watchdog.end();
      return sendFailure(error, watchdog.hasStalled);
    }
    if (response.statusCode !== 200) {
      const failure = await statusFailure(response);
      watchdog.end();
      return failure;
    }
    if (response.headers[REQUEST_ID_HEADER] !== options.requestId) {
      watchdog.abort();
      response.body.on('error', () => undefined);
      return failureOf('sent', 'the engine sent the answer to another request');
    }
    return readStream(response, options, watchdog);
  }

  /**
   * Forwards a call. A response that ends with its connection fails it: the connections of a service
   * that ends are closed in order, and no format marks the end of the body.
   */
  async call(options: CallOptions): Promise<CallOutcome> {
    try {
      const response = await request(options.url + options.path, {
        dispatcher: this.agents[options.connectionClass],
        method: options.method,
        headers: options.headers,
        body: options.body.length === 0 ? null : options.body,
        signal: options.signal,
      });
      const body = Buffer.from(await response.body.arrayBuffer());
      if (!hasVerifiableEnd({ method: options.method, ...response })) {
        return { kind: 'failed', progress: 'sent', message: UNVERIFIABLE_END_MESSAGE };
      }
      return {
        kind: 'answered',
        status: response.statusCode,
        headers: forwardedHeaders(response),
        body,
      };
    } catch (error) {
      const { progress, message } = sendFailure(error, false);
      return { kind: 'failed', progress, message };
    }
  }

  async moveCache(
    fromUrl: string,
    toUrl: string,
    prompt: string,
    timeoutMs: number,
  ): Promise<boolean> {
    const signal = AbortSignal.timeout(timeoutMs);
    const headers = { 'content-type': 'application/json' };
    const common = { method: 'POST', headers, signal, dispatcher: this.agents.online } as const;
    try {
      const exported = await request(`${fromUrl}/kv/export`, {
        ...common,
        body: JSON.stringify({ prompt }),
      });
      const cache = await exported.body.text();
      const isWhole = hasVerifiableEnd({ ...common, ...exported });
      if (exported.statusCode !== 200 || !isWhole) return false;
      const imported = await request(`${toUrl}/kv/import`, { ...common, body: cache });
      await imported.body.text();
      return imported.statusCode === 200;
    } catch {
      return false;
    }
  }

  async close(): Promise<void> {
    await Promise.all([this.agents.online.destroy(), this.agents.batch.destroy()]);
  }

  private post(options: GenerateOptions, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
    const resume = options.resumeTokens.length > 0 ? { resume_tokens: options.resumeTokens } : {};
    return request(options.url + options.path, {
      dispatcher: this.agents[options.connectionClass],
      method: 'POST',
      headers: { 'content-type': 'application/json', [REQUEST_ID_HEADER]: options.requestId },
      body: JSON.stringify({
        ...options.body,
        ...resume,
        stream: true,
        stream_options: { include_usage: true },
      }),
      signal,
    });
  }
}

/** Aborts a request if its engine stalls, its deadline passes or its caller disconnects. */
class RequestWatchdog {
  hasStalled = false;
  private readonly controller = new AbortController();
  private readonly options: GenerateOptions;
  private readonly deadlineTimer: NodeJS.Timeout;
  private stallTimer: NodeJS.Timeout;
  private isStreaming = false;

  constructor(options: GenerateOptions) {
    this.options = options;
    options.signal.addEventListener('abort', this.abortRequest, { once: true });
    if (options.signal.aborted) this.abortRequest();
    this.deadlineTimer = setTimeout(this.abortRequest, options.deadlineMs);
    this.stallTimer = setTimeout(this.onStall, options.firstTokenTimeoutMs);
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Restarts the stall timer; called for every event of the stream. */
  eventReceived(): void {
    if (this.isStreaming) {
      this.stallTimer.refresh();
      return;
    }
    this.isStreaming = true;
    clearTimeout(this.stallTimer);
    this.stallTimer = setTimeout(this.onStall, this.options.stallTimeoutMs);
  }

  abort(): void {
    this.end();
    this.abortRequest();
  }

  end(): void {
    clearTimeout(this.stallTimer);
    clearTimeout(this.deadlineTimer);
    this.options.signal.removeEventListener('abort', this.abortRequest);
  }

  /** Uses a shared reason, which avoids creating an error with a stack trace. */
  private readonly abortRequest = (): void => {
    this.controller.abort(ABORT_REASON);
  };

  private readonly onStall = (): void => {
    this.hasStalled = true;
    this.abortRequest();
  };
}

function readStream(
  response: Dispatcher.ResponseData,
  options: GenerateOptions,
  watchdog: RequestWatchdog,
): Promise<GenerateOutcome> {
  return new Promise((resolve) => {
    const validator = new StreamValidator(options.requestId);
    let invalidReason: string | undefined;
    const parser = createParser({
      onEvent: ({ data }) => {
        if (invalidReason !== undefined) return;
        const event = validator.accept(data);
        watchdog.eventReceived();
        if (event.kind === 'token') options.onToken(event.text);
        if (event.kind === 'invalid') invalidReason = event.reason;
      },
    });
    const decoder = new TextDecoder();
    const finish = (connectionError: string | undefined): void => {
      watchdog.end();
      resolve(streamOutcome(validator, invalidReason, connectionError, watchdog.hasStalled));
    };
    response.body.on('data', (bytes: Buffer) => {
      parser.feed(decoder.decode(bytes, { stream: true }));
      if (invalidReason === undefined) return;
      finish(undefined);
      watchdog.abort();
    });
    response.body.on('end', () => {
      finish(undefined);
    });
    response.body.on('error', (error) => {
      finish(error.message);
    });
  });
}

function streamOutcome(
  validator: StreamValidator,
  invalidReason: string | undefined,
  connectionError: string | undefined,
  hasStalled: boolean,
): GenerateOutcome {
  if (invalidReason !== undefined) return failureOf('sent', invalidReason);
  if (validator.isComplete) {
    return { kind: 'complete', finishReason: validator.finishReason, usage: validator.usage };
  }
  if (hasStalled) return failureOf('sent', 'the engine fell silent');
  const message = connectionError ?? 'the answer broke off before its end';
  return { ...failureOf('sent', message), lost: true };
}

function failureOf(progress: SendProgress, message: string): GenerateOutcome & { kind: 'failed' } {
  return { kind: 'failed', progress, permanent: false, lost: false, status: 0, message };
}

function sendFailure(error: unknown, hasStalled: boolean): GenerateOutcome & { kind: 'failed' } {
  const message = error instanceof Error ? error.message : String(error);
  if (hasStalled) return failureOf('sent', 'the engine fell silent');
  const progress = provesNotSent(error) ? 'notSent' : 'sent';
  return { ...failureOf(progress, message), lost: progress === 'sent' };
}

async function statusFailure(
  response: Dispatcher.ResponseData,
): Promise<GenerateOutcome & { kind: 'failed' }> {
  const status = response.statusCode;
  const text = await response.body.text().catch(() => '');
  const message = errorMessageOf(text) ?? `the engine answered ${status}`;
  if (REFUSED_STATUSES.has(status)) return { ...failureOf('refused', message), status };
  const permanent = status >= 400 && status < 500;
  return { ...failureOf(permanent ? 'refused' : 'sent', message), permanent, status };
}

function errorMessageOf(text: string): string | undefined {
  try {
    const body = JSON.parse(text) as { error?: { message?: string } };
    return body.error?.message;
  } catch {
    return undefined;
  }
}

function forwardedHeaders(response: Dispatcher.ResponseData): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(response.headers)) {
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) continue;
    headers[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return headers;
}
