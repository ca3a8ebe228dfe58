/**
 * The text of a streamed chat response over several attempts. An attempt starts from the beginning,
 * so text that was already delivered is skipped.
 */
import { ShedlineError, errorFromBody } from '@shedline/errors';
import type { ErrorBody } from '@shedline/errors';

/** The complete text of a streamed response. */
export interface ChatAnswer {
  readonly text: string;
  readonly finishReason: string;
}

interface ChatChunk {
  readonly error?: ErrorBody;
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string };
    readonly finish_reason?: string | null;
  }[];
}

/** State of a streamed request over all its attempts. */
export class ChatStream {
  private readonly onText: ((text: string) => void) | undefined;
  /** Text that was passed to the caller. */
  private deliveredText = '';
  /** Text that the current attempt has received. */
  private attemptText = '';
  private finishReason = '';
  private isDone = false;
  private error: ShedlineError | undefined;

  constructor(onText: ((text: string) => void) | undefined) {
    this.onText = onText;
  }

  /** The response; complete once an attempt has ended without an error. */
  get answer(): ChatAnswer {
    return { text: this.deliveredText, finishReason: this.finishReason };
  }

  /** Starts an attempt. */
  beginAttempt(): void {
    this.attemptText = '';
    this.finishReason = '';
    this.isDone = false;
    this.error = undefined;
  }

  /** Applies the data of a stream event. */
  apply(data: string): void {
    if (data === '[DONE]') {
      this.isDone = this.finishReason !== '';
      return;
    }
    const chunk = JSON.parse(data) as ChatChunk;
    if (chunk.error !== undefined) this.error = errorFromBody(chunk.error);
    const choice = chunk.choices?.[0];
    this.finishReason = choice?.finish_reason ?? this.finishReason;
    const text = choice?.delta?.content ?? '';
    if (text !== '') this.append(text);
  }

  /** Throws unless the attempt has received the whole response. */
  endAttempt({ url, path }: { readonly url: string; readonly path: string }): void {
    if (this.error !== undefined) throw this.error;
    if (!this.isDone) {
      throw new ShedlineError({
        type: 'unavailable',
        message: `${url} ended the response before it was complete`,
        step: path,
        peer: url,
        ran: 'unknown',
      });
    }
    if (this.attemptText !== this.deliveredText) throw createMismatchError();
  }

  private append(text: string): void {
    this.attemptText += text;
    if (!this.attemptText.startsWith(this.deliveredText)) {
      if (this.deliveredText.startsWith(this.attemptText)) return;
      this.error = createMismatchError();
      return;
    }
    const newText = this.attemptText.slice(this.deliveredText.length);
    this.deliveredText = this.attemptText;
    if (newText !== '') this.onText?.(newText);
  }
}

function createMismatchError(): ShedlineError {
  return new ShedlineError({
    type: 'endpoint_failed',
    message: 'the response of the retry differs from the part that was already delivered',
    step: 'continue answer',
    ran: 'yes',
  });
}
