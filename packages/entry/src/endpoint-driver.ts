/**
 * How an entry talks to endpoints. The one interface behind which the real engines' form will
 * stand; {@link OpenAiDriver} speaks to engines with an OpenAI-compatible interface.
 */
import { createParser } from 'eventsource-parser';
import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import { connectorWithin } from '@shedline/http-connector';
import type { SendProgress } from '@shedline/admission';
import { provesNotSent } from '@shedline/errors';
import { REQUEST_ID_HEADER } from '@shedline/types';
import { AnswerCheck } from './answer-check.js';
import type { Usage } from './answer-check.js';

/** Class of connections; batch never holds up online work on a shared one. */
export type Lane = 'online' | 'batch';

/** A request for a generated answer. */
export interface GenerateOptions {
  readonly url: string;
  readonly requestId: string;
  readonly path: '/v1/chat/completions' | '/v1/completions';
  readonly body: Readonly<Record<string, unknown>>;
  /** Tokens of an interrupted answer to go on from. */
  readonly resumeTokens: readonly string[];
  readonly lane: Lane;
  /** Aborted when the caller goes away or the work has to yield. */
  readonly signal: AbortSignal;
  /** Time left for the whole answer. */
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
      /** The same request can never succeed. */
      readonly permanent: boolean;
      /** The connection broke: the endpoint may be gone. */
      readonly lost: boolean;
      readonly status: number;
      readonly message: string;
    };

/** A call of a plain service. */
export interface CallOptions {
  readonly url: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly lane: Lane;
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

/** Talks to endpoints. */
export interface EndpointDriver {
  generate(options: GenerateOptions): Promise<GenerateOutcome>;
  call(options: CallOptions): Promise<CallOutcome>;
  /** Moves the KV cache of a prompt; false where that did not work out in time. */
  moveCache(fromUrl: string, toUrl: string, prompt: string, timeoutMs: number): Promise<boolean>;
  close(): Promise<void>;
}

const CONNECT_TIMEOUT_MS = 500;
const ABORT_REASON = new Error('the request was ended by this entry');
/** Answers by which an endpoint says that it did not run the request. */
const REFUSED_STATUSES = new Set([429, 503]);
const HOP_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length']);

/** {@link EndpointDriver} for OpenAI-compatible engines and plain HTTP services. */
export class OpenAiDriver implements EndpointDriver {
  private readonly agents: Readonly<Record<Lane, Agent>>;

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
    const watch = new StallWatch(options);
    let response: Dispatcher.ResponseData;
    try {
      response = await this.post(options, watch.signal);
    } catch (error) {
      watch.end();
      return failedSend(error, watch.stalled);
    }
    if (response.statusCode !== 200) {
      const failure = await failedStatus(response);
      watch.end();
      return failure;
    }
    if (response.headers[REQUEST_ID_HEADER] !== options.requestId) {
      watch.abort();
      response.body.on('error', () => undefined);
      return failed('sent', 'the engine sent the answer to another request');
    }
    return readStream(response, options, watch);
  }

