/**
 * `POST /v1/chat/completions` and `/v1/completions`: online generation.
 */
import type { ServerResponse } from 'node:http';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { z } from 'zod';
import type { ShedlineError } from '@shedline/errors';
import { toShedlineError } from '@shedline/errors';
import { SERVICE_HEADER, SESSION_HEADER, sha256Hex } from '@shedline/types';
import type { ServiceRow } from '@shedline/types';
import type { CallClaimer } from './call-claimer.js';
import { invalid, notFound, readJson, requestDeadlineMs } from './http-support.js';
import type { EntryHttpContext } from './http-support.js';
import { OnlineRun } from './online-run.js';
import type { OnlineAnswer, OnlineContext, OnlineRequest } from './online-run.js';
import { readSession } from './sessions.js';
import type { Session } from './sessions.js';

const messageSchema = z.looseObject({
  role: z.string(),
  content: z.union([z.string(), z.array(z.unknown()), z.null()]).optional(),
});

const bodySchema = z.looseObject({
  model: z.string().optional(),
  messages: z.array(messageSchema).min(1).optional(),
  prompt: z.string().optional(),
  stream: z.boolean().nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().optional() }).nullish(),
  n: z.literal(1, 'only one choice is supported').nullish(),
});

/** The body of a generation request. */
export type CompletionBody = z.infer<typeof bodySchema>;

type CompletionPath = OnlineRequest['path'];

/** Maximum number of response bytes buffered for a caller that reads slowly. */
const MAX_UNREAD_BYTES = 4 * 1024 * 1024;
const CALLER_DISCONNECTED = new Error('the caller disconnected');

/** Options of {@link Completions}. */
export interface CompletionsOptions {
  readonly context: OnlineContext;
  readonly claimer: CallClaimer;
  readonly sessionSecret: string;
  readonly maxBodyBytes: number;
  readonly nextRequestId: () => string;
  /** Throws if the entry may not accept work now. */
  readonly checkServing: () => void;
}

interface PreparedCompletion {
  readonly body: CompletionBody;
  readonly row: ServiceRow;
  readonly session: Session | undefined;
  readonly request: Omit<OnlineRequest, 'onToken' | 'signal'>;
  readonly path: CompletionPath;
}

/** Returns the prompt as text, from which the prefix hashes are computed. */
export function promptText(body: CompletionBody): string {
  if (body.messages === undefined) return body.prompt ?? '';
  const parts = body.messages.map((message) => {
    const { content } = message;
    return `${message.role}: ${typeof content === 'string' ? content : JSON.stringify(content)}`;
  });
  return parts.join('\n');
}

/** Throws if the body lacks the field that its path requires. */
export function checkCompletionBody(body: CompletionBody, path: CompletionPath): void {
  if (path === '/v1/chat/completions' && body.messages === undefined) {
    throw invalid('messages: required');
  }
  if (path === '/v1/completions' && body.prompt === undefined) {
    throw invalid('prompt: required');
  }
}

/** The schema of the body of a generation request. */
export { bodySchema as completionBodySchema };

/** Handles requests for online generation. */
export class Completions {
  private readonly options: CompletionsOptions;

  constructor(options: CompletionsOptions) {
    this.options = options;
  }

  /** Handles one request. */
  async handle(c: EntryHttpContext, workspace: string, path: CompletionPath): Promise<Response> {
    const prepared = await this.prepare(c, workspace, path);
    const { outgoing } = c.env;
    const abort = new AbortController();
    outgoing.on('close', () => {
      if (!outgoing.writableFinished) abort.abort(CALLER_DISCONNECTED);
    });
    const key = c.req.header('idempotency-key');
    if (!prepared.request.idempotent && key !== undefined) {
      return this.respondClaimed(outgoing, prepared, key, abort.signal);
    }
    if (prepared.body.stream === true)
      await this.respondWithStream(outgoing, prepared, abort.signal);
    else await this.respondInFull(outgoing, prepared, abort.signal);
    return RESPONSE_ALREADY_SENT;
  }

