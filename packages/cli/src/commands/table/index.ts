/**
 * `shedline table`: shows and edits the table of service weights and limits.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { randomUUID } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import type { Argv } from 'yargs';
import type { ShedlineClient } from '@shedline/client';
import type { ServiceRow } from '@shedline/types';
import { EXIT_DIFFERS } from '../../exit-codes.js';
import {
  print,
  printJson,
  remoteArguments,
  remoteOptions,
  usageError,
  withClient,
} from '../../shared-options.js';

const POLL_INTERVAL_MS = 500;
const IN_FORCE_TIMEOUT_MS = 20_000;

interface TableAnswer {
  readonly revision: number;
  readonly models: readonly string[];
  readonly rows: readonly ServiceRow[];
}

interface DiffAnswer {
  readonly revision: number;
  readonly diff: readonly {
    readonly row: string;
    readonly before: unknown;
    readonly after: unknown;
  }[];
}

interface InForceAnswer {
  readonly inForce: string;
  readonly confirmed: readonly string[];
  readonly missing: readonly string[];
}

/** Adds the `table` command. */
export function addTable(argv: Argv): Argv {
  return argv.command('table', 'Show and change the table', (table) =>
    remoteOptions(table)
      .command('show', 'Print the table', {}, (args) =>
        withClient(remoteArguments(args), (client) => show(client, remoteArguments(args).json)),
      )
      .command(
        'set <row> <changes..>',
        'Change fields of a row, such as: set demo/chat weight=3 limits.requestsPerSecond=50',
        (set) =>
          set
            .positional('row', { type: 'string', demandOption: true })
            .positional('changes', { type: 'string', array: true, demandOption: true })
            .option('expect', {
              type: 'number',
              describe: 'Table revision that the edit is based on',
            })
            .option('edit-id', {
              type: 'string',
              describe: 'Id of the edit; a resend with the same id is applied only once',
            }),
        (args) =>
          withClient(remoteArguments(args), (client) =>
            set(client, args, remoteArguments(args).json),
          ),
      )
      .command(
        'apply <file>',
        'Replace the table by the content of a file, as one edit',
        (apply) =>
          fileOption(apply).option('wait', {
            type: 'boolean',
            default: true,
            describe: 'Wait until all entries use the new revision',
          }),
        (args) =>
          withClient(remoteArguments(args), (client) => apply(client, args.file, args.wait)),
      )
      .command('diff <file>', 'Show what `apply` would change', fileOption, (args) =>
        withClient(remoteArguments(args), (client) =>
          diff(client, args.file, remoteArguments(args).json),
        ),
      )
      .command('watch', 'Print each new revision', {}, (args) =>
        withClient(remoteArguments(args), (client) => watch(client)),
      )
      .demandCommand(1, 'table: a command is required: show, set, apply, diff or watch'),
  );
}

function fileOption<T>(argv: Argv<T>): Argv<T & { file: string }> {
  return argv.positional('file', { type: 'string', demandOption: true });
}

async function readTable(client: ShedlineClient): Promise<TableAnswer> {
  return (await client.json({ method: 'GET', path: '/v1/table', repeatable: true })) as TableAnswer;
}

async function show(client: ShedlineClient, json: boolean): Promise<void> {
  const table = await readTable(client);
  if (json) {
    printJson(table);
    return;
  }
  print(`revision ${table.revision}, models: ${table.models.join(', ')}`);
  for (const row of table.rows) {
    const { limits } = row;
    print(
      `${row.workspace}/${row.service}  kind=${row.kind} weight=${row.weight} ` +
        `idempotent=${row.idempotent} requestsPerSecond=${limits.requestsPerSecond} ` +
        `concurrentRequests=${limits.concurrentRequests} revision=${row.revision}`,
    );
  }
}

