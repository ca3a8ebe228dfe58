/**
 * `shedline drain`: takes one entry out of service without cutting a request.
 */
import type { Argv } from 'yargs';
import { print, remoteOptions, withClient } from '../../shared-options.js';

/** Adds the command. */
export function addDrain(argv: Argv): Argv {
  return argv.command(
    'drain',
    'Drain the entry at --url; its process ends when it is done',
    remoteOptions,
    (args) =>
      withClient(args, async (client) => {
        await client.json({ method: 'POST', path: '/v1/drain', repeatable: true });
        print('draining');
      }),
  );
}
