/**
 * `shedline settings`: checks a settings file, hashes a token, prints the JSON Schema.
 */
import type { Argv } from 'yargs';
import { readSettings, settingsJsonSchema } from '@shedline/config';
import { sha256Hex } from '@shedline/types';
import { print, printJson } from '../../shared-options.js';

/** Adds the `settings` command. */
export function addSettings(argv: Argv): Argv {
  return argv.command('settings', 'Check and prepare settings', (settings) =>
    settings
      .command(
        'check <file>',
        'Check a settings file',
        (check) => check.positional('file', { type: 'string', demandOption: true }),
        async ({ file }) => {
          await checkFile(file);
        },
      )
      .command('schema', 'Print the JSON Schema of the settings', {}, () => {
        printJson(settingsJsonSchema());
      })
      .command(
        'hash-token <token>',
        'Print the SHA-256 hash of a token, as the settings need it',
        (hash) => hash.positional('token', { type: 'string', demandOption: true }),
        ({ token }) => {
          print(sha256Hex(token));
        },
      )
      .demandCommand(1, 'settings: a command is required: check, schema or hash-token'),
  );
}

async function checkFile(file: string): Promise<void> {
  const settings = await readSettings(file);
  if (settings.isErr) throw settings.error;
  print(`${file}: accepted (instance ${settings.value.name})`);
}
