/**
 * `shedline report burn`: how fast the services spend their error budgets.
 */
import { writeFile } from 'node:fs/promises';
import type { Argv } from 'yargs';
import { print, remoteOptions, withClient } from '../../shared-options.js';

/** Adds the command. */
export function addReport(argv: Argv): Argv {
  return argv.command('report', 'Reports', (report) =>
    remoteOptions(report)
      .command(
        'burn',
        'Service-level burn over 5 minutes, 1 hour and 6 hours',
        (burn) =>
          burn.option('html', { type: 'string', describe: 'Write a page with plots to this file' }),
        (args) =>
          withClient(args, async (client) => {
            const format = args.html !== undefined ? 'html' : args.json ? 'json' : 'table';
            const path = `/v1/report/burn?format=${format}`;
            const text = await client.text({ method: 'GET', path, repeatable: true });
            if (args.html === undefined) print(text.trimEnd());
            else await writeFile(args.html, text);
          }),
      )
      .demandCommand(1, 'report: name a report: burn'),
  );
}
