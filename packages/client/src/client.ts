/**
 * The caller library. Finds an entry, fails over to another one on connection errors, retries only
 * requests that are safe to repeat, and returns a complete response or an error that states
 * whether the request may have been executed.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { createParser } from 'eventsource-parser';
import { Agent } from 'undici';
import type { Dispatcher } from 'undici';
import { ShedlineError, toShedlineError } from '@shedline/errors';
import { connectorWithin } from '@shedline/http-connector';
import { DEADLINE_HEADER, SESSION_HEADER } from '@shedline/types';
import type { JobView } from '@shedline/types';
import { ChatStream } from './chat-stream.js';
import type { ChatAnswer } from './chat-stream.js';
import { EntryAddresses } from './entry-addresses.js';
import { exchange } from './http-exchange.js';
import type { Exchange } from './http-exchange.js';

const CONNECT_TIMEOUT_MS = 500;
const MAX_ATTEMPTS = 5;
const MAX_RETRY_DELAY_MS = 2000;
const DEFAULT_RETRY_DELAY_MS = 100;
const DEFAULT_DEADLINE_MS = 60_000;

/** Options of {@link ShedlineClient}. */
export interface ShedlineClientOptions {
  /** Addresses of some entries. */
  readonly urls: readonly string[];
  readonly token: string;
  /** Availability zone of the caller. */
  readonly availabilityZone?: string;
}

/** Options of one call of the HTTP API. */
export interface CallOptions {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  /** Whether the call may be retried if it is unknown whether it was executed. */
  readonly repeatable: boolean;
  /** Maximum time of the call with its retries; sent to the entry as the deadline. */
  readonly deadlineMs?: number;
  readonly signal?: AbortSignal;
}

/** Options of {@link ShedlineClient.chat}. */
export interface ChatOptions {
  readonly service: string;
  readonly messages: readonly { readonly role: string; readonly content: string }[];
  readonly maxTokens?: number;
  readonly session?: string;
  /** Whether the request may be retried if the connection is lost during the response. */
  readonly idempotent?: boolean;
  readonly deadlineMs?: number;
  readonly signal?: AbortSignal;
  /** Called once for each new piece of the response text. */
  readonly onText?: (text: string) => void;
}

