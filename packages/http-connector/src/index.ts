/**
 * Connections of the HTTP client that report a reset as an error.
 */
import { buildConnector } from 'undici';

/** A connector that gives up opening a connection after `timeoutMs`. */
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
 * The client takes an answer without a length for complete when its connection is reset
 * (`ECONNRESET`); only one that was closed in order is. Under another code it reports the error.
 */
function relabelReset(error: NodeJS.ErrnoException): void {
  if (error.code === 'ECONNRESET') error.code = 'CONNECTION_RESET';
}
