/**
 * Sends one HTTP request to one address and converts failures to typed errors.
 */
import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { ShedlineError, errorFromBody, provesNotSent } from '@shedline/errors';
import type { ErrorBody } from '@shedline/errors';
import { hasVerifiableEnd } from '@shedline/http-connector';
import type { ExecutionStatus } from '@shedline/types';

/** Options of {@link exchange}. */
export interface ExchangeOptions {
  readonly url: string;
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly token: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  readonly signal?: AbortSignal;
  readonly dispatcher?: Dispatcher;
}

/** A response with a status below 400. */
export interface Exchange {
  readonly status: number;
  /**
   * The body for a reader that recognizes its end by its content. Throws a ShedlineError if the
   * connection breaks; the end of a body without a length or chunks may still be a truncation.
   */
  readonly body: AsyncIterable<Buffer>;
  /** Reads the body; throws a ShedlineError unless its end shows that it is complete. */
  text(): Promise<string>;
}

/**
 * Sends a request. Throws a ShedlineError for an error status or a connection error; its `ran`
 * states whether the request may have been executed.
 */
export async function exchange(options: ExchangeOptions): Promise<Exchange> {
  let response: Dispatcher.ResponseData;
  try {
    response = await request(options.url + options.path, {
      method: options.method,
      headers: { authorization: `Bearer ${options.token}`, ...options.headers },
      ...(options.body === undefined ? {} : { body: options.body }),
      ...(options.signal === undefined ? {} : { signal: options.signal }),
      ...(options.dispatcher === undefined ? {} : { dispatcher: options.dispatcher }),
    });
  } catch (error) {
    throw createConnectionError(error, options);
  }
  const body = readBody(response, options);
  if (response.statusCode >= 400) {
    throw errorOfResponse(response.statusCode, await textOf(body), options);
  }
  const isVerifiable = hasVerifiableEnd({ method: options.method, ...response });
  const text = async (): Promise<string> => {
    const received = await textOf(body);
    if (isVerifiable) return received;
    throw createUnverifiableEndError(options);
  };
  return { status: response.statusCode, body, text };
}

/** Reads a body to its end as text. */
async function textOf(body: AsyncIterable<Buffer>): Promise<string> {
  const parts: Buffer[] = [];
  for await (const bytes of body) parts.push(bytes);
  return Buffer.concat(parts).toString();
}

async function* readBody(
  { body }: Dispatcher.ResponseData,
  options: ExchangeOptions,
): AsyncGenerator<Buffer> {
  try {
    for await (const bytes of body) yield bytes as Buffer;
  } catch (error) {
    throw createConnectionError(error, options);
  }
}

/** Creates the error for a connection error; `ran` is 'no' if the request was provably not sent. */
export function createConnectionError(error: unknown, options: ExchangeOptions): ShedlineError {
  const code = (error as { code?: string }).code ?? '';
  const ran: ExecutionStatus = provesNotSent(error) ? 'no' : 'unknown';
  const reason = error instanceof Error ? error.message : String(error);
  return new ShedlineError({
    type: 'unavailable',
    message: `${options.url}: ${reason === '' ? code : reason}`,
    step: `${options.method} ${options.path}`,
    peer: options.url,
    ran,
    cause: error,
  });
}

/** Creates the error for a body that ends with its connection, as no entry sends it. */
function createUnverifiableEndError({ url, method, path }: ExchangeOptions): ShedlineError {
  return new ShedlineError({
    type: 'unavailable',
    message:
      `${url} responded with neither a length nor chunks, so that its response may be truncated; ` +
      'a proxy before the entries has to keep the framing of their responses',
    step: `${method} ${path}`,
    peer: url,
    ran: 'unknown',
  });
}

function errorOfResponse(status: number, text: string, options: ExchangeOptions): ShedlineError {
  try {
    const { error, ...details } = JSON.parse(text) as { error: ErrorBody };
    return errorFromBody({ ...error, details });
  } catch {
    return new ShedlineError({
      type: 'internal',
      message: `${options.url} responded with status ${status}`,
      step: `${options.method} ${options.path}`,
      peer: options.url,
      ran: 'unknown',
    });
  }
}
