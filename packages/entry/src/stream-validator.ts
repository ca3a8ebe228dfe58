/**
 * Validates that the events streamed by an engine are the complete response to the request.
 */

/** Token counts reported by the engine. */
export interface Usage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
  readonly total_tokens: number;
}

/** Meaning of one event of a stream. */
export type StreamEvent =
  | { readonly kind: 'token'; readonly text: string }
  | { readonly kind: 'other' }
  | { readonly kind: 'done' }
  | { readonly kind: 'invalid'; readonly reason: string };

interface Chunk {
  readonly id?: string;
  readonly error?: { readonly message?: string };
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string | null };
    readonly text?: string;
    readonly finish_reason?: string | null;
  }[];
  readonly usage?: Usage | null;
}

/** Validates the events of one stream in order. */
export class StreamValidator {
  /** Finish reason reported by the engine; empty until it is received. */
  finishReason = '';
  usage: Usage | undefined;
  private readonly requestId: string;
  private isDone = false;

  constructor(requestId: string) {
    this.requestId = requestId;
  }

  /** Whether the finish reason and the end marker were received. */
  get isComplete(): boolean {
    return this.isDone && this.finishReason !== '';
  }

  /** Validates the data of one event. */
  accept(data: string): StreamEvent {
    if (this.isDone) return invalidEvent('the engine sent more after the end of the answer');
    if (data === '[DONE]') return this.acceptDone();
    const chunk = parseChunk(data);
    if (chunk === undefined) return invalidEvent('the engine sent an event that is no JSON');
    if (chunk.error !== undefined) return invalidEvent(chunk.error.message ?? 'the engine failed');
    if (chunk.id !== this.requestId)
      return invalidEvent('the engine sent the answer to another request');
    if (chunk.usage !== undefined && chunk.usage !== null) this.usage = chunk.usage;
    return this.acceptChoice(chunk);
  }

  private acceptDone(): StreamEvent {
    if (this.finishReason === '') return invalidEvent('the answer ended without a reason');
    this.isDone = true;
    return { kind: 'done' };
  }

  private acceptChoice(chunk: Chunk): StreamEvent {
    const choice = chunk.choices?.[0];
    if (choice === undefined) return { kind: 'other' };
    const text = choice.delta?.content ?? choice.text ?? '';
    const finishReason = choice.finish_reason ?? '';
    if (this.finishReason !== '' && (text !== '' || finishReason !== '')) {
      return invalidEvent('the engine answered twice');
    }
    this.finishReason = finishReason;
    return text === '' ? { kind: 'other' } : { kind: 'token', text };
  }
}

function parseChunk(data: string): Chunk | undefined {
  try {
    return JSON.parse(data) as Chunk;
  } catch {
    return undefined;
  }
}

function invalidEvent(reason: string): StreamEvent {
  return { kind: 'invalid', reason };
}
