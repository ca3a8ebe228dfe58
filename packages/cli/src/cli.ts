/**
 * Parses and runs the shedline command line.
 */
import yargs from 'yargs';
import { toShedlineError } from '@shedline/errors';
import { addControl } from './commands/control/index.js';
import { addDev } from './commands/dev/index.js';
import { addDrain } from './commands/drain/index.js';
import { addEntry } from './commands/entry/index.js';
import { addJob } from './commands/job/index.js';
import { addReport } from './commands/report/index.js';
import { addSettings } from './commands/settings/index.js';
import { addStatus } from './commands/status/index.js';
import { addTable } from './commands/table/index.js';
import { EXIT_OK, EXIT_USAGE, exitCodeOf } from './exit-codes.js';

/** Runs a command line and returns its exit code. Errors are written to standard error. */
export async function cli(argv: readonly string[]): Promise<number> {
  let usageMessage: string | undefined;
  const parser = yargs([...argv])
    .scriptName('shedline')
    .strict()
    .demandCommand(1, 'a command is required; see shedline --help')
    .fail((message: string | null, error: Error | undefined) => {
      if (error !== undefined) throw error;
      usageMessage = message ?? 'the command line is invalid';
      throw new Error(usageMessage);
    });
  const commands = [
    addDev,
    addEntry,
    addControl,
    addTable,
    addJob,
    addStatus,
    addDrain,
    addReport,
    addSettings,
  ];
  for (const addCommand of commands) addCommand(parser);
  try {
    await parser.parseAsync();
    return typeof process.exitCode === 'number' ? process.exitCode : EXIT_OK;
  } catch (thrown) {
    const error = toShedlineError(thrown, { step: 'run command', peer: 'command line' });
    process.stderr.write(`shedline: ${error.message}\n`);
    return usageMessage === undefined ? exitCodeOf(error) : EXIT_USAGE;
  }
}
