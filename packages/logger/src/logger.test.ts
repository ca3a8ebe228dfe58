import { Writable } from 'node:stream';
import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { BoundedStream } from './bounded-stream.js';

/** A writable stream that completes a write only when `acceptLine` is called. */
class SlowReader extends Writable {
  readonly lines: string[] = [];
  private completeWrite: (() => void) | undefined;

  override _write(line: Buffer, _encoding: string, done: () => void): void {
    this.lines.push(line.toString());
    this.completeWrite = done;
  }

  acceptLine(): void {
    const { completeWrite } = this;
    this.completeWrite = undefined;
    completeWrite?.();
  }
}

describe('bounded stream', () => {
  test(title('drops lines while the reader is behind and reports how many'), (t) => {
    const reader = new SlowReader();
    const stream = new BoundedStream(reader, { maxBufferedBytes: 10 });
    for (let line = 0; line < 5; line += 1) stream.write(`line ${line}\n`);
    while (reader.writableLength > 0) reader.acceptLine();
    stream.write('after\n');
    while (reader.writableLength > 0) reader.acceptLine();
    t.deepEqual(reader.lines.slice(0, 2), ['line 0\n', 'line 1\n']);
    t.like(JSON.parse(reader.lines[2] ?? '') as object, { droppedLines: 3 });
    t.is(reader.lines[3], 'after\n');
  });
});