/** One item of a job. */
export interface JobItem {
  readonly customId: string;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Client of the HTTP API of shedline. */
export class ShedlineClient {
  private readonly options: ShedlineClientOptions;
  private readonly addresses: EntryAddresses;
  private readonly agent = new Agent({
    connect: connectorWithin(CONNECT_TIMEOUT_MS),
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

  /** Calls the API and parses the response as JSON; undefined if the body is empty. */
  async json(options: CallOptions): Promise<unknown> {
    const text = await this.text(options);
    return text === '' ? undefined : JSON.parse(text);
  }

  /** Calls the API and returns the response body as text. */
  text(options: CallOptions): Promise<string> {
    return this.withRetries(options, async (url) => {
      const response = await this.send(url, options);
      return response.text();
    });
  }

  /** Opens a session and returns its token, which every entry accepts. */
  async openSession(service: string): Promise<string> {
    const call = {
      method: 'POST',
      path: '/v1/sessions',
      body: { service },
      repeatable: true,
    } as const;
    return ((await this.json(call)) as { session: string }).session;
  }

  /** Sends a chat request; returns the complete response, or throws an error. */
  async chat(options: ChatOptions): Promise<ChatAnswer> {
    const stream = new ChatStream(options.onText);
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
    await this.withRetries(call, (url) => this.streamOnce(url, call, stream));
    return stream.answer;
  }

  /** Creates a job, uploads its items and seals it. Idempotent for the same `jobKey`. */
  async submitJob(options: {
    readonly service: string;
    readonly jobKey: string;
    readonly dueAtMs: number;
    readonly items: readonly JobItem[];
    readonly idempotent?: boolean;
    readonly chunkItems?: number;
    /** Called after each uploaded chunk with the number of items uploaded so far. */
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

  /** Returns the current state of a job. */
  job(jobId: string): Promise<JobView> {
    return this.jobCall('GET', `/v1/jobs/${jobId}`);
  }

  /** Cancels a job. */
  cancelJob(jobId: string): Promise<JobView> {
    return this.jobCall('POST', `/v1/jobs/${jobId}/cancel`);
  }

  /** Returns the results of ended items from `fromIndex` on, as NDJSON. */
  results(jobId: string, fromIndex = 0): Promise<string> {
    return this.text({
      method: 'GET',
      path: `/v1/jobs/${jobId}/results?from=${fromIndex}`,
      repeatable: true,
    });
  }

  /** Calls a job endpoint. All these calls are idempotent, so they may always be retried. */
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
    for (let attempts = 1; ; attempts += 1) {
      const url = await this.chooseUrl(attempts);
      try {
        return await attempt(url);
      } catch (thrown) {
        const error = toShedlineError(thrown, { step: options.path, peer: url, ran: 'unknown' });
        if (error.ran !== 'no') ran = error.ran;
        const nowMs = performance.now();
        if (isConnectionError(error)) this.addresses.recordFailure(url, nowMs);
        const pauseMs = Math.min(MAX_RETRY_DELAY_MS, error.retryAfterMs ?? DEFAULT_RETRY_DELAY_MS);
        const isWithinDeadline = nowMs - startedMs + pauseMs < deadlineMs;
        const isAborted = options.signal?.aborted === true;
        if (
          isAborted ||
          attempts >= MAX_ATTEMPTS ||
          !isWithinDeadline ||
          !mayRetry(error, options.repeatable)
        ) {
          throw ran === error.ran ? error : new ShedlineError({ ...error.toBody(), ran });
        }
        await pause(isConnectionError(error) ? 0 : pauseMs);
      }
    }
  }

  private async chooseUrl(attempt: number): Promise<string> {
    if (this.addresses.isStale(performance.now())) await this.refreshAddresses();
    const urls = this.addresses.inPreferenceOrder(performance.now());
    // An error response does not mark an address as failed, but the next attempt uses another one.
    return urls[(attempt - 1) % urls.length] ?? '';
  }

  private async refreshAddresses(): Promise<void> {
    const zone = this.options.availabilityZone;
    const query = zone === undefined ? '' : `?availabilityZone=${encodeURIComponent(zone)}`;
    for (const url of this.addresses.inPreferenceOrder(performance.now())) {
      try {
        const response = await this.send(url, {
          method: 'GET',
          path: `/v1/addresses${query}`,
          repeatable: true,
        });
        const body = JSON.parse(await response.text()) as {
          addresses: { url: string }[];
          keepForMs: number;
        };
        this.addresses.update(
          body.addresses.map((address) => address.url),
          body.keepForMs,
          performance.now(),
        );
        return;
      } catch (thrown) {
        const error = toShedlineError(thrown, { step: 'addresses', peer: url });
        if (error.type === 'unauthorized') return;
        this.addresses.recordFailure(url, performance.now());
      }
    }
  }

  private async streamOnce(url: string, call: CallOptions, stream: ChatStream): Promise<void> {
    stream.beginAttempt();
    const response = await this.send(url, call);
    const parser = createParser({
      onEvent: ({ data }) => {
        stream.apply(data);
      },
    });
    const decoder = new TextDecoder();
    for await (const bytes of response.body) {
      parser.feed(decoder.decode(bytes, { stream: true }));
    }
    stream.endAttempt({ url, path: call.path });
  }
}

function isConnectionError(error: ShedlineError): boolean {
  return error.type === 'unavailable' && error.cause !== undefined;
}

function mayRetry(error: ShedlineError, isRepeatable: boolean): boolean {
  const transient = [
    'unavailable',
    'overloaded',
    'limit_reached',
    'endpoint_failed',
    'in_progress',
  ];
  if (!transient.includes(error.type)) return false;
  return error.ran === 'no' || isRepeatable || error.type === 'in_progress';
}
