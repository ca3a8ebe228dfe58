/**
 * Connector for the HTTP client undici that reports a connection reset as an error.
 */
import type { Socket } from 'node:net';
import { buildConnector } from 'undici';
import type { BatchedReads } from './batched-reads.js';

/**
 * Returns a connector that stops opening a connection after `timeoutMs`. Its sockets are read in
 * batches if `batchedReads` is given.
 */
export function connectorWithin(
  timeoutMs: number,
  batchedReads?: BatchedReads,
): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs });
  return (options, callback) => {
    connect(options, (...result) => {
      const [error, socket] = result;
      if (error === null) {
        socket.prependListener('error', relabelReset);
        batchedReads?.add(socket);
        verifyEndOfInput(socket);
      }
      callback(...result);
    });
  };
}

/**
 * Replaces the error code `ECONNRESET`. With that code the client treats a response without a
 * length as complete, although it is complete only if its connection was closed in order; with any
 * other code the client reports the error.
 */
function relabelReset(error: NodeJS.ErrnoException): void {
  if (error.code === 'ECONNRESET') error.code = 'CONNECTION_RESET';
}

/**
 * Ends the socket's input only after an orderly close. If the last bytes and a reset are both
 * pending when the runtime polls the socket, it reports an end of input and no error, and the
 * client would take a truncated response without a length for complete. A write still reveals the
 * reset, and destroys the socket with that error.
 */
function verifyEndOfInput(socket: Socket): void {
  const push = socket.push.bind(socket);
  const endInput = deferUntilRead(socket, () => {
    push(null);
  });
  socket.push = (chunk: unknown, encoding?: BufferEncoding): boolean => {
    if (chunk !== null || !socket.writable) return push(chunk, encoding);
    // An empty write would wait for pending writes, which a peer that only closed its side may
    // never read. After a reset they fail before the next turn of the event loop.
    if (socket.writableLength > 0) setImmediate(endInput);
    else socket.write('', endInput);
    return false;
  };
}

/**
 * Returns a function that calls `endInput` once all input of the socket was read, unless the socket is
 * destroyed before. The client throws if it reads the last bytes together with the end of the input
 * and is paused by them.
 */
function deferUntilRead(socket: Socket, endInput: () => void): () => void {
  const read = socket.read.bind(socket);
  let isEndDue = false;
  const endIfRead = (): void => {
    isEndDue = socket.readableLength > 0;
    if (!isEndDue && !socket.destroyed) endInput();
  };
  socket.read = (size?: number): unknown => {
    const chunk: unknown = read(size);
    // The client puts back what it does not parse of the chunk before the next tick.
    if (isEndDue) process.nextTick(endIfRead);
    isEndDue = false;
    return chunk;
  };
  return endIfRead;
}
