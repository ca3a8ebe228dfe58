/**
 * A stream in front of a log's destination that drops lines rather than wait for a reader.
 */
import { Writable } from 'node:stream';

/** Bytes that may wait for the reader. */
const DEFAULT_MAX_WAITING_BYTES = 256 * 1024;

/** Options of {@link BoundedStream}. */
export interface BoundedStreamOptions {
  readonly maxWaitingBytes?: number;
}

/** Passes lines on while few wait; counts what it drops and says so once there is room again. */
export class BoundedStream extends Writable {
  private readonly target: Writable;
  private readonly maxWaitingBytes: number;
  private droppedLines = 0;

  constructor(target: Writable, options: BoundedStreamOptions = {}) {
    super({ decodeStrings: false });
    this.target = target;
    this.maxWaitingBytes = options.maxWaitingBytes ?? DEFAULT_MAX_WAITING_BYTES;
  }

  override _write(line: string | Buffer, _encoding: string, done: () => void): void {
    if (this.target.writableLength > this.maxWaitingBytes) {
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
