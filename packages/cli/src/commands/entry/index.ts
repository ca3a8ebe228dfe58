/**
 * `shedline entry`: runs the entry daemon.
 */
import type { Argv } from 'yargs';
import { readSettings } from '@shedline/config';
import { ControlClient, RemoteControlPort } from '@shedline/control-client';
import { EntryNode } from '@shedline/entry';
import { createLogger } from '@shedline/logger';
import { print, usageError } from '../../shared-options.js';
import { stopOnSignal } from '../../stop-signal.js';

/** Adds the `entry` command. */
export function addEntry(argv: Argv): Argv {
  return argv.command(
    'entry',
    'Run an entry instance',
    (options) =>
      options.option('settings', { type: 'string', demandOption: true, describe: 'Settings file' }),
    async ({ settings }) => {
      await runEntry(settings);
    },
  );
}

async function runEntry(file: string): Promise<void> {
  const read = await readSettings(file);
  if (read.isErr) throw read.error;
  const settings = read.value;
  const { entry } = settings;
  if (entry === undefined) throw usageError(`${file}: entry: required for an entry instance`);
  const logger = createLogger({ level: settings.logLevel, instance: settings.name });
  const ports = entry.controls.map(
    (peer) => new RemoteControlPort({ name: settings.name, secret: settings.instanceSecret, peer }),
  );
  const control = new ControlClient({ ports });
  const node = new EntryNode({ settings, entry, control, logger });
  stopOnSignal(logger, async () => {
    await node.drain();
    control.close();
  });
  await node.start();
  print(`shedline entry ${settings.name} ready on ${node.address}`);
}
