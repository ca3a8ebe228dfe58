/**
 * Tells how the end of a response body shows.
 */

const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;
const LAST_CODING_IS_CHUNKED = /(?:^|,)[ \t]*chunked[ \t]*$/i;

/** Response headers by name in lower case. */
export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Parts of a response that determine whether it has a body, and where that ends. */
export interface ResponseFraming {
  readonly method: string;
  readonly statusCode: number;
  readonly headers: ResponseHeaders;
}

/**
 * Returns whether a body with these headers ends with its connection: it has no length, and chunks
 * are not its last transfer coding. The end of such a body is no evidence that it is complete, since
 * the connections of a process that ends are closed in order.
 */
export function endsWithConnection(headers: ResponseHeaders): boolean {
  const codings = headers['transfer-encoding'];
  if (codings !== undefined) return !LAST_CODING_IS_CHUNKED.test(String(codings));
  return headers['content-length'] === undefined;
}

/** Returns whether the end of a response shows that it is complete. */
export function hasVerifiableEnd({ method, statusCode, headers }: ResponseFraming): boolean {
  const hasNoBody =
    method === 'HEAD' || statusCode === STATUS_NO_CONTENT || statusCode === STATUS_NOT_MODIFIED;
  return hasNoBody || !endsWithConnection(headers);
}
