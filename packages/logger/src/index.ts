/**
 * Structured logs: one JSON object per line, on standard error or standard output.
 * Tokens and request bodies must never be logged.
 */
import type { Writable } from 'node:stream';
import winston from 'winston';
import { BoundedStream } from './bounded-stream.js';

/** Log levels accepted in the settings. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug' | 'silent';

/** Fields of a log record; names of durations include the unit. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | readonly string[] | undefined>
>;

/** Writes log records of one instance. */
export interface Logger {
  error(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  debug(message: string, fields?: LogFields): void;
}

/** Output stream of a log. */
export type LogDestination = 'stderr' | 'stdout';

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  readonly level?: LogLevel;
  /** Name of the instance, included in every record. */
  readonly instance?: string;
  readonly destination?: LogDestination;
}

/**
 * Creates a logger that writes JSON lines. If the reader falls behind, lines are dropped, so that
 * logging never blocks the process.
 */
export function createLogger(options: LoggerOptions = {}): Logger {
  const level = options.level ?? 'info';
  const target: Writable = options.destination === 'stdout' ? process.stdout : process.stderr;
  return winston.createLogger({
    level: level === 'silent' ? 'error' : level,
    silent: level === 'silent',
    defaultMeta: options.instance === undefined ? {} : { instance: options.instance },
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [
      // winston's type declarations declare its transports as interfaces, not as classes.
      // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
      new winston.transports.Stream({ stream: new BoundedStream(target) }),
    ],
  });
}

export { createLogger as logger };
export { BoundedStream } from './bounded-stream.js';