  private async prepare(
    c: EntryHttpContext,
    workspace: string,
    path: CompletionPath,
  ): Promise<PreparedCompletion> {
    const body = await readJson(c, bodySchema, this.options.maxBodyBytes);
    checkCompletionBody(body, path);
    this.options.checkServing();
    const row = await this.findRow(c.req.header(SERVICE_HEADER) ?? body.model ?? '', workspace);
    const session = this.sessionOf(c.req.header(SESSION_HEADER), row);
    const model = row.models.includes(body.model ?? '') ? body.model : row.models[0];
    const request = {
      requestId: this.options.nextRequestId(),
      row,
      path,
      body: { ...body, model },
      prompt: promptText(body),
      sessionId: session?.sessionId,
      idempotent: row.idempotent,
      deadlineMs: requestDeadlineMs(c, row),
    };
    return { body, row, session, request, path };
  }

  private async findRow(name: string, workspace: string): Promise<ServiceRow> {
    const parts = name.split('/');
    const service = parts.at(-1) ?? '';
    const namedWorkspace = parts.length > 1 ? parts[0] : workspace;
    const row = await this.options.context.reader.row(`${workspace}/${service}`);
    if (row?.kind === 'engine' && namedWorkspace === workspace) return row;
    throw notFound(
      `there is no generation service ${name}; set model to "${workspace}/SERVICE" ` +
        `or use the header ${SERVICE_HEADER}`,
    );
  }

  private sessionOf(token: string | undefined, row: ServiceRow): Session | undefined {
    if (token === undefined) return undefined;
    const session = readSession(this.options.sessionSecret, token, row.workspace);
    if (session.service === row.service) return session;
    throw notFound(`this session belongs to the service ${session.service}`);
  }

  private run(
    prepared: PreparedCompletion,
    signal: AbortSignal,
    onToken: (text: string) => void,
  ): Promise<OnlineAnswer> {
    const { context } = this.options;
    const { body, row, session, request } = prepared;
    const work = {
      isOpenSession: session !== undefined,
      limitMs: request.deadlineMs,
      maxOutput: body.max_completion_tokens ?? body.max_tokens ?? undefined,
    };
    return context.admission.run(row, work, (call) => {
      const passOn = (text: string): void => {
        call.firstPart();
        onToken(text);
      };
      return new OnlineRun(context, { ...request, signal, onToken: passOn }).run();
    });
  }

  private async respondWithStream(
    outgoing: ServerResponse,
    prepared: PreparedCompletion,
    signal: AbortSignal,
  ): Promise<void> {
    const writer = new StreamWriter(outgoing, prepared);
    try {
      const answer = await this.run(prepared, signal, (text) => {
        writer.writeToken(text);
      });
      writer.end(answer);
    } catch (error) {
      const failure = toShedlineError(error, { step: 'generate', ran: 'unknown' });
      if (!writer.writeError(failure)) throw failure;
    }
  }

  private async respondInFull(
    outgoing: ServerResponse,
    prepared: PreparedCompletion,
    signal: AbortSignal,
  ): Promise<void> {
    const answer = await this.run(prepared, signal, () => undefined);
    sendJson(outgoing, fullBody(prepared, answer));
  }

  /**
   * Handles a non-idempotent request with an idempotency key: the key is claimed before the only
   * attempt, and the response is sent from the record.
   */
  private async respondClaimed(
    outgoing: ServerResponse,
    prepared: PreparedCompletion,
    key: string,
    signal: AbortSignal,
  ): Promise<Response> {
    const { row } = prepared;
    const recorded = await this.options.claimer.runOnce({
      workspace: row.workspace,
      service: row.service,
      key,
      requestHash: sha256Hex(JSON.stringify(prepared.body)),
      deadlineMs: prepared.request.deadlineMs,
      run: async () => {
        const answer = await this.run(prepared, signal, () => undefined);
        const body = Buffer.from(JSON.stringify(fullBody(prepared, answer)));
        return { status: 200, contentType: 'application/json', body };
      },
    });
    if (prepared.body.stream === true) {
      streamRecordedAnswer(outgoing, prepared, recorded.body);
    } else {
      outgoing.writeHead(recorded.status, { 'content-type': recorded.contentType });
      outgoing.end(recorded.body);
    }
    return RESPONSE_ALREADY_SENT;
  }
}

/** Writes one streamed response to the caller. */
class StreamWriter {
  private readonly outgoing: ServerResponse;
  private readonly prepared: PreparedCompletion;
  private readonly commonFields: string;
  private isStarted = false;

