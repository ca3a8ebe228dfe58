/**
 * A stream in front of a log destination that drops lines instead of waiting for a slow reader.
 */
import { Writable } from 'node:stream';

/** Maximum number of bytes buffered for the reader. */
const DEFAULT_MAX_BUFFERED_BYTES = 256 * 1024;

/** Options of {@link BoundedStream}. */
export interface BoundedStreamOptions {
  readonly maxBufferedBytes?: number;
}

/**
 * Writes lines to the target while its buffer is below the limit. Counts the dropped lines, and
 * writes a record with their number before the next line that is accepted.
 */
export class BoundedStream extends Writable {
  private readonly target: Writable;
  private readonly maxBufferedBytes: number;
  private droppedLines = 0;

  constructor(target: Writable, options: BoundedStreamOptions = {}) {
    super({ decodeStrings: false });
    this.target = target;
    this.maxBufferedBytes = options.maxBufferedBytes ?? DEFAULT_MAX_BUFFERED_BYTES;
  }

  override _write(line: string | Buffer, _encoding: string, done: () => void): void {
    if (this.target.writableLength > this.maxBufferedBytes) {
      this.droppedLines += 1;
    } else {
      this.reportDropped();
      this.target.write(line);
    }
    done();
  }

  private reportDropped(): void {
    if (this.droppedLines === 0) return;
    const droppedLines = this.droppedLines;
    this.droppedLines = 0;
    const record = { level: 'warn', message: 'log lines dropped', step: 'log', droppedLines };
    this.target.write(`${JSON.stringify(record)}\n`);
  }
}