  async call(options: CallOptions): Promise<CallOutcome> {
    try {
      const response = await request(options.url + options.path, {
        dispatcher: this.agents[options.lane],
        method: options.method,
        headers: options.headers,
        body: options.body.length === 0 ? null : options.body,
        signal: options.signal,
      });
      const body = Buffer.from(await response.body.arrayBuffer());
      return {
        kind: 'answered',
        status: response.statusCode,
        headers: plainHeaders(response),
        body,
      };
    } catch (error) {
      const { progress, message } = failedSend(error, false);
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
      const imported = await request(`${toUrl}/kv/import`, { ...common, body: cache });
      await imported.body.text();
      return exported.statusCode === 200 && imported.statusCode === 200;
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
      dispatcher: this.agents[options.lane],
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

/** Ends a request whose engine has fallen silent, whose time is up, or whose caller has gone. */
class StallWatch {
  stalled = false;
  private readonly controller = new AbortController();
  private readonly options: GenerateOptions;
  private readonly deadlineTimer: NodeJS.Timeout;
  private silenceTimer: NodeJS.Timeout;
  private streaming = false;

  constructor(options: GenerateOptions) {
    this.options = options;
    options.signal.addEventListener('abort', this.abortQuietly, { once: true });
    if (options.signal.aborted) this.abortQuietly();
    this.deadlineTimer = setTimeout(this.abortQuietly, options.deadlineMs);
    this.silenceTimer = setTimeout(this.stall, options.firstTokenTimeoutMs);
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Notes that a token came. */
  alive(): void {
    if (this.streaming) {
      this.silenceTimer.refresh();
      return;
    }
    this.streaming = true;
    clearTimeout(this.silenceTimer);
    this.silenceTimer = setTimeout(this.stall, this.options.stallTimeoutMs);
  }

  abort(): void {
    this.end();
    this.abortQuietly();
  }

  end(): void {
    clearTimeout(this.silenceTimer);
    clearTimeout(this.deadlineTimer);
    this.options.signal.removeEventListener('abort', this.abortQuietly);
  }

  /** A ready-made reason spares the making of one with a stack. */
  private readonly abortQuietly = (): void => {
    this.controller.abort(ABORT_REASON);
  };

  private readonly stall = (): void => {
    this.stalled = true;
    this.abortQuietly();
  };
}

function readStream(
  response: Dispatcher.ResponseData,
  options: GenerateOptions,
  watch: StallWatch,
): Promise<GenerateOutcome> {
  return new Promise((resolve) => {
    const check = new AnswerCheck(options.requestId);
    let wrong: string | undefined;
    const parser = createParser({
      onEvent: ({ data }) => {
        if (wrong !== undefined) return;
        const event = check.take(data);
        watch.alive();
        if (event.kind === 'token') options.onToken(event.text);
        if (event.kind === 'wrong') wrong = event.reason;
      },
    });
    const decoder = new TextDecoder();
    const finish = (brokenBy: string | undefined): void => {
      watch.end();
      resolve(streamOutcome(check, wrong, brokenBy, watch.stalled));
    };
    response.body.on('data', (bytes: Buffer) => {
      parser.feed(decoder.decode(bytes, { stream: true }));
      if (wrong === undefined) return;
      finish(undefined);
      watch.abort();
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
  check: AnswerCheck,
  wrong: string | undefined,
  brokenBy: string | undefined,
  stalled: boolean,
): GenerateOutcome {
  if (wrong !== undefined) return failed('sent', wrong);
  if (check.isWhole) {
    return { kind: 'complete', finishReason: check.finishReason, usage: check.usage };
  }
  if (stalled) return failed('sent', 'the engine fell silent');
  const message = brokenBy ?? 'the answer broke off before its end';
  return { ...failed('sent', message), lost: true };
}

function failed(progress: SendProgress, message: string): GenerateOutcome & { kind: 'failed' } {
  return { kind: 'failed', progress, permanent: false, lost: false, status: 0, message };
}

function failedSend(error: unknown, stalled: boolean): GenerateOutcome & { kind: 'failed' } {
  const message = error instanceof Error ? error.message : String(error);
  if (stalled) return failed('sent', 'the engine fell silent');
  const progress = provesNotSent(error) ? 'notSent' : 'sent';
  return { ...failed(progress, message), lost: progress === 'sent' };
}

async function failedStatus(
  response: Dispatcher.ResponseData,
): Promise<GenerateOutcome & { kind: 'failed' }> {
  const status = response.statusCode;
  const text = await response.body.text().catch(() => '');
  const message = messageOf(text) ?? `the engine answered ${status}`;
  if (REFUSED_STATUSES.has(status)) return { ...failed('refused', message), status };
  const permanent = status >= 400 && status < 500;
  return { ...failed(permanent ? 'refused' : 'sent', message), permanent, status };
}

function messageOf(text: string): string | undefined {
  try {
    const body = JSON.parse(text) as { error?: { message?: string } };
    return body.error?.message;
  } catch {
    return undefined;
  }
}

function plainHeaders(response: Dispatcher.ResponseData): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(response.headers)) {
    if (value === undefined || HOP_HEADERS.has(name)) continue;
    headers[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return headers;
}
