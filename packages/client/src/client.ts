/**
 * The caller library: finds an entry, moves to another when one is lost, repeats only what is
 * safe, and gives whole answers or says honestly what it knows.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { createParser } from 'eventsource-parser';
import { Agent } from 'undici';
import type { Dispatcher } from 'undici';
import { ShedlineError, errorFromBody, toShedlineError } from '@shedline/errors';
import type { ErrorBody } from '@shedline/errors';
import { DEADLINE_HEADER, SESSION_HEADER } from '@shedline/types';
import type { JobView } from '@shedline/types';
import { EntryAddresses } from './entry-addresses.js';
import { exchange } from './http-exchange.js';
import type { Exchange } from './http-exchange.js';

const CONNECT_TIMEOUT_MS = 500;
const MAX_TRIES = 5;
const MAX_PAUSE_MS = 2000;
const DEFAULT_PAUSE_MS = 100;
const DEFAULT_DEADLINE_MS = 60_000;

/** Options of {@link ShedlineClient}. */
export interface ShedlineClientOptions {
  /** Addresses of some entries. */
  readonly urls: readonly string[];
  readonly token: string;
  /** Availability zone of the caller. */
  readonly availabilityZone?: string;
}

/** A call of the interface. */
export interface CallOptions {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  /** Whether the call may go out again when it is not known whether it ran. */
  readonly repeatable: boolean;
  readonly deadlineMs?: number;
  readonly signal?: AbortSignal;
}

/** A streamed answer in full. */
export interface ChatAnswer {
  readonly text: string;
  readonly finishReason: string;
}

/** Options of {@link ShedlineClient.chat}. */
export interface ChatOptions {
  readonly service: string;
  readonly messages: readonly { readonly role: string; readonly content: string }[];
  readonly maxTokens?: number;
  readonly session?: string;
  /** Whether the request may be repeated when an entry is lost in the middle of the answer. */
  readonly idempotent?: boolean;
  readonly deadlineMs?: number;
  readonly signal?: AbortSignal;
  /** Told of each piece of the answer once. */
  readonly onText?: (text: string) => void;
}

/** One item of a job. */
export interface JobItem {
  readonly customId: string;
  readonly body: Readonly<Record<string, unknown>>;
}

interface StreamState {
  received: string;
  repeated: string;
  finishReason: string;
  done: boolean;
  error: ShedlineError | undefined;
}

/** Calls shedline. */
export class ShedlineClient {
  private readonly options: ShedlineClientOptions;
  private readonly addresses: EntryAddresses;
  private readonly agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  constructor(options: ShedlineClientOptions) {
    this.options = options;
    this.addresses = new EntryAddresses({ seeds: options.urls });
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.agent.close();
  }

  /** Calls the interface and reads a JSON answer. */
  async json(options: CallOptions): Promise<unknown> {
    const text = await this.text(options);
    return text === '' ? undefined : JSON.parse(text);
  }

  /** Calls the interface and reads the answer as text. */
  text(options: CallOptions): Promise<string> {
    return this.withRetries(options, async (url) => {
      const answer = await this.send(url, options);
      return answer.body.text();
    });
  }

  /** Opens a session; any entry honours the token. */
  async openSession(service: string): Promise<string> {
    const call = {
      method: 'POST',
      path: '/v1/sessions',
      body: { service },
      repeatable: true,
    } as const;
    return ((await this.json(call)) as { session: string }).session;
  }

  /** Asks a question; the answer is whole, or an error says what is known. */
  async chat(options: ChatOptions): Promise<ChatAnswer> {
    const state: StreamState = {
      received: '',
      repeated: '',
      finishReason: '',
      done: false,
      error: undefined,
    };
    const call: CallOptions = {
      method: 'POST',
      path: '/v1/chat/completions',
      headers: options.session === undefined ? {} : { [SESSION_HEADER]: options.session },
      body: {
        model: options.service,
        messages: options.messages,
        stream: true,
        ...(options.maxTokens === undefined ? {} : { max_tokens: options.maxTokens }),
      },
      repeatable: options.idempotent ?? true,
      ...(options.deadlineMs === undefined ? {} : { deadlineMs: options.deadlineMs }),
      ...(options.signal === undefined ? {} : { signal: options.signal }),
    };
    await this.withRetries(call, (url) => this.streamOnce(url, call, state, options.onText));
    return { text: state.received, finishReason: state.finishReason };
  }

