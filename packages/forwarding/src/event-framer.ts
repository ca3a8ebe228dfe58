/**
 * Splits a stream of server-sent events into whole events, so that a stream that breaks off in
 * the middle of one can go on elsewhere.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** One whole event. */
export interface StreamEvent {
  /** Bytes as received, with the blank line that ends the event. */
  readonly bytes: Buffer;
  /** Its id; undefined where it has none. */
  readonly id: string | undefined;
}

/** Takes bytes and gives whole events. */
export class EventFramer {
  private rest: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not whole yet. */
  get pendingBytes(): number {
    return this.rest.length;
  }

  /** Takes more bytes; gives the events that became whole. */
  take(chunk: Buffer): StreamEvent[] {
    const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (;;) {
      const end = endOfEvent(bytes, start);
      if (end === -1) break;
      const event = bytes.subarray(start, end);
      events.push({ bytes: event, id: fieldOf(event, 'id') });
      start = end;
    }
    this.rest = bytes.subarray(start);
    return events;
  }
}

/** Offset behind the blank line that ends the event at `start`; -1 where it is not there yet. */
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

/** Value of the first line with this field name. */
function fieldOf(event: Buffer, name: string): string | undefined {
  for (const line of event.toString('latin1').split('\n')) {
    if (line.startsWith(`${name}:`)) return line.slice(name.length + 1).trim();
  }
  return undefined;
}

/** The data of an event: the values of its data lines, joined by line feeds. */
export function dataOf(event: StreamEvent): string {
  const values: string[] = [];
  for (const line of event.bytes.toString('utf8').split('\n')) {
    if (!line.startsWith('data:')) continue;
    const value = line.endsWith('\r') ? line.slice(5, -1) : line.slice(5);
    values.push(value.startsWith(' ') ? value.slice(1) : value);
  }
  return values.join('\n');
}
