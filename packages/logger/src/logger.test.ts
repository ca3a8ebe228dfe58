import { Writable } from 'node:stream';
import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { BoundedStream } from './bounded-stream.js';

/** A reader that takes nothing until it is let go. */
class SlowReader extends Writable {
  readonly lines: string[] = [];
  private release: (() => void) | undefined;

  override _write(line: Buffer, _encoding: string, done: () => void): void {
    this.lines.push(line.toString());
    this.release = done;
  }

  goOn(): void {
    const { release } = this;
    this.release = undefined;
    release?.();
  }
}

describe('bounded stream', () => {
  test(title('drops lines while the reader is behind, and says how many'), (t) => {
    const reader = new SlowReader();
    const stream = new BoundedStream(reader, { maxWaitingBytes: 10 });
    for (let line = 0; line < 5; line += 1) stream.write(`line ${line}\n`);
    while (reader.writableLength > 0) reader.goOn();
    stream.write('after\n');
    while (reader.writableLength > 0) reader.goOn();
    t.deepEqual(reader.lines.slice(0, 2), ['line 0\n', 'line 1\n']);
    t.like(JSON.parse(reader.lines[2] ?? '') as object, { droppedLines: 3 });
    t.is(reader.lines[3], 'after\n');
  });
});
