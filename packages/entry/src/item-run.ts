/**
 * Runs one batch item on one endpoint.
 */
import type { ItemResult, ItemReturn, ReturnReason, ServiceRow } from '@shedline/types';
import type { CompletionBody } from './completions.js';
import type { EndpointDriver, GenerateOutcome } from './endpoint-driver.js';
import type { HeldItem } from './held-items.js';
import { silenceBounds } from './online-run.js';
import type { ServiceCalls } from './service-calls.js';

/** How a run ended. */
export type ItemRunOutcome =
  | { readonly kind: 'result'; readonly result: ItemResult }
  | { readonly kind: 'return'; readonly itemReturn: ItemReturn; readonly lost: boolean }
  | { readonly kind: 'stopped' };

/** Options of {@link runItem}. */
export interface ItemRunOptions {
  readonly held: HeldItem;
  readonly row: ServiceRow;
  readonly url: string;
  readonly driver: EndpointDriver;
  readonly serviceCalls: ServiceCalls;
  readonly requestId: string;
  readonly signal: AbortSignal;
  readonly onToken: () => void;
}

/** Batch streams may wait longer than online ones: many of them share a step. */
const BATCH_PATIENCE = 4;
/** Longest run of one item. */
const MAX_ITEM_MS = 3_600_000;

/** Runs an item to its end, or until it has to yield. */
export async function runItem(options: ItemRunOptions): Promise<ItemRunOutcome> {
  const { held, row } = options;
  const parsed = JSON.parse(held.item.line) as { body: CompletionBody };
  if (row.kind === 'plain') return runCall(options, parsed.body);
  const problem = bodyProblem(parsed.body);
  if (problem !== undefined) return failedItem(held, 'invalid_request', problem);
  const bounds = silenceBounds(row);
  const outcome = await options.driver.generate({
    url: options.url,
    requestId: options.requestId,
    path: parsed.body.messages === undefined ? '/v1/completions' : '/v1/chat/completions',
    body: { ...parsed.body, model: row.models[0] },
    resumeTokens: [...held.tokens],
    lane: 'batch',
    signal: options.signal,
    deadlineMs: MAX_ITEM_MS,
    firstTokenTimeoutMs: bounds.firstTokenTimeoutMs * BATCH_PATIENCE,
    stallTimeoutMs: bounds.stallTimeoutMs * BATCH_PATIENCE,
    onToken: (text) => {
      held.tokens.push(text);
      options.onToken();
    },
  });
  if (outcome.kind === 'complete') return completed(options, outcome, parsed.body);
  return failedRun(options, outcome);
}

function bodyProblem(body: CompletionBody): string | undefined {
  if (Array.isArray(body.messages) && body.messages.length > 0) return undefined;
  if (typeof body.prompt === 'string') return undefined;
  return 'body: needs messages or a prompt';
}

function completed(
  options: ItemRunOptions,
  outcome: GenerateOutcome & { kind: 'complete' },
  body: CompletionBody,
): ItemRunOutcome {
  const { held, row, requestId } = options;
  const text = held.tokens.join('');
  const isChat = body.messages !== undefined;
  const content = isChat ? { message: { role: 'assistant', content: text } } : { text };
  const response = {
    id: requestId,
    object: isChat ? 'chat.completion' : 'text_completion',
    model: `${row.workspace}/${row.service}`,
    choices: [{ index: 0, ...content, finish_reason: outcome.finishReason }],
    usage: outcome.usage,
  };
  return resultOf(held, 'completed', JSON.stringify(response));
}

function failedRun(
  options: ItemRunOptions,
  outcome: GenerateOutcome & { kind: 'failed' },
): ItemRunOutcome {
  const { held, signal } = options;
  if (outcome.permanent) return failedItem(held, 'invalid_request', outcome.message);
  if (outcome.progress !== 'sent') return returnOf(held, 'notRun', outcome.message, false);
  if (!held.lease.idempotent) return inDoubt(held, outcome.message);
  if (signal.aborted) return { kind: 'stopped' };
  held.tokens = [];
  return returnOf(held, outcome.lost ? 'endpointLost' : 'retryable', outcome.message, outcome.lost);
}

async function runCall(options: ItemRunOptions, body: CompletionBody): Promise<ItemRunOutcome> {
  const { held, row, signal } = options;
  const call = callOf(body);
  const key = `${held.lease.jobId}/${held.item.index}`;
  const outcome = await options.serviceCalls.sendItem(row, { ...call, key }, signal);
  if (outcome.kind === 'failed') {
    if (outcome.progress !== 'sent') return returnOf(held, 'notRun', outcome.message, false);
    if (!held.lease.idempotent) return inDoubt(held, outcome.message);
    return returnOf(held, 'retryable', outcome.message, false);
  }
  const text = outcome.body.toString();
  const response = JSON.stringify({ status: outcome.status, body: parsedOrText(text) });
  if (outcome.status >= 500 && held.lease.idempotent) {
    return returnOf(held, 'retryable', `the service answered ${outcome.status}`, false);
  }
  return resultOf(held, outcome.status < 400 ? 'completed' : 'failed', response);
}

/** An item of a plain service names its path and method, or is posted to `/` as it is. */
function callOf(body: Readonly<Record<string, unknown>>): {
  method: string;
  path: string;
  body: Buffer;
} {
  const { path, method } = body;
  if (typeof path !== 'string' || !path.startsWith('/')) {
    return { method: 'POST', path: '/', body: Buffer.from(JSON.stringify(body)) };
  }
  const content = body.body === undefined ? '' : JSON.stringify(body.body);
  return { method: typeof method === 'string' ? method : 'POST', path, body: Buffer.from(content) };
}

function parsedOrText(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

function resultOf(held: HeldItem, outcome: ItemResult['outcome'], body: string): ItemRunOutcome {
  const { jobId } = held.lease;
  return { kind: 'result', result: { jobId, index: held.item.index, outcome, body } };
}

function failedItem(held: HeldItem, type: string, message: string): ItemRunOutcome {
  const { attempt } = held.item;
  return resultOf(held, 'failed', JSON.stringify({ type, message, attempts: attempt }));
}

function inDoubt(held: HeldItem, cause: string): ItemRunOutcome {
  const message = `sent, but no whole answer came: ${cause}`;
  return resultOf(held, 'inDoubt', JSON.stringify({ type: 'in_doubt', message }));
}

function returnOf(
  held: HeldItem,
  reason: ReturnReason,
  cause: string,
  lost: boolean,
): ItemRunOutcome {
  const { jobId } = held.lease;
  return { kind: 'return', itemReturn: { jobId, index: held.item.index, reason, cause }, lost };
}
