/**
 * `shedline job`: submits, shows and cancels batch jobs.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { readFile } from 'node:fs/promises';
import { SingleBar } from 'cli-progress';
import type { Argv } from 'yargs';
import type { JobItem, ShedlineClient } from '@shedline/client';
import type { JobView } from '@shedline/types';
import {
  print,
  printJson,
  remoteArguments,
  remoteOptions,
  usageError,
  withClient,
} from '../../shared-options.js';

const DEFAULT_DUE_IN_MINUTES = 60;
const MS_PER_MINUTE = 60_000;
const POLL_INTERVAL_MS = 500;

/** Adds the `job` command. */
export function addJob(argv: Argv): Argv {
  return argv.command('job', 'Submit and follow batch jobs', (job) =>
    remoteOptions(job)
      .command(
        'submit <file>',
        'Submit a job from a file of NDJSON items',
        (submit) =>
          submit
            .positional('file', { type: 'string', demandOption: true })
            .option('service', {
              type: 'string',
              demandOption: true,
              describe: 'Service that executes the items',
            })
            .option('key', {
              type: 'string',
              demandOption: true,
              describe: 'Idempotency key of the job; a second submit with it returns the same job',
            })
            .option('due', { type: 'string', describe: 'Due time, ISO 8601; default: in one hour' })
            .option('wait', {
              type: 'boolean',
              default: false,
              describe: 'Wait until the job has ended',
            }),
        (args) =>
          withClient(remoteArguments(args), (client) =>
            submit(client, args, remoteArguments(args).json),
          ),
      )
      .command('status <id>', 'Show a job', idOption, (args) =>
        withClient(remoteArguments(args), async (client) => {
          printJob(await client.job(args.id), remoteArguments(args).json);
        }),
      )
      .command(
        'results <id>',
        'Print the results as NDJSON',
        (results) => idOption(results).option('from', { type: 'number', default: 0 }),
        (args) =>
          withClient(remoteArguments(args), async (client) => {
            process.stdout.write(await client.results(args.id, args.from));
          }),
      )
      .command('cancel <id>', 'Cancel a job', idOption, (args) =>
        withClient(remoteArguments(args), async (client) => {
          printJob(await client.cancelJob(args.id), remoteArguments(args).json);
        }),
      )
      .demandCommand(1, 'job: a command is required: submit, status, results or cancel'),
  );
}

function idOption<T>(argv: Argv<T>): Argv<T & { id: string }> {
  return argv.positional('id', { type: 'string', demandOption: true });
}

async function submit(
  client: ShedlineClient,
  args: { file: string; service: string; key: string; due: string | undefined; wait: boolean },
  json: boolean,
): Promise<void> {
  const items = await readItems(args.file);
  const bar = progressBar('sent {value}/{total}');
  bar?.start(items.length, 0);
  const job = await client.submitJob({
    service: args.service,
    jobKey: args.key,
    dueAtMs: dueAt(args.due),
    items,
    onSent: (sent) => bar?.update(sent),
  });
  bar?.stop();
  if (!args.wait) {
    printJob(job, json);
    return;
  }
  printJob(await waitForEnd(client, job), json);
}

async function waitForEnd(client: ShedlineClient, submitted: JobView): Promise<JobView> {
  const bar = progressBar('ended {value}/{total}');
  bar?.start(submitted.counts.total, 0);
  let job = submitted;
  while (job.state === 'sealed' || job.state === 'open') {
    await pause(POLL_INTERVAL_MS);
    job = await client.job(job.jobId);
    bar?.update(job.counts.total - job.counts.pending);
  }
  bar?.stop();
  return job;
}

/** Creates a progress bar, or returns undefined if standard error is not a terminal. */
function progressBar(text: string): SingleBar | undefined {
  if (!process.stderr.isTTY) return undefined;
  return new SingleBar({ format: `{bar} ${text}`, stream: process.stderr });
}

function dueAt(due: string | undefined): number {
  if (due === undefined) return Date.now() + DEFAULT_DUE_IN_MINUTES * MS_PER_MINUTE;
  const dueAtMs = Date.parse(due);
  if (Number.isNaN(dueAtMs))
    throw usageError('due: must be an ISO 8601 time such as 2027-01-31T18:00:00Z');
  return dueAtMs;
}

async function readItems(file: string): Promise<JobItem[]> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (error) {
    throw usageError(`${file}: ${error instanceof Error ? error.message : String(error)}`);
  }
  return text
    .split('\n')
    .filter((line) => line.trim() !== '')
    .map((line, index) => parseItem(file, line, index + 1));
}

function parseItem(file: string, line: string, lineNumber: number): JobItem {
  try {
    return JSON.parse(line) as JobItem;
  } catch {
    throw usageError(`${file}: line ${lineNumber} is not valid JSON`);
  }
}

function printJob(job: JobView, json: boolean): void {
  if (json) {
    printJson(job);
    return;
  }
  const { counts } = job;
  print(
    `${job.jobId}  ${job.state}  ${counts.completed}/${counts.total} completed, ` +
      `${counts.failed} failed, ${counts.inDoubt} in doubt, ${counts.cancelled} cancelled, ` +
      `${counts.pending} pending${job.predictedLate ? '  (will be late)' : ''}`,
  );
}
