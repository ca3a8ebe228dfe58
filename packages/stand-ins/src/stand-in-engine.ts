/**
 * A stand-in model engine with an OpenAI-compatible interface over a deterministic model.
 */
import { serve } from '@hono/node-server';
import type { HttpBindings, ServerType } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';
import type { Context } from 'hono';
import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { REQUEST_ID_HEADER, prefixHashes } from '@shedline/types';
import type { Announcement, EndpointLoad } from '@shedline/types';
import { Announcer } from './announcer.js';
import { BatchingEngine } from './batching.js';
import type { EngineTimes } from './batching.js';
import { parseFault } from './fault.js';
import type { Fault } from './fault.js';
import { countTokens, planGeneration } from './generation.js';

/** Options of {@link StandInEngine}. */
export interface StandInEngineOptions {
  readonly endpointId: string;
  readonly models: readonly string[];
  readonly availabilityZone?: string;
  readonly host?: string;
  readonly port?: number;
  readonly entryUrls?: readonly string[];
  readonly token?: string;
  readonly times?: EngineTimes;
  readonly capacity?: number;
  readonly cacheBlocks?: number;
  readonly checksFencing?: boolean;
  readonly announceIntervalMs?: number;
  /** Share of the cache events that are omitted from announcements. */
  readonly cacheEventLossShare?: number;
  readonly random?: () => number;
  readonly incarnation?: number;
}

interface GenerationRequest {
  readonly model?: string;
  readonly messages?: readonly { readonly role: string; readonly content: unknown }[];
  readonly prompt?: string;
  readonly max_tokens?: number;
  readonly max_completion_tokens?: number;
  readonly stream?: boolean;
  readonly metadata?: Readonly<Record<string, string>>;
  /** Tokens of an interrupted response, after which the engine resumes. */
  readonly resume_tokens?: readonly string[];
}

/** Fields common to all parts of a response. */
interface ResponseFields {
  readonly requestId: string;
  readonly model: string;
  readonly isChat: boolean;
}

type EngineContext = Context<{ Bindings: HttpBindings }>;

const LATE_START_DELAY_MS = 1500;

/** A stand-in engine that listens on a port. */
export class StandInEngine {
  readonly engine: BatchingEngine;
  /** Number of attempts by request id. */
  readonly attemptsById = new Map<string, number>();
  /** Number of attempts by prompt text. */
  readonly attemptsByPrompt = new Map<string, number>();
  private readonly options: StandInEngineOptions;
  private server: ServerType | undefined;
  private announcer: Announcer | undefined;
  private readonly responses = new Set<ServerResponse>();
  /** How often each order was received, by order id. */
  readonly orderCounts = new Map<string, number>();
  private models: string[];
  private highestFencingNumber = 0;
  private sequence = 0;
  private leaving = false;
  private url = '';
  private previousLoad: EndpointLoad;
  private pendingCacheEvents: string[] = [];

  constructor(options: StandInEngineOptions) {
    this.options = options;
    this.models = [...options.models];
    this.engine = new BatchingEngine({
      ...(options.times === undefined ? {} : { times: options.times }),
      ...(options.cacheBlocks === undefined ? {} : { cacheBlocks: options.cacheBlocks }),
    });
    this.previousLoad = { running: 0, waiting: 0, capacity: options.capacity ?? 32 };
  }

  /** URL on which the engine listens. */
  get address(): string {
    return this.url;
  }

  /** Starts listening and announcing; returns the URL. */
  async start(): Promise<string> {
    const { host = '127.0.0.1', port = 0 } = this.options;
    const app = this.routes();
    const info = await new Promise<AddressInfo>((resolve) => {
      this.server = serve({ fetch: app.fetch, hostname: host, port }, resolve);
    });
    this.url = `http://${host}:${info.port}`;
    const { entryUrls = [], token = '', announceIntervalMs = 1000 } = this.options;
    if (entryUrls.length > 0) {
      this.announcer = new Announcer({
        entryUrls,
        token,
        intervalMs: announceIntervalMs,
        createAnnouncement: () => this.announcement(),
      });
      this.announcer.start();
    }
    return this.url;
  }

  /** Creates a heartbeat; its load is that at the time of the previous heartbeat. */
  announcement(): Announcement {
    this.sequence += 1;
    const load = this.previousLoad;
    this.previousLoad = { ...load, running: this.engine.running };
    return {
      endpointId: this.options.endpointId,
      incarnation: this.options.incarnation ?? 1,
      sequence: this.sequence,
      url: this.url,
      availabilityZone: this.options.availabilityZone ?? 'zone-1',
      kind: 'engine',
      models: this.models,
      services: [],
      load,
      checksFencing: this.options.checksFencing ?? true,
      leaving: this.leaving,
      cachedPrefixes: this.cacheEvents(),
    };
  }