  constructor(outgoing: ServerResponse, prepared: PreparedCompletion) {
    this.outgoing = outgoing;
    this.prepared = prepared;
    this.commonFields = JSON.stringify(baseFields(prepared, true)).slice(0, -1);
  }

  writeToken(text: string): void {
    const isFirst = !this.isStarted;
    if (isFirst) this.start();
    const isChat = this.prepared.path === '/v1/chat/completions';
    const quoted = JSON.stringify(text);
    const role = isFirst ? '"role":"assistant",' : '';
    const delta = isChat ? `"delta":{${role}"content":${quoted}}` : `"text":${quoted}`;
    this.writeEvent(`${this.commonFields},"choices":[{"index":0,${delta},"finish_reason":null}]}`);
  }

  /** Ends a complete response with the finish reason and, if requested, the usage. */
  end(answer: OnlineAnswer): void {
    if (!this.isStarted) this.start();
    const isChat = this.prepared.path === '/v1/chat/completions';
    const delta = isChat ? '"delta":{}' : '"text":""';
    const reason = JSON.stringify(answer.finishReason);
    this.writeEvent(
      `${this.commonFields},"choices":[{"index":0,${delta},"finish_reason":${reason}}]}`,
    );
    const wantsUsage = this.prepared.body.stream_options?.include_usage === true;
    if (wantsUsage && answer.usage !== undefined) {
      this.writeEvent(`${this.commonFields},"choices":[],"usage":${JSON.stringify(answer.usage)}}`);
    }
    this.outgoing.end('data: [DONE]\n\n');
  }

  /** Writes an error into the stream and ends it; returns false if the stream has not started. */
  writeError(error: ShedlineError): boolean {
    if (!this.isStarted) return false;
    this.writeEvent(JSON.stringify({ error: error.toBody() }));
    this.outgoing.end();
    return true;
  }

  private start(): void {
    this.isStarted = true;
    this.outgoing.writeHead(200, {
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-cache',
    });
  }

  private writeEvent(data: string): void {
    this.outgoing.write(`data: ${data}\n\n`);
    // Bounds the memory used by a caller that does not read.
    if (this.outgoing.writableLength > MAX_UNREAD_BYTES) this.outgoing.destroy();
  }
}

function baseFields(prepared: PreparedCompletion, isStream: boolean): Record<string, unknown> {
  const isChat = prepared.path === '/v1/chat/completions';
  const chatObject = isStream ? 'chat.completion.chunk' : 'chat.completion';
  return {
    id: `${isChat ? 'chatcmpl' : 'cmpl'}-${prepared.request.requestId}`,
    object: isChat ? chatObject : 'text_completion',
    created: Math.floor(Date.now() / 1000),
    model: prepared.body.model ?? `${prepared.row.workspace}/${prepared.row.service}`,
  };
}

function fullBody(prepared: PreparedCompletion, answer: OnlineAnswer): Record<string, unknown> {
  const text = answer.tokens.join('');
  const isChat = prepared.path === '/v1/chat/completions';
  const content = isChat ? { message: { role: 'assistant', content: text } } : { text };
  const choice = { index: 0, ...content, finish_reason: answer.finishReason };
  return { ...baseFields(prepared, false), choices: [choice], usage: answer.usage };
}

function sendJson(outgoing: ServerResponse, body: Record<string, unknown>): void {
  outgoing.writeHead(200, { 'content-type': 'application/json' });
  outgoing.end(JSON.stringify(body));
}

/** Sends a recorded response as a stream. */
function streamRecordedAnswer(
  outgoing: ServerResponse,
  prepared: PreparedCompletion,
  body: Buffer,
): void {
  const recorded = JSON.parse(body.toString()) as {
    choices: { message?: { content: string }; text?: string; finish_reason: string }[];
    usage?: OnlineAnswer['usage'];
  };
  const choice = recorded.choices[0];
  const writer = new StreamWriter(outgoing, prepared);
  writer.writeToken(choice?.message?.content ?? choice?.text ?? '');
  writer.end({ finishReason: choice?.finish_reason ?? 'stop', usage: recorded.usage, tokens: [] });
}