async function set(
  client: ShedlineClient,
  args: { row: string; changes: string[]; expect: number | undefined; editId: string | undefined },
  json: boolean,
): Promise<void> {
  const [workspace = '', service = '', ...extraParts] = args.row.split('/');
  if (service === '' || extraParts.length > 0) throw usageError('row: must be WORKSPACE/SERVICE');
  const revision = args.expect ?? (await readTable(client)).revision;
  const answer = (await client.json({
    method: 'PATCH',
    path: `/v1/table/rows/${workspace}/${service}`,
    headers: { 'if-match': `"${revision}"`, 'idempotency-key': args.editId ?? randomUUID() },
    body: changesToBody(args.changes),
    repeatable: true,
  })) as { revision: number; row: ServiceRow };
  if (json) printJson(answer);
  else print(`accepted as revision ${answer.revision}`);
}

/** Converts `a.b=1` to `{a: {b: 1}}`. A value that is not valid JSON is taken as a string. */
function changesToBody(changes: readonly string[]): Record<string, unknown> {
  const body: Record<string, unknown> = {};
  for (const change of changes) {
    const [path = '', ...valueParts] = change.split('=');
    if (valueParts.length === 0) throw usageError(`${change}: must be FIELD=VALUE`);
    const value = parseValue(valueParts.join('='));
    const [field = '', nestedField] = path.split('.');
    if (nestedField === undefined) body[field] = value;
    else body[field] = { ...(body[field] as object | undefined), [nestedField]: value };
  }
  return body;
}

function parseValue(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

async function readTableFile(file: string): Promise<unknown> {
  try {
    return JSON.parse(await readFile(file, 'utf8'));
  } catch (error) {
    throw usageError(`${file}: ${error instanceof Error ? error.message : String(error)}`);
  }
}

async function putTable(
  client: ShedlineClient,
  file: string,
  dryRun: boolean,
): Promise<DiffAnswer> {
  const table = await readTableFile(file);
  const { revision } = await readTable(client);
  return (await client.json({
    method: 'PUT',
    path: '/v1/table',
    headers: { 'idempotency-key': randomUUID() },
    body: { table, expectedRevision: revision, dryRun },
    repeatable: true,
  })) as DiffAnswer;
}

async function diff(client: ShedlineClient, file: string, json: boolean): Promise<void> {
  const answer = await putTable(client, file, true);
  if (json) printJson(answer);
  else printDiff(answer);
  if (answer.diff.length > 0) process.exitCode = EXIT_DIFFERS;
}

function printDiff(answer: DiffAnswer): void {
  if (answer.diff.length === 0) print('no difference');
  for (const { row, before, after } of answer.diff) {
    const sign = before === null ? '+' : after === null ? '-' : '~';
    print(`${sign} ${row}`);
    if (before !== null && after !== null) {
      print(`    before ${JSON.stringify(before)}`);
      print(`    after  ${JSON.stringify(after)}`);
    }
  }
}

async function apply(client: ShedlineClient, file: string, wait: boolean): Promise<void> {
  const answer = await putTable(client, file, false);
  printDiff(answer);
  print(`accepted as revision ${answer.revision}`);
  if (wait) await waitUntilInForce(client, answer.revision);
}

async function waitUntilInForce(client: ShedlineClient, revision: number): Promise<void> {
  const deadlineMs = performance.now() + IN_FORCE_TIMEOUT_MS;
  let report = await readInForce(client, revision);
  while (report.missing.length > 0 && performance.now() < deadlineMs) {
    await pause(POLL_INTERVAL_MS);
    report = await readInForce(client, revision);
  }
  const state =
    report.missing.length === 0 ? 'in force' : `not yet in force at ${report.missing.join(', ')}`;
  print(`revision ${revision} is ${state} (${report.confirmed.length} entries confirmed)`);
}

async function readInForce(client: ShedlineClient, revision: number): Promise<InForceAnswer> {
  const path = `/v1/table/revisions/${revision}`;
  return (await client.json({ method: 'GET', path, repeatable: true })) as InForceAnswer;
}

async function watch(client: ShedlineClient): Promise<void> {
  let printedRevision = -1;
  for (;;) {
    const table = await readTable(client);
    if (table.revision !== printedRevision) {
      const changed = table.rows.filter((row) => row.revision > printedRevision);
      const names = changed.map((row) => `${row.workspace}/${row.service}`);
      print(`revision ${table.revision}: ${names.join(', ')}`);
      printedRevision = table.revision;
    }
    await pause(POLL_INTERVAL_MS);
  }
}
