/**
 * Structured logs: one JSON object a line, on standard error or standard output.
 * Tokens and bodies of requests never go into a log.
 */
import type { Writable } from 'node:stream';
import winston from 'winston';
import { BoundedStream } from './bounded-stream.js';

/** Levels that settings accept. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug' | 'silent';

/** Fields of a log line; durations carry their unit in the name. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | readonly string[] | undefined>
>;

/** A log that knows which instance writes it. */
export interface Logger {
  error(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  debug(message: string, fields?: LogFields): void;
}

/** Where log lines go. */
export type LogDestination = 'stderr' | 'stdout';

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  readonly level?: LogLevel;
  /** Name of the instance, written on every line. */
  readonly instance?: string;
  readonly destination?: LogDestination;
}

/** A logger that writes JSON lines. A reader that falls behind loses lines, never time. */
export function createLogger(options: LoggerOptions = {}): Logger {
  const level = options.level ?? 'info';
  const target: Writable = options.destination === 'stdout' ? process.stdout : process.stderr;
  return winston.createLogger({
    level: level === 'silent' ? 'error' : level,
    silent: level === 'silent',
    defaultMeta: options.instance === undefined ? {} : { instance: options.instance },
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [
      // The types of winston declare its transports as interfaces, not as classes.
      // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
      new winston.transports.Stream({ stream: new BoundedStream(target) }),
    ],
  });
}

export { createLogger as logger };
export { BoundedStream } from './bounded-stream.js';
