/**
 * Options and helpers that the commands share.
 */
import type { Argv } from 'yargs';
import { ShedlineClient } from '@shedline/client';
import { ShedlineError } from '@shedline/errors';

const DEFAULT_URL = 'http://127.0.0.1:7400';

/** Arguments of commands that call a running fleet. */
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

/** Reads the options of {@link remoteOptions} from the arguments of a subcommand. */
export function remoteArguments(args: unknown): RemoteArguments {
  return args as RemoteArguments;
}

/** Creates a client from the options. */
export function createClient(args: RemoteArguments): ShedlineClient {
  if (args.token === undefined) {
    throw usageError('token: pass --token or set SHEDLINE_TOKEN');
  }
  return new ShedlineClient({ urls: args.url.split(','), token: args.token });
}

/** Runs an action with a client and closes the client afterwards. */
export async function withClient(
  args: RemoteArguments,
  action: (client: ShedlineClient) => Promise<void>,
): Promise<void> {
  const client = createClient(args);
  try {
    await action(client);
  } finally {
    await client.close();
  }
}

/** Prints a line to standard output. */
export function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Prints a value as indented JSON. */
export function printJson(value: unknown): void {
  print(JSON.stringify(value, null, 2));
}

/** Creates an error for an invalid command line or input file. */
export function usageError(message: string): ShedlineError {
  return new ShedlineError({
    type: 'invalid_request',
    message,
    step: 'read command line',
    peer: 'command line',
  });
}
