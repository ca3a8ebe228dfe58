/**
 * Splits a stream of server-sent events into whole events, so that a stream that is truncated in
 * the middle of an event can continue at another endpoint.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const LETTER_I = 0x69;
const LETTER_D = 0x64;
const COLON = 0x3a;
const ID_FIELD = 'id:';
const NO_BYTES = Buffer.alloc(0);

/** One complete server-sent event. */
export interface StreamEvent {
  /** Bytes as received, including the blank line that ends the event. */
  readonly bytes: Buffer;
  /** Value of its `id` field; undefined if it has none. */
  readonly id: string | undefined;
}

/** Incremental parser that returns whole events. */
export class EventFramer {
  private partialEvent: Buffer = NO_BYTES;

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.partialEvent.length;
  }

  /** Adds bytes; returns the events that they complete. */
  push(chunk: Buffer): StreamEvent[] {
    const bytes =
      this.partialEvent.length === 0 ? chunk : Buffer.concat([this.partialEvent, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (;;) {
      const event = eventAt(bytes, start);
      if (event === undefined) break;
      events.push(event);
      start += event.bytes.length;
    }
    this.partialEvent = start === bytes.length ? NO_BYTES : bytes.subarray(start);
    return events;
  }
}

/**
 * Returns the event at `start`, which ends with a blank line; undefined if that is not received
 * yet. Its id is read from the bytes in the same pass: decoding and splitting each event for it
 * took most of the time.
 */
function eventAt(bytes: Buffer, start: number): StreamEvent | undefined {
  let id: string | undefined;
  let lineStart = start;
  for (;;) {
    const feed = bytes.indexOf(LINE_FEED, lineStart);
    if (feed === -1) return undefined;
    const length = feed - lineStart;
    const isBlank = length === 0 || (length === 1 && bytes[lineStart] === CARRIAGE_RETURN);
    if (isBlank && feed + 1 - start > 2) return { bytes: bytes.subarray(start, feed + 1), id };
    if (id === undefined && isIdField(bytes, lineStart)) {
      id = bytes.toString('latin1', lineStart + ID_FIELD.length, feed).trim();
    }
    lineStart = feed + 1;
  }
}

/** Whether the line at `lineStart` has the field name `id`. */
function isIdField(bytes: Buffer, lineStart: number): boolean {
  return (
    bytes[lineStart] === LETTER_I &&
    bytes[lineStart + 1] === LETTER_D &&
    bytes[lineStart + 2] === COLON
  );
}

/** Returns the data of an event: the values of its data lines, joined by line feeds. */
export function dataOf(event: StreamEvent): string {
  const values: string[] = [];
  for (const line of event.bytes.toString('utf8').split('\n')) {
    if (!line.startsWith('data:')) continue;
    const value = line.endsWith('\r') ? line.slice(5, -1) : line.slice(5);
    values.push(value.startsWith(' ') ? value.slice(1) : value);
  }
  return values.join('\n');
}
