/**
 * `shedline drain`: takes one entry out of service without aborting its open requests.
 */
import type { Argv } from 'yargs';
import { print, remoteOptions, withClient } from '../../shared-options.js';

/** Adds the `drain` command. */
export function addDrain(argv: Argv): Argv {
  return argv.command(
    'drain',
    'Drain the entry at --url; its process exits when its open requests have finished',
    remoteOptions,
    (args) =>
      withClient(args, async (client) => {
        await client.json({ method: 'POST', path: '/v1/drain', repeatable: true });
        print('draining');
      }),
  );
}
