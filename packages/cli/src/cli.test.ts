import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { describe, title } from '@shedline/test-utils';
import { cli } from './cli.js';
import { DEV_TOKEN, DevFleet } from './dev-fleet.js';
import { EXIT_CONFLICT, EXIT_DIFFERS, EXIT_NOT_FOUND, EXIT_OK, EXIT_USAGE } from './exit-codes.js';

interface CommandResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

/** Runs a command line and captures its output. */
async function run(...argv: string[]): Promise<CommandResult> {
  const printed = { out: '', err: '' };
  const { stdout, stderr } = process;
  const writeOut = stdout.write.bind(stdout);
  const writeErr = stderr.write.bind(stderr);
  stdout.write = (text: string | Uint8Array) => {
    printed.out += String(text);
    return true;
  };
  stderr.write = (text: string | Uint8Array) => {
    printed.err += String(text);
    return true;
  };
  try {
    const code = await cli(argv);
    process.exitCode = EXIT_OK;
    return { code, ...printed };
  } finally {
    stdout.write = writeOut;
    stderr.write = writeErr;
  }
}

describe('shedline', () => {
  test.serial(
    title('invalid settings, flags and input print one line that names the field'),
    async (t) => {
      const missing = await run('settings', 'check', '/nowhere.json');
      t.is(missing.code, EXIT_USAGE);
      t.regex(missing.err, /^shedline: \/nowhere\.json: cannot be read.*\n$/);
      t.like(await run('status', '--colour'), { code: EXIT_USAGE });
      t.like(await run('nonsense'), { code: EXIT_USAGE });
      t.regex(
        (await run('job', 'submit', '/nowhere', '--service', 's', '--key', 'k', '--token', 't'))
          .err,
        /nowhere/,
      );
    },
  );

  test.serial(title('table, job and status commands work against a running fleet'), async (t) => {
    const folder = await mkdtemp(join(tmpdir(), 'shedline-cli-'));
    const fleet = new DevFleet({ port: 0, dataDir: join(folder, 'data'), logLevel: 'silent' });
    await fleet.start();
    const remote = ['--url', fleet.url, '--token', DEV_TOKEN];
    try {
      t.regex(
        (
          await run(
            'table',
            'set',
            'demo/chat',
            'weight=3',
            'limits.requestsPerSecond=50',
            ...remote,
          )
        ).out,
        /revision 2/,
      );
      t.like(await run('table', 'set', 'demo/chat', 'weight=4', '--expect', '1', ...remote), {
        code: EXIT_CONFLICT,
      });
      t.regex((await run('table', 'set', 'demo/chat', 'wieght=4', ...remote)).err, /wieght/);
      const table = JSON.parse((await run('table', 'show', '--json', ...remote)).out) as {
        rows: { weight: number }[];
      };
      t.is(table.rows[0]?.weight, 3);
      const file = join(folder, 'table.json');
      await writeFile(
        file,
        JSON.stringify({
          models: ['demo-model'],
          rows: [{ workspace: 'demo', service: 'chat', models: ['demo-model'] }],
        }),
      );
      t.like(await run('table', 'diff', file, ...remote), { code: EXIT_DIFFERS });
      t.regex(
        (await run('table', 'apply', file, ...remote)).out,
        /- demo\/ledger[\s\S]*revision 3 is in force/,
      );
      const items = join(folder, 'items.ndjson');
      await writeFile(
        items,
        '{"customId":"a","body":{"messages":[{"role":"user","content":"x"}],"max_tokens":2}}\n',
      );
      const submitted = await run(
        'job',
        'submit',
        items,
        '--service',
        'chat',
        '--key',
        'k',
        '--wait',
        '--json',
        ...remote,
      );
      const { jobId } = JSON.parse(submitted.out) as { jobId: string };
      t.regex(
        (await run('job', 'results', jobId, ...remote)).out,
        /"customId":"a","status":"completed"/,
      );
      t.like(await run('job', 'status', 'job-1-000000000000000000000000', ...remote), {
        code: EXIT_NOT_FOUND,
      });
      t.regex((await run('status', ...remote)).out, /endpoint engine-1 usable/);
      t.regex((await run('report', 'burn', ...remote)).out, /service +target +window/);
      const page = join(folder, 'burn.html');
      t.is((await run('report', 'burn', '--html', page, ...remote)).code, EXIT_OK);
    } finally {
      await fleet.stop();
      await rm(folder, { recursive: true });
    }
  });
});
