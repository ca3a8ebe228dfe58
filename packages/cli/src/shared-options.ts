/**
 * Options and helpers that the commands share.
 */
import type { Argv } from 'yargs';
import { ShedlineClient } from '@shedline/client';
import { ShedlineError } from '@shedline/errors';

const DEFAULT_URL = 'http://127.0.0.1:7400';

/** Options of commands that call a running fleet. */
export interface RemoteArguments {
  readonly url: string;
  readonly token: string | undefined;
  readonly json: boolean;
}

/** Adds the options of commands that call a running fleet. */
export function remoteOptions<T>(argv: Argv<T>): Argv<T & RemoteArguments> {
  return argv
    .option('url', {
      type: 'string',
      default: process.env.SHEDLINE_URL ?? DEFAULT_URL,
      describe: 'Addresses of entries, separated by commas (SHEDLINE_URL)',
    })
    .option('token', {
      type: 'string',
      default: process.env.SHEDLINE_TOKEN,
      defaultDescription: 'SHEDLINE_TOKEN',
      describe: 'Bearer token',
    })
    .option('json', { type: 'boolean', default: false, describe: 'Print JSON' });
}

/** The options of {@link remoteOptions} among the arguments of a command below it. */
export function remoteOf(args: unknown): RemoteArguments {
  return args as RemoteArguments;
}

/** A client by the options. */
export function clientOf(args: RemoteArguments): ShedlineClient {
  if (args.token === undefined) {
    throw usageError('token: give --token or set SHEDLINE_TOKEN');
  }
  return new ShedlineClient({ urls: args.url.split(','), token: args.token });
}

/** Runs a command with a client and closes it afterwards. */
export async function withClient(
  args: RemoteArguments,
  work: (client: ShedlineClient) => Promise<void>,
): Promise<void> {
  const client = clientOf(args);
  try {
    await work(client);
  } finally {
    await client.close();
  }
}

/** Prints a line on standard output. */
export function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Prints a value as JSON. */
export function printJson(value: unknown): void {
  print(JSON.stringify(value, null, 2));
}

/** An error of the person at the command line. */
export function usageError(message: string): ShedlineError {
  return new ShedlineError({
    type: 'invalid_request',
    message,
    step: 'read command line',
    peer: 'command line',
  });
}