  /** Announces that the engine is draining; running requests continue. */
  async announceLeaving(): Promise<void> {
    this.leaving = true;
    await this.announcer?.announce();
  }

  /** Simulates a crash: resets every response, stops listening and announcing. */
  crash(): void {
    this.announcer?.stop();
    this.engine.stop();
    for (const response of this.responses) response.destroy();
    const server = this.server;
    if (server !== undefined && 'closeAllConnections' in server) server.closeAllConnections();
    server?.close();
  }

  /** Returns the cache events for a heartbeat: one heartbeat late, and some are lost. */
  private cacheEvents(): string[] {
    const events = this.pendingCacheEvents;
    const { random = Math.random, cacheEventLossShare = 0.1 } = this.options;
    const newEvents = this.engine.takeNewlyCached();
    this.pendingCacheEvents = newEvents.filter(() => random() >= cacheEventLossShare);
    return events;
  }

  private routes(): Hono<{ Bindings: HttpBindings }> {
    const app = new Hono<{ Bindings: HttpBindings }>();
    app.post('/v1/chat/completions', (c) => this.generate(c, true));
    app.post('/v1/completions', (c) => this.generate(c, false));
    app.delete('/v1/requests/:id', (c) =>
      c.json({ cancelled: this.engine.cancel(c.req.param('id')) }),
    );
    app.post('/kv/export', async (c) => {
      const { prompt } = await c.req.json<{ prompt: string }>();
      return c.json({ prefixes: prefixHashes(prompt) });
    });
    app.post('/kv/import', async (c) => {
      const { prefixes } = await c.req.json<{ prefixes: string[] }>();
      this.engine.importPrefixes(prefixes);
      return c.json({ imported: prefixes.length });
    });
    app.post('/orders', async (c) => this.receiveOrder(c));
    app.get('/stats', (c) =>
      c.json({
        running: this.engine.running,
        ...this.engine.tokenTotals,
        sends: this.attemptsById.size,
      }),
    );
    return app;
  }

  private async receiveOrder(c: EngineContext): Promise<Response> {
    const order = await c.req.json<{
      orderId: string;
      kind: string;
      subject: string;
      fencingNumber: number;
    }>();
    const checks = this.options.checksFencing ?? true;
    if (checks && order.fencingNumber < this.highestFencingNumber) {
      return c.json({ error: 'old fencing number' }, 409);
    }
    this.highestFencingNumber = Math.max(this.highestFencingNumber, order.fencingNumber);
    this.orderCounts.set(order.orderId, (this.orderCounts.get(order.orderId) ?? 0) + 1);
    if (order.kind === 'loadModel' && !this.models.includes(order.subject)) {
      this.models.push(order.subject);
    }
    return c.json({ accepted: true });
  }

  private async generate(c: EngineContext, isChat: boolean): Promise<Response> {
    const request = await c.req.json<GenerationRequest>();
    const requestId = c.req.header(REQUEST_ID_HEADER) ?? `own-${this.attemptsById.size}`;
    const prompt = promptText(request);
    this.attemptsById.set(requestId, (this.attemptsById.get(requestId) ?? 0) + 1);
    this.attemptsByPrompt.set(prompt, (this.attemptsByPrompt.get(prompt) ?? 0) + 1);
    const resumed = request.resume_tokens ?? [];
    const requestedFault = parseFault(request.metadata?.stand_in_fault);
    const fault =
      requestedFault?.appliesToResumed === true || resumed.length === 0
        ? requestedFault
        : undefined;
    if (fault?.kind === 'refuse') return c.json({ error: { message: 'engine is full' } }, 503);
    if (fault?.kind === 'invalid') return c.json({ error: { message: 'bad prompt' } }, 400);
    const fields = {
      requestId: fault?.kind === 'crossed' ? `other-${requestId}` : requestId,
      model: request.model ?? '',
      isChat,
    };
    const { outgoing } = c.env;
    const run = { prompt, request, resumedCount: resumed.length, fault, fields, requestId };
    if (request.stream === true) this.respondStreaming(outgoing, run);
    else this.respondWhole(outgoing, run);
    return RESPONSE_ALREADY_SENT;
  }

