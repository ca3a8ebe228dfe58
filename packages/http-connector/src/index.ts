/**
 * Connector for the HTTP client undici that reports a connection reset as an error.
 */
import { buildConnector } from 'undici';

/** Returns a connector that stops opening a connection after `timeoutMs`. */
export function connectorWithin(timeoutMs: number): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs });
  return (options, callback) => {
    connect(options, (...result) => {
      const [error, socket] = result;
      if (error === null) socket.prependListener('error', relabelReset);
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
