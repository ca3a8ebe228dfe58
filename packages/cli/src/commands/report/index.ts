/**
 * `shedline report burn`: reports how fast the services consume their error budgets.
 */
import { writeFile } from 'node:fs/promises';
import type { Argv } from 'yargs';
import { print, remoteOptions, withClient } from '../../shared-options.js';

/** Adds the `report` command. */
export function addReport(argv: Argv): Argv {
  return argv.command('report', 'Print reports', (report) =>
    remoteOptions(report)
      .command(
        'burn',
        'Error budget burn rates over 5 minutes, 1 hour and 6 hours',
        (burn) =>
          burn.option('html', {
            type: 'string',
            describe: 'Write an HTML page with plots to this file',
          }),
        (args) =>
          withClient(args, async (client) => {
            const format = args.html !== undefined ? 'html' : args.json ? 'json' : 'table';
            const path = `/v1/report/burn?format=${format}`;
            const text = await client.text({ method: 'GET', path, repeatable: true });
            if (args.html === undefined) print(text.trimEnd());
            else await writeFile(args.html, text);
          }),
      )
      .demandCommand(1, 'report: a report is required: burn'),
  );
}