  /** Submits a whole job: creates it, sends its items and seals it. Safe to repeat. */
  async submitJob(options: {
    readonly service: string;
    readonly jobKey: string;
    readonly dueAtMs: number;
    readonly items: readonly JobItem[];
    readonly idempotent?: boolean;
    readonly chunkItems?: number;
    readonly onSent?: (items: number) => void;
  }): Promise<JobView> {
    const { service, jobKey, dueAtMs, idempotent, items } = options;
    const create = {
      service,
      jobKey,
      dueAtMs,
      ...(idempotent === undefined ? {} : { idempotent }),
    };
    const job = await this.jobCall('POST', '/v1/jobs', create);
    const chunkItems = options.chunkItems ?? 1000;
    for (let from = 0; from < items.length; from += chunkItems) {
      const chunk = items.slice(from, from + chunkItems);
      const body = chunk.map((item) => JSON.stringify(item)).join('\n');
      await this.jobCall('PUT', `/v1/jobs/${job.jobId}/items?from=${from}`, body);
      options.onSent?.(from + chunk.length);
    }
    return this.jobCall('POST', `/v1/jobs/${job.jobId}/seal`, { itemCount: items.length });
  }

  /** A job as it stands. */
  job(jobId: string): Promise<JobView> {
    return this.jobCall('GET', `/v1/jobs/${jobId}`);
  }

  /** Stops a job. */
  cancelJob(jobId: string): Promise<JobView> {
    return this.jobCall('POST', `/v1/jobs/${jobId}/cancel`);
  }

  /** Ended items as NDJSON from an index on. */
  results(jobId: string, fromIndex = 0): Promise<string> {
    return this.text({
      method: 'GET',
      path: `/v1/jobs/${jobId}/results?from=${fromIndex}`,
      repeatable: true,
    });
  }

  /** Every call on a job carries an identity of its own, so that all of them are repeatable. */
  private async jobCall(
    method: Dispatcher.HttpMethod,
    path: string,
    body?: unknown,
  ): Promise<JobView> {
    const call = { method, path, repeatable: true, ...(body === undefined ? {} : { body }) };
    return (await this.json(call)) as JobView;
  }

  private send(url: string, options: CallOptions): Promise<Exchange> {
    const { body } = options;
    const isText = typeof body === 'string';
    return exchange({
      url,
      method: options.method,
      path: options.path,
      token: this.options.token,
      dispatcher: this.agent,
      headers: {
        ...options.headers,
        ...(options.deadlineMs === undefined
          ? {}
          : { [DEADLINE_HEADER]: String(options.deadlineMs) }),
        ...(body === undefined
          ? {}
          : { 'content-type': isText ? 'application/x-ndjson' : 'application/json' }),
      },
      ...(body === undefined ? {} : { body: isText ? body : JSON.stringify(body) }),
      ...(options.signal === undefined ? {} : { signal: options.signal }),
    });
  }

  private async withRetries<T>(
    options: CallOptions,
    attempt: (url: string) => Promise<T>,
  ): Promise<T> {
    const startedMs = performance.now();
    const deadlineMs = options.deadlineMs ?? DEFAULT_DEADLINE_MS;
    let ran: ShedlineError['ran'] = 'no';
    for (let tries = 1; ; tries += 1) {
      const url = await this.chooseUrl(tries);
      try {
        return await attempt(url);
      } catch (thrown) {
        const error = toShedlineError(thrown, { step: options.path, peer: url, ran: 'unknown' });
        if (error.ran !== 'no') ran = error.ran;
        const nowMs = performance.now();
        if (isLost(error)) this.addresses.failed(url, nowMs);
        const pauseMs = Math.min(MAX_PAUSE_MS, error.retryAfterMs ?? DEFAULT_PAUSE_MS);
        const inTime = nowMs - startedMs + pauseMs < deadlineMs;
        const aborted = options.signal?.aborted === true;
        if (aborted || tries >= MAX_TRIES || !inTime || !isRepeatable(error, options.repeatable)) {
          throw ran === error.ran ? error : new ShedlineError({ ...error.toBody(), ran });
        }
        await pause(isLost(error) ? 0 : pauseMs);
      }
    }
  }

