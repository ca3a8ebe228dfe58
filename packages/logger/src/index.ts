/**
 * Structured logs: one JSON object a line on standard error.
 * Tokens and bodies of requests never go into a log.
 */
import winston from 'winston';

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

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  readonly level?: LogLevel;
  /** Name of the instance, written on every line. */
  readonly instance?: string;
}

/** A logger that writes JSON lines to standard error. */
export function createLogger(options: LoggerOptions = {}): Logger {
  const level = options.level ?? 'info';
  return winston.createLogger({
    level: level === 'silent' ? 'error' : level,
    silent: level === 'silent',
    defaultMeta: options.instance === undefined ? {} : { instance: options.instance },
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [
      // The types of winston declare its transports as interfaces, not as classes.
      // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
      new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] }),
    ],
  });
}

export { createLogger as logger };
