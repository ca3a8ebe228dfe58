/**
 * Parses an uploaded chunk of job items. The whole chunk is validated before any of it is stored,
 * in slices, so that a large chunk does not block the event loop and delay streams.
 */
import { z } from 'zod';
import { invalid } from './http-support.js';

const itemSchema = z.strictObject({
  customId: z.string().min(1).max(512),
  body: z.looseObject({}),
});

/** Number of lines validated before yielding to the event loop. */
const LINES_PER_SLICE = 256;
/** Maximum size of the part of a chunk that one command stores. */
const MAX_PART_BYTES = 256 * 1024;
const MAX_PART_ITEMS = 512;

/** Consecutive items that one command stores. */
export interface ItemPart {
  readonly fromIndex: number;
  readonly lines: readonly string[];
}

/** Validates a chunk and splits it into parts; an error names the invalid line. */
export async function readItemParts(options: {
  readonly body: Buffer;
  readonly fromIndex: number;
  readonly maxItemBytes: number;
}): Promise<ItemPart[]> {
  const lines = splitLines(options.body.toString());
  const customIds = new Set<string>();
  const parts: ItemPart[] = [];
  let part: string[] = [];
  let partBytes = 0;
  for (const [position, line] of lines.entries()) {
    if (position % LINES_PER_SLICE === 0) await yieldToEventLoop();
    checkLine(line, position + 1, options.maxItemBytes, customIds);
    if (part.length >= MAX_PART_ITEMS || partBytes + line.length > MAX_PART_BYTES) {
      parts.push({ fromIndex: options.fromIndex + position - part.length, lines: part });
      part = [];
      partBytes = 0;
    }
    part.push(line);
    partBytes += line.length;
  }
  if (part.length > 0) {
    parts.push({ fromIndex: options.fromIndex + lines.length - part.length, lines: part });
  }
  return parts;
}

function splitLines(text: string): string[] {
  const lines = text.split('\n').map((line) => (line.endsWith('\r') ? line.slice(0, -1) : line));
  if (lines.at(-1) === '') lines.pop();
  return lines;
}

function checkLine(
  line: string,
  lineNumber: number,
  maxItemBytes: number,
  customIds: Set<string>,
): void {
  if (Buffer.byteLength(line) > maxItemBytes) {
    throw invalid(`line ${lineNumber}: the item is larger than ${maxItemBytes} bytes`);
  }
  let value: unknown;
  try {
    value = JSON.parse(line);
  } catch {
    throw invalid(`line ${lineNumber}: is not valid JSON; no item of this chunk was stored`);
  }
  const result = itemSchema.safeParse(value);
  if (!result.success) {
    const issue = result.error.issues[0];
    const field = issue?.path.join('.') ?? '';
    throw invalid(
      `line ${lineNumber}: ${field === '' ? 'item' : field}: ${issue?.message ?? ''}; ` +
        'no item of this chunk was stored',
    );
  }
  const { customId } = result.data;
  if (customIds.has(customId)) {
    throw invalid(`line ${lineNumber}: customId ${customId} occurs twice in this chunk`);
  }
  customIds.add(customId);
}

function yieldToEventLoop(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