  private async chooseUrl(tries: number): Promise<string> {
    if (this.addresses.isStale(performance.now())) await this.askAddresses();
    const order = this.addresses.inOrder(performance.now());
    // A refusal does not make an address bad, but the next try goes elsewhere all the same.
    return order[(tries - 1) % order.length] ?? '';
  }

  private async askAddresses(): Promise<void> {
    const zone = this.options.availabilityZone;
    const query = zone === undefined ? '' : `?availabilityZone=${encodeURIComponent(zone)}`;
    for (const url of this.addresses.inOrder(performance.now())) {
      try {
        const answer = await this.send(url, {
          method: 'GET',
          path: `/v1/addresses${query}`,
          repeatable: true,
        });
        const body = (await answer.body.json()) as {
          addresses: { url: string }[];
          keepForMs: number;
        };
        this.addresses.keep(
          body.addresses.map((address) => address.url),
          body.keepForMs,
          performance.now(),
        );
        return;
      } catch (thrown) {
        const error = toShedlineError(thrown, { step: 'addresses', peer: url });
        if (error.type === 'unauthorized') return;
        this.addresses.failed(url, performance.now());
      }
    }
  }

  private async streamOnce(
    url: string,
    call: CallOptions,
    state: StreamState,
    onText: ChatOptions['onText'],
  ): Promise<void> {
    state.repeated = '';
    state.finishReason = '';
    clearError(state);
    const answer = await this.send(url, call);
    const parser = createParser({
      onEvent: ({ data }) => {
        takeEvent(state, data, onText);
      },
    });
    const decoder = new TextDecoder();
    for await (const bytes of answer.body as AsyncIterable<Buffer>) {
      parser.feed(decoder.decode(bytes, { stream: true }));
    }
    const failure = errorOf(state);
    if (failure !== undefined) throw failure;
    if (state.done) return;
    const message = `${url} broke the answer off`;
    throw new ShedlineError({
      type: 'unavailable',
      message,
      step: call.path,
      peer: url,
      ran: 'unknown',
    });
  }
}

/** A repeated answer begins again: what was passed on already is passed over. */
function takeEvent(state: StreamState, data: string, onText: ChatOptions['onText']): void {
  if (data === '[DONE]') {
    state.done = state.finishReason !== '';
    return;
  }
  const chunk = JSON.parse(data) as {
    error?: ErrorBody;
    choices?: { delta?: { content?: string }; finish_reason?: string | null }[];
  };
  if (chunk.error !== undefined) state.error = errorFromBody(chunk.error);
  const choice = chunk.choices?.[0];
  state.finishReason = choice?.finish_reason ?? state.finishReason;
  const text = choice?.delta?.content ?? '';
  if (text === '') return;
  state.repeated += text;
  if (!state.repeated.startsWith(state.received)) {
    if (state.received.startsWith(state.repeated)) return;
    state.error = new ShedlineError({
      type: 'endpoint_failed',
      message: 'the repeated answer differs from the part that was received before',
      step: 'continue answer',
      ran: 'yes',
    });
    return;
  }
  const fresh = state.repeated.slice(state.received.length);
  state.received = state.repeated;
  if (fresh !== '') onText?.(fresh);
}

function clearError(state: StreamState): void {
  state.error = undefined;
}

function errorOf(state: StreamState): ShedlineError | undefined {
  return state.error;
}

function isLost(error: ShedlineError): boolean {
  return error.type === 'unavailable' && error.cause !== undefined;
}

function isRepeatable(error: ShedlineError, repeatable: boolean): boolean {
  const passing = ['unavailable', 'overloaded', 'limit_reached', 'endpoint_failed', 'in_progress'];
  if (!passing.includes(error.type)) return false;
  return error.ran === 'no' || repeatable || error.type === 'in_progress';
}
