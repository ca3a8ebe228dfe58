/**
 * The error class of shedline. Each error carries the step that failed, the peer involved, whether
 * the request was executed, and the HTTP status returned to the caller.
 */
import type { ExecutionStatus } from '@shedline/types';

/** Machine-readable error types. */
export type ErrorType =
  | 'invalid_request'
  | 'unauthorized'
  | 'not_found'
  | 'conflict'
  | 'too_large'
  | 'limit_reached'
  | 'overloaded'
  | 'unavailable'
  | 'deadline_exceeded'
  | 'in_progress'
  | 'in_doubt'
  | 'endpoint_failed'
  | 'corrupt_storage'
  | 'internal';

const STATUS_BY_TYPE: Readonly<Record<ErrorType, number>> = {
  invalid_request: 400,
  unauthorized: 401,
  not_found: 404,
  conflict: 409,
  too_large: 413,
  limit_reached: 429,
  overloaded: 503,
  unavailable: 503,
  deadline_exceeded: 504,
  in_progress: 409,
  in_doubt: 409,
  endpoint_failed: 502,
  corrupt_storage: 500,
  internal: 500,
};

/** Options of a {@link ShedlineError}. */
export interface ShedlineErrorOptions {
  readonly type: ErrorType;
  readonly message: string;
  /** Operation that failed. */
  readonly step: string;
  /** Other party of the operation: an instance, an endpoint, a file or the caller. */
  readonly peer?: string;
  /** Whether the request was executed; `no` if omitted. */
  readonly ran?: ExecutionStatus;
  readonly retryAfterMs?: number;
  readonly cause?: unknown;
  /** Additional data for the caller, such as the current row after a conflict. */
  readonly details?: Readonly<Record<string, unknown>>;
}

/** The JSON form of an error on the wire. */
export interface ErrorBody {
  readonly type: ErrorType;
  readonly message: string;
  readonly step: string;
  readonly peer: string;
  readonly ran: ExecutionStatus;
  readonly retryAfterMs?: number;
  readonly details?: Readonly<Record<string, unknown>>;
}

/** An error that reports its step, its peer and whether the request was executed. */
export class ShedlineError extends Error {
  readonly type: ErrorType;
  readonly step: string;
  readonly peer: string;
  readonly ran: ExecutionStatus;
  readonly retryAfterMs: number | undefined;
  readonly details: Readonly<Record<string, unknown>> | undefined;

  constructor(options: ShedlineErrorOptions) {
    super(options.message, { cause: options.cause });
    this.name = 'ShedlineError';
    this.type = options.type;
    this.step = options.step;
    this.peer = options.peer ?? 'none';
    this.ran = options.ran ?? 'no';
    this.retryAfterMs = options.retryAfterMs;
    this.details = options.details;
  }

  /** HTTP status of this error's type. */
  get status(): number {
    return STATUS_BY_TYPE[this.type];
  }

  /** Returns the form that is sent to callers and between instances. */
  toBody(): ErrorBody {
    return {
      type: this.type,
      message: this.message,
      step: this.step,
      peer: this.peer,
      ran: this.ran,
      ...(this.retryAfterMs === undefined ? {} : { retryAfterMs: this.retryAfterMs }),
      ...(this.details === undefined ? {} : { details: this.details }),
    };
  }
}

/** Rebuilds an error from its wire form. */
export function errorFromBody(body: ErrorBody): ShedlineError {
  return new ShedlineError(body);
}

/** Codes of errors that occur before the first byte of a request is sent. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Whether a connection error proves that no byte of the request was sent. */
export function provesNotSent(error: unknown): boolean {
  return NOT_SENT_CODES.has((error as { code?: string }).code ?? '');
}

/** Converts any thrown value to a {@link ShedlineError}; returns one unchanged. */
export function toShedlineError(
  error: unknown,
  context: { readonly step: string; readonly peer?: string; readonly ran?: ExecutionStatus },
): ShedlineError {
  if (error instanceof ShedlineError) return error;
  const message = error instanceof Error ? error.message : String(error);
  return new ShedlineError({ type: 'internal', message, cause: error, ...context });
}
