/**
 * `shedline dev`: runs a control instance and an entry in one process, with stand-in endpoints,
 * for trying shedline out locally.
 */
import type { Argv } from 'yargs';
import { DevFleet } from '../../dev-fleet.js';
import { print } from '../../shared-options.js';
import { stopOnSignal } from '../../stop-signal.js';

const DEFAULT_PORT = 7400;

/** Adds the `dev` command. */
export function addDev(argv: Argv): Argv {
  return argv.command(
    'dev',
    'Run everything in one process, on 127.0.0.1, with stand-in endpoints',
    (options) =>
      options
        .option('port', { type: 'number', default: DEFAULT_PORT, describe: 'Port for callers' })
        .option('data-dir', {
          type: 'string',
          default: process.env.SHEDLINE_DATA_DIR ?? './data',
          describe: 'Data directory (SHEDLINE_DATA_DIR)',
        })
        .option('log-level', {
          choices: ['error', 'warn', 'info', 'debug', 'silent'] as const,
          default: 'warn' as const,
          describe: 'Minimum log level',
        }),
    async ({ port, dataDir, logLevel }) => {
      const fleet = new DevFleet({ port, dataDir, logLevel });
      stopOnSignal(fleet.logger, () => fleet.stop());
      await fleet.start();
      print(`shedline dev ready on ${fleet.url} (token: dev)`);
    },
  );
}