  private respondStreaming(response: ServerResponse, run: GenerationRun): void {
    const { fields, resumedCount } = run;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      [REQUEST_ID_HEADER]: fields.requestId,
    });
    response.flushHeaders();
    this.startGeneration(response, run, {
      onToken: (token, position) => {
        const isFirst = position === resumedCount;
        response.write(formatEvent(chunkOf(fields, token, null, isFirst)));
      },
      onEnd: (finishReason, completionTokens) => {
        response.write(formatEvent(chunkOf(fields, '', finishReason, false)));
        const usage = usageOf(run.prompt, completionTokens);
        response.write(formatEvent({ ...chunkBase(fields), choices: [], usage }));
        response.end('data: [DONE]\n\n');
      },
    });
  }

  private respondWhole(response: ServerResponse, run: GenerationRun): void {
    const { fields } = run;
    let text = '';
    this.startGeneration(response, run, {
      onToken: (token) => {
        text += token;
      },
      onEnd: (finishReason, completionTokens) => {
        const choice = fields.isChat
          ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: finishReason }
          : { index: 0, text, finish_reason: finishReason };
        const body = {
          ...chunkBase(fields),
          object: fields.isChat ? 'chat.completion' : 'text_completion',
          choices: [choice],
          usage: usageOf(run.prompt, completionTokens),
        };
        response.writeHead(200, {
          'content-type': 'application/json',
          [REQUEST_ID_HEADER]: fields.requestId,
        });
        response.end(JSON.stringify(body));
      },
    });
  }

  private startGeneration(response: ServerResponse, run: GenerationRun, sink: TokenSink): void {
    const { request, requestId, fault, resumedCount, prompt } = run;
    const generation = planGeneration(prompt, request.max_completion_tokens ?? request.max_tokens);
    this.responses.add(response);
    response.on('close', () => {
      this.responses.delete(response);
      this.engine.cancel(requestId);
    });
    const start = (): void => {
      this.engine.start(prompt, {
        requestId,
        generation,
        position: resumedCount,
        onToken: (token, position) => {
          if (fault !== undefined && this.applyFault(fault, position, response)) return false;
          sink.onToken(token, position);
          return true;
        },
        onEnd: () => {
          sink.onEnd(generation.finishReason, generation.tokenCount);
        },
      });
    };
    if (fault?.kind === 'late') setTimeout(start, LATE_START_DELAY_MS);
    else start();
  }

  /** Triggers the fault if its position is reached; returns whether it ends the sequence. */
  private applyFault(fault: Fault, position: number, response: ServerResponse): boolean {
    if (position < fault.afterTokens) return false;
    if (fault.kind === 'cut') response.end();
    if (fault.kind === 'die') this.crash();
    return fault.kind === 'cut' || fault.kind === 'die' || fault.kind === 'hang';
  }
}

/** One attempt of a request. */
interface GenerationRun {
  readonly prompt: string;
  readonly request: GenerationRequest;
  readonly resumedCount: number;
  readonly fault: Fault | undefined;
  readonly fields: ResponseFields;
  readonly requestId: string;
}

/** Receives the generated tokens and writes the response. */
interface TokenSink {
  readonly onToken: (token: string, position: number) => void;
  readonly onEnd: (finishReason: string, completionTokens: number) => void;
}

function promptText(request: GenerationRequest): string {
  if (request.messages === undefined) return request.prompt ?? '';
  return request.messages
    .map((message) => `${message.role}: ${String(message.content)}`)
    .join('\n');
}

function chunkBase(fields: ResponseFields): Record<string, unknown> {
  return {
    id: fields.requestId,
    object: fields.isChat ? 'chat.completion.chunk' : 'text_completion',
    created: 0,
    model: fields.model,
  };
}

function chunkOf(
  fields: ResponseFields,
  token: string,
  finishReason: string | null,
  isFirst: boolean,
): Record<string, unknown> {
  const delta = isFirst ? { role: 'assistant', content: token } : { content: token };
  const choice = fields.isChat
    ? { index: 0, delta: finishReason === null ? delta : {}, finish_reason: finishReason }
    : { index: 0, text: token, finish_reason: finishReason };
  return { ...chunkBase(fields), choices: [choice] };
}

function usageOf(prompt: string, completionTokens: number): Record<string, number> {
  const promptTokens = countTokens(prompt);
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
  };
}

function formatEvent(value: unknown): string {
  return `data: ${JSON.stringify(value)}\n\n`;
}
