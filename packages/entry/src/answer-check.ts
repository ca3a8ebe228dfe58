/**
 * Checks that what an engine streams is the one whole answer to the request it was sent.
 */

/** Tokens used, as the engine counts them. */
export interface Usage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
  readonly total_tokens: number;
}

/** What one event of a stream means. */
export type AnswerEvent =
  | { readonly kind: 'token'; readonly text: string }
  | { readonly kind: 'other' }
  | { readonly kind: 'done' }
  | { readonly kind: 'wrong'; readonly reason: string };

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

/** Follows one stream from its first event to its last. */
export class AnswerCheck {
  /** Reason that the engine gave for the end; empty before it. */
  finishReason = '';
  usage: Usage | undefined;
  private readonly requestId: string;
  private done = false;

  constructor(requestId: string) {
    this.requestId = requestId;
  }

  /** Whether the answer came to its proper end. */
  get isWhole(): boolean {
    return this.done && this.finishReason !== '';
  }

  /** Takes the data of one event. */
  take(data: string): AnswerEvent {
    if (this.done) return wrong('the engine sent more after the end of the answer');
    if (data === '[DONE]') return this.takeDone();
    const chunk = parseChunk(data);
    if (chunk === undefined) return wrong('the engine sent an event that is no JSON');
    if (chunk.error !== undefined) return wrong(chunk.error.message ?? 'the engine failed');
    if (chunk.id !== this.requestId) return wrong('the engine sent the answer to another request');
    if (chunk.usage !== undefined && chunk.usage !== null) this.usage = chunk.usage;
    return this.takeChoice(chunk);
  }

  private takeDone(): AnswerEvent {
    if (this.finishReason === '') return wrong('the answer ended without a reason');
    this.done = true;
    return { kind: 'done' };
  }

  private takeChoice(chunk: Chunk): AnswerEvent {
    const choice = chunk.choices?.[0];
    if (choice === undefined) return { kind: 'other' };
    const text = choice.delta?.content ?? choice.text ?? '';
    const finishReason = choice.finish_reason ?? '';
    if (this.finishReason !== '' && (text !== '' || finishReason !== '')) {
      return wrong('the engine answered twice');
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

function wrong(reason: string): AnswerEvent {
  return { kind: 'wrong', reason };
}
