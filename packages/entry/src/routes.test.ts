import type { AddressInfo } from 'node:net';
import { serve } from '@hono/node-server';
import type { ServerType } from '@hono/node-server';
import test from 'ava';
import { request } from 'undici';
import type { ControlClient } from '@shedline/control-client';
import { ShedlineError } from '@shedline/errors';
import type { ResultLine } from '@shedline/jobs';
import { jobIdOf } from '@shedline/jobs';
import { createLogger } from '@shedline/logger';
import { describe, title } from '@shedline/test-utils';
import { JobsApi } from './jobs-api.js';
import { createRoutes } from './routes.js';
import type { RoutesOptions } from './routes.js';

const WORKSPACE = 'demo';
const JOB_ID = jobIdOf(1, WORKSPACE, 'key');
const LINES: readonly ResultLine[] = ['a', 'b'].map((customId, index) => ({
  index,
  customId,
  status: 'completed',
  body: '{}',
}));

/** Returns the page of results that starts at an index; undefined if the job is unknown. */
type Page = Awaited<ReturnType<ControlClient['results']>>;

async function startServer(results: (fromIndex: number) => Promise<Page>): Promise<ServerType> {
  const control = {
    results: (_group: number, page: { readonly fromIndex: number }) => results(page.fromIndex),
  };
  const options: Partial<RoutesOptions> = {
    authenticator: { requireCaller: () => WORKSPACE } as unknown as RoutesOptions['authenticator'],
    jobs: new JobsApi({
      control: control as unknown as ControlClient,
      reader: {} as unknown as RoutesOptions['reader'],
      maxChunkBytes: 1000,
      maxItemBytes: 1000,
    }),
    trackOpenRequests: () => undefined,
    logger: createLogger({ level: 'silent' }),
  };
  const app = createRoutes(options as RoutesOptions);
  return new Promise((resolve) => {
    const server = serve({ fetch: app.fetch, hostname: '127.0.0.1', port: 0 }, () => {
      resolve(server);
    });
  });
}

/** Reads all results; the first page has one line, and `secondPage` returns the second one. */
async function readResults(secondPage: () => Promise<Page>): Promise<string> {
  const firstPage = { total: 2, nextIndex: 1, lines: LINES.slice(0, 1) };
  const server = await startServer((fromIndex) =>
    fromIndex === 0 ? Promise.resolve(firstPage as Page) : secondPage(),
  );
  const { port } = server.address() as AddressInfo;
  try {
    const url = `http://127.0.0.1:${port}/v1/jobs/${JOB_ID}/results`;
    return await (await request(url)).body.text();
  } finally {
    server.close();
  }
}

describe('routes of an entry', () => {
  // Guards against results that a caller takes for complete although a later page was not read.
  describe('results of a job', () => {
    test(title('arrive with all their pages'), async (t) => {
      const lastPage = { total: 2, nextIndex: 2, lines: LINES.slice(1) };
      const text = await readResults(() => Promise.resolve(lastPage as Page));
      t.deepEqual(
        text
          .trim()
          .split('\n')
          .map((line) => (JSON.parse(line) as { customId: string }).customId),
        ['a', 'b'],
      );
    });

    test(title('are truncated for their caller if a later page fails'), async (t) => {
      const error = new ShedlineError({ type: 'unavailable', message: 'no leader', step: 'query' });
      await t.throwsAsync(readResults(() => Promise.reject(error)));
    });

    test(title('are truncated for their caller if the job is gone by then'), async (t) => {
      await t.throwsAsync(readResults(() => Promise.resolve(undefined)));
    });
  });
});
