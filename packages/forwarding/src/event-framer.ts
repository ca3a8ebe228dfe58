/**
 * Splits a stream of server-sent events into whole events, so that a stream that is truncated in
 * the middle of an event can continue at another endpoint.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** One complete server-sent event. */
export interface StreamEvent {
  /** Bytes as received, including the blank line that ends the event. */
  readonly bytes: Buffer;
  /** Value of its `id` field; undefined if it has none. */
  readonly id: string | undefined;
}

/** Incremental parser that returns whole events. */
export class EventFramer {
  private partialEvent: Buffer = Buffer.alloc(0);

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
      const end = endOfEvent(bytes, start);
      if (end === -1) break;
      const event = bytes.subarray(start, end);
      events.push({ bytes: event, id: fieldOf(event, 'id') });
      start = end;
    }
    this.partialEvent = bytes.subarray(start);
    return events;
  }
}

/**
 * Returns the offset after the blank line that ends the event at `start`; -1 if it is not received
 * yet.
 */
function endOfEvent(bytes: Buffer, start: number): number {
  let lineStart = start;
  for (;;) {
    const feed = bytes.indexOf(LINE_FEED, lineStart);
    if (feed === -1) return -1;
    const length = feed - lineStart;
    const isBlank = length === 0 || (length === 1 && bytes[lineStart] === CARRIAGE_RETURN);
    if (isBlank && feed + 1 - start > 2) return feed + 1;
    lineStart = feed + 1;
  }
}

/** Returns the value of the first line with this field name. */
function fieldOf(event: Buffer, name: string): string | undefined {
  for (const line of event.toString('latin1').split('\n')) {
    if (line.startsWith(`${name}:`)) return line.slice(name.length + 1).trim();
  }
  return undefined;
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
