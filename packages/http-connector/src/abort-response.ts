/**
 * Ends a response that cannot be completed.
 */
import type { ServerResponse } from 'node:http';

/**
 * Closes the connection of a response whose head was sent, so that its body does not look complete.
 * A body in chunks lacks its last chunk then. Any other body may end with its connection, as in
 * HTTP/1.0, where only a reset shows that it is truncated.
 */
export function abortResponse(response: ServerResponse): void {
  if (response.chunkedEncoding) response.destroy();
  else response.socket?.resetAndDestroy();
}
