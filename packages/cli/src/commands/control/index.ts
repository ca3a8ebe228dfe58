/**
 * `shedline control`: runs the control daemon.
 */
import type { Argv } from 'yargs';
import { ControlNode } from '@shedline/control';
import { readSettings } from '@shedline/config';
import { createLogger } from '@shedline/logger';
import { print, usageError } from '../../shared-options.js';
import { stopOnSignal } from '../../stop-signal.js';

/** Adds the `control` command. */
export function addControl(argv: Argv): Argv {
  return argv.command(
    'control',
    'Run a control instance',
    (options) =>
      options.option('settings', { type: 'string', demandOption: true, describe: 'Settings file' }),
    async ({ settings }) => {
      await runControl(settings);
    },
  );
}

async function runControl(file: string): Promise<void> {
  const read = await readSettings(file);
  if (read.isErr) throw read.error;
  const settings = read.value;
  const { control } = settings;
  if (control === undefined) throw usageError(`${file}: control: required for a control instance`);
  const logger = createLogger({ level: settings.logLevel, instance: settings.name });
  const node = new ControlNode({ settings, control, logger });
  stopOnSignal(logger, () => node.stop());
  await node.start();
  print(`shedline control ${settings.name} ready on ${control.listenHost}:${control.listenPort}`);
}
