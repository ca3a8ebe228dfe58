/**
 * Reads of a socket in batches. Each read wakes the process up, which costs more than parsing what
 * it returns; where nothing waits for the single parts of a response, a few reads per second do.
 */
import type { Socket } from 'node:net';

/**
 * Size of a read from which the next one follows at once: so much data arriving in one interval is
 * limited by the reader and not by the sender.
 */
const LARGE_READ_BYTES = 8192;

/** Sockets that are read in batches. */
export class BatchedReads {
  private readonly intervalMs: number;
  /** Reads that are delayed, by socket. */
  private readonly delayed = new Map<Socket, () => void>();

  /** Creates batches that are read at least `intervalMs` apart. */
  constructor(intervalMs: number) {
    this.intervalMs = intervalMs;
  }

  /** Batches the reads of a socket; must be called before its first read. */
  add(socket: Socket): void {
    const read = socket._read.bind(socket);
    const push = socket.push.bind(socket);
    let earliestReadAtMs = 0;
    let timer: NodeJS.Timeout | undefined;
    const readNow = (): void => {
      clearTimeout(timer);
      timer = undefined;
      this.delayed.delete(socket);
      if (!socket.destroyed) read(0);
    };
    socket.push = (chunk: Buffer | null, encoding?: BufferEncoding): boolean => {
      if (chunk === null || chunk.length >= LARGE_READ_BYTES) return push(chunk, encoding);
      earliestReadAtMs = performance.now() + this.intervalMs;
      push(chunk, encoding);
      // The runtime stops polling the socket until the next call of `_read`.
      return false;
    };
    socket._read = (): void => {
      if (timer !== undefined) return;
      const delayMs = earliestReadAtMs - performance.now();
      if (delayMs <= 0) {
        readNow();
        return;
      }
      this.delayed.set(socket, readNow);
      timer = setTimeout(readNow, delayMs);
    };
    socket.once('close', () => {
      clearTimeout(timer);
      this.delayed.delete(socket);
    });
  }

  /** Reads all sockets now; the data is delivered within the next turn of the event loop. */
  readNow(): void {
    for (const read of [...this.delayed.values()]) read();
  }
}
