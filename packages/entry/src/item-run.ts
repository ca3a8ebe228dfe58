/**
 * Runs one batch item on one endpoint.
 */
import type { ItemResult, ItemReturn, ReturnReason, ServiceRow } from '@shedline/types';
import type { CompletionBody } from './completions.js';
import type { EndpointDriver, GenerateOutcome } from './endpoint-driver.js';
import type { HeldItem } from './held-items.js';
import { streamTimeouts } from './online-run.js';
import type { ServiceCalls } from './service-calls.js';

/** Outcome of an execution attempt of an item. */
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

/** Factor by which batch timeouts exceed online ones, because many batch streams share a step. */
const BATCH_TIMEOUT_FACTOR = 4;
/** Maximum duration of an execution attempt of one item. */
const MAX_ITEM_MS = 3_600_000;

/** Runs an item until it finishes or has to yield to online work. */
export async function runItem(options: ItemRunOptions): Promise<ItemRunOutcome> {
  const { held, row } = options;
  const parsed = JSON.parse(held.item.line) as { body: CompletionBody };
  if (row.kind === 'plain') return runCall(options, parsed.body);
  const bodyError = bodyErrorOf(parsed.body);
  if (bodyError !== undefined) return failedItem(held, 'invalid_request', bodyError);
  const timeouts = streamTimeouts(row);
  const outcome = await options.driver.generate({
    url: options.url,
    requestId: options.requestId,
    path: parsed.body.messages === undefined ? '/v1/completions' : '/v1/chat/completions',
    body: { ...parsed.body, model: row.models[0] },
    resumeTokens: [...held.tokens],
    connectionClass: 'batch',
    signal: options.signal,
    deadlineMs: MAX_ITEM_MS,
    firstTokenTimeoutMs: timeouts.firstTokenTimeoutMs * BATCH_TIMEOUT_FACTOR,
    stallTimeoutMs: timeouts.stallTimeoutMs * BATCH_TIMEOUT_FACTOR,
    onToken: (text) => {
      held.tokens.push(text);
      options.onToken();
    },
  });
  if (outcome.kind === 'complete') return completedItem(options, outcome, parsed.body);
  return failedRun(options, outcome);
}

function bodyErrorOf(body: CompletionBody): string | undefined {
  if (Array.isArray(body.messages) && body.messages.length > 0) return undefined;
  if (typeof body.prompt === 'string') return undefined;
  return 'body: needs messages or a prompt';
}

function completedItem(
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
  return resultOutcome(held, 'completed', JSON.stringify(response));
}

function failedRun(
  options: ItemRunOptions,
  outcome: GenerateOutcome & { kind: 'failed' },
): ItemRunOutcome {
  const { held, signal } = options;
  if (outcome.permanent) return failedItem(held, 'invalid_request', outcome.message);
  if (outcome.progress !== 'sent') return returnOutcome(held, 'notRun', outcome.message, false);
  if (!held.lease.idempotent) return inDoubtItem(held, outcome.message);
  if (signal.aborted) return { kind: 'stopped' };
  held.tokens = [];
  return returnOutcome(
    held,
    outcome.lost ? 'endpointLost' : 'retryable',
    outcome.message,
    outcome.lost,
  );
}

async function runCall(options: ItemRunOptions, body: CompletionBody): Promise<ItemRunOutcome> {
  const { held, row, signal } = options;
  const call = callFromBody(body);
  const key = `${held.lease.jobId}/${held.item.index}`;
  const outcome = await options.serviceCalls.sendItem(row, { ...call, key }, signal);
  if (outcome.kind === 'failed') {
    if (outcome.progress !== 'sent') return returnOutcome(held, 'notRun', outcome.message, false);
    if (!held.lease.idempotent) return inDoubtItem(held, outcome.message);
    return returnOutcome(held, 'retryable', outcome.message, false);
  }
  const text = outcome.body.toString();
  const response = JSON.stringify({ status: outcome.status, body: parseJsonOrText(text) });
  if (outcome.status >= 500 && held.lease.idempotent) {
    return returnOutcome(held, 'retryable', `the service answered ${outcome.status}`, false);
  }
  return resultOutcome(held, outcome.status < 400 ? 'completed' : 'failed', response);
}

/**
 * Returns the HTTP call of an item of a plain service: the call whose path and method its body
 * gives, or else a POST of the whole body to `/`.
 */
function callFromBody(body: Readonly<Record<string, unknown>>): {
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

function parseJsonOrText(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

function resultOutcome(
  held: HeldItem,
  outcome: ItemResult['outcome'],
  body: string,
): ItemRunOutcome {
  const { jobId } = held.lease;
  return { kind: 'result', result: { jobId, index: held.item.index, outcome, body } };
}

function failedItem(held: HeldItem, type: string, message: string): ItemRunOutcome {
  const { attempt } = held.item;
  return resultOutcome(held, 'failed', JSON.stringify({ type, message, attempts: attempt }));
}

function inDoubtItem(held: HeldItem, cause: string): ItemRunOutcome {
  const message = `sent, but no whole answer came: ${cause}`;
  return resultOutcome(held, 'inDoubt', JSON.stringify({ type: 'in_doubt', message }));
}

function returnOutcome(
  held: HeldItem,
  reason: ReturnReason,
  cause: string,
  lost: boolean,
): ItemRunOutcome {
  const { jobId } = held.lease;
  return { kind: 'return', itemReturn: { jobId, index: held.item.index, reason, cause }, lost };
}
