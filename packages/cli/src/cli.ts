/**
 * The command line of shedline.
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

/** Runs a command line; gives the exit code. */
export async function cli(argv: readonly string[]): Promise<number> {
  let usage: string | undefined;
  const parser = yargs([...argv])
    .scriptName('shedline')
    .strict()
    .demandCommand(1, 'name a command; see shedline --help')
    .fail((message: string | null, error: Error | undefined) => {
      if (error !== undefined) throw error;
      usage = message ?? 'the command line is not accepted';
      throw new Error(usage);
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
  for (const add of commands) add(parser);
  try {
    await parser.parseAsync();
    return typeof process.exitCode === 'number' ? process.exitCode : EXIT_OK;
  } catch (thrown) {
    const error = toShedlineError(thrown, { step: 'run command', peer: 'command line' });
    process.stderr.write(`shedline: ${error.message}\n`);
    return usage === undefined ? exitCodeOf(error) : EXIT_USAGE;
  }
}
