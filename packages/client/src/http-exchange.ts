/**
 * One HTTP exchange with one address.
 */
import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { ShedlineError, errorFromBody, provesNotSent } from '@shedline/errors';
import type { ErrorBody } from '@shedline/errors';
import type { Ran } from '@shedline/types';

/** A request to an entry. */
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

/** A successful answer. */
export interface Exchange {
  readonly status: number;
  readonly body: Dispatcher.ResponseData['body'];
}

/** Sends a request; a refusal or a broken connection is thrown with what is known of it. */
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
    throw connectionError(error, options);
  }
  if (response.statusCode < 400) return { status: response.statusCode, body: response.body };
  throw refusalOf(response.statusCode, await response.body.text(), options);
}

/** An error of a connection, with what it proves about the request. */
export function connectionError(error: unknown, options: ExchangeOptions): ShedlineError {
  const code = (error as { code?: string }).code ?? '';
  const ran: Ran = provesNotSent(error) ? 'no' : 'unknown';
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

function refusalOf(status: number, text: string, options: ExchangeOptions): ShedlineError {
  try {
    const { error, ...details } = JSON.parse(text) as { error: ErrorBody };
    return errorFromBody({ ...error, details });
  } catch {
    return new ShedlineError({
      type: 'internal',
      message: `${options.url} answered ${status}`,
      step: `${options.method} ${options.path}`,
      peer: options.url,
      ran: 'unknown',
    });
  }
}
