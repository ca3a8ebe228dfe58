/**
 * A minimal client that measures one streamed response.
 */
import { Agent, request } from 'undici';
import { FLEET_TOKENS } from '@shedline/test-utils';

/** Outcome of one request. */
export interface StreamResult {
  readonly outcome: 'whole' | 'refused' | 'failed';
  /** Time from the due time to the first token. */
  readonly firstTokenMs: number;
  /** Times between consecutive chunks with tokens. */
  readonly gapsMs: readonly number[];
  readonly tokens: number;
  readonly message: string;
}

const agent = new Agent({
  connect: { timeout: 500 },
  headersTimeout: 0,
  bodyTimeout: 0,
  pipelining: 1,
});
const TOKEN_MARK = Buffer.from('"content":"');
const DONE_MARK = '[DONE]';

/**
 * Sends one request. `dueMs` is the scheduled send time, so that the latency includes a delay
 * before sending.
 */
export async function streamOnce(
  url: string,
  body: Readonly<Record<string, unknown>>,
  dueMs: number,
  headers: Readonly<Record<string, string>> = {},
): Promise<StreamResult> {
  const gapsMs: number[] = [];
  let firstTokenMs = 0;
  let lastMs = 0;
  let tokens = 0;
  let tail = '';
  try {
    const response = await request(`${url}/v1/chat/completions`, {
      dispatcher: agent,
      method: 'POST',
      headers: {
        authorization: `Bearer ${FLEET_TOKENS.caller}`,
        'content-type': 'application/json',
        ...headers,
      },
      body: JSON.stringify({ ...body, stream: true }),
    });
    if (response.statusCode !== 200) {
      const text = await response.body.text();
      const outcome =
        response.statusCode === 429 || response.statusCode === 503 ? 'refused' : 'failed';
      return { outcome, firstTokenMs: 0, gapsMs, tokens: 0, message: text };
    }
    for await (const bytes of response.body as AsyncIterable<Buffer>) {
      const nowMs = performance.now();
      const markCount = countMarks(bytes, TOKEN_MARK);
      if (markCount > 0) {
        if (tokens === 0) firstTokenMs = nowMs - dueMs;
        else gapsMs.push(nowMs - lastMs);
        tokens += markCount;
        lastMs = nowMs;
      }
      tail = bytes.subarray(-64).toString();
    }
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return { outcome: 'failed', firstTokenMs, gapsMs, tokens, message };
  }
  const outcome = tail.includes(DONE_MARK) ? 'whole' : 'failed';
  return { outcome, firstTokenMs, gapsMs, tokens, message: outcome === 'whole' ? '' : tail };
}

function countMarks(bytes: Buffer, mark: Buffer): number {
  let markCount = 0;
  for (let offset = bytes.indexOf(mark); offset !== -1; offset = bytes.indexOf(mark, offset + 1))
    markCount += 1;
  return markCount;
}
