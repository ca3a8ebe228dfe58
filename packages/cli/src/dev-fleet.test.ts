import { setTimeout as pause } from 'node:timers/promises';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import OpenAI from 'openai';
import { ShedlineClient } from '@shedline/client';
import { describe, title } from '@shedline/test-utils';
import { DEV_TOKEN, DevFleet } from './dev-fleet.js';

const DAY_MS = 86_400_000;

async function withFleet(
  action: (fleet: DevFleet, client: ShedlineClient, dataDir: string) => Promise<void>,
): Promise<void> {
  const dataDir = await mkdtemp(join(tmpdir(), 'shedline-'));
  const fleet = new DevFleet({ port: 0, dataDir, logLevel: 'silent' });
  await fleet.start();
  const client = new ShedlineClient({ urls: [fleet.url], token: DEV_TOKEN });
  try {
    await action(fleet, client, dataDir);
  } finally {
    await client.close();
    await fleet.stop();
    await rm(dataDir, { recursive: true });
  }
}

function items(count: number): { customId: string; body: Record<string, unknown> }[] {
  return Array.from({ length: count }, (_, index) => ({
    customId: `item-${index}`,
    body: { messages: [{ role: 'user', content: `summarize trench ${index}` }], max_tokens: 4 },
  }));
}

async function waitUntilEnded(client: ShedlineClient, jobId: string): Promise<void> {
  while ((await client.job(jobId)).counts.pending > 0) {
    await pause(50);
  }
}

describe('shedline dev', () => {
  test.serial(title('serves the openai client: streams, whole responses, errors and aborts'), (t) =>
    withFleet(async (fleet) => {
      const openai = new OpenAI({ baseURL: `${fleet.url}/v1`, apiKey: DEV_TOKEN, maxRetries: 0 });
      const request = {
        model: 'demo/chat',
        messages: [{ role: 'user' as const, content: 'which layer?' }],
      };
      const response = await openai.chat.completions.create(request);
      let text = '';
      for await (const chunk of await openai.chat.completions.create({
        ...request,
        stream: true,
      })) {
        text += chunk.choices[0]?.delta.content ?? '';
      }
      t.true(text.length > 0);
      t.is(text, response.choices[0]?.message.content ?? '');
      const error = await t.throwsAsync(
        openai.chat.completions.create({ ...request, model: 'demo/nothing' }),
      );
      t.true(error instanceof OpenAI.NotFoundError);
      const stream = await openai.chat.completions.create({ ...request, stream: true });
      for await (const chunk of stream) {
        t.is(chunk.object, 'chat.completion.chunk');
        break;
      }
      stream.controller.abort();
    }),
  );

  test.serial(title('completes a job and keeps its results across a restart'), (t) =>
    withFleet(async (fleet, client, dataDir) => {
      const submit = {
        service: 'chat',
        jobKey: 'inspection',
        dueAtMs: Date.now() + DAY_MS,
        items: items(30),
      };
      const job = await client.submitJob({ ...submit, chunkItems: 7 });
      const resubmitted = await client.submitJob(submit);
      t.is(resubmitted.jobId, job.jobId);
      await waitUntilEnded(client, job.jobId);
      const resultsBeforeRestart = await client.results(job.jobId);
      t.is(resultsBeforeRestart.trim().split('\n').length, 30);
      await fleet.stop();
      const restarted = new DevFleet({ port: 0, dataDir, logLevel: 'silent' });
      await restarted.start();
      const reader = new ShedlineClient({ urls: [restarted.url], token: DEV_TOKEN });
      t.is(await reader.results(job.jobId), resultsBeforeRestart);
      t.is((await reader.submitJob(submit)).counts.completed, 30);
      await reader.close();
      await restarted.stop();
    }),
  );

  test.serial(
    title('sends a call with an idempotency key once and replays the stored response on resend'),
    (t) =>
      withFleet(async (_fleet, client) => {
        const call = {
          method: 'POST',
          path: '/v1/services/ledger/entries?trench=4',
          headers: { 'idempotency-key': 'find-17' },
          body: { find: 17 },
          repeatable: false,
        } as const;
        const first = (await client.json(call)) as { call: number; path: string };
        t.is(first.path, '/entries?trench=4');
        t.deepEqual(await client.json(call), first);
        const other = await t.throwsAsync(client.json({ ...call, body: { find: 18 } }));
        t.regex(other.message, /used before for another request/);
      }),
  );

  test.serial(
    title('rejects an invalid chunk with its line number and stores nothing of it'),
    (t) =>
      withFleet(async (_fleet, client) => {
        const create = { service: 'chat', jobKey: 'bad', dueAtMs: Date.now() + DAY_MS };
        const job = (await client.json({
          method: 'POST',
          path: '/v1/jobs',
          body: create,
          repeatable: true,
        })) as {
          jobId: string;
        };
        const body = `${JSON.stringify(items(1)[0])}\n{"customId": 3, "body": {}}\n`;
        const put = {
          method: 'PUT',
          path: `/v1/jobs/${job.jobId}/items?from=0`,
          body,
          repeatable: true,
        } as const;
        const error = await t.throwsAsync(client.json(put));
        t.regex(error.message, /line 2: customId/);
        t.is((await client.job(job.jobId)).received, 0);
      }),
  );

  test.serial(title('a job on a non-idempotent plain service calls it once for each item'), (t) =>
    withFleet(async (_fleet, client) => {
      const calls = Array.from({ length: 20 }, (_, index) => ({
        customId: `entry-${index}`,
        body: { path: `/entries?n=${index}`, body: { find: index } },
      }));
      const submit = {
        service: 'ledger',
        jobKey: 'log',
        dueAtMs: Date.now() + DAY_MS,
        items: calls,
      };
      const job = await client.submitJob(submit);
      t.false(job.idempotent);
      await waitUntilEnded(client, job.jobId);
      const lines = (await client.results(job.jobId)).trim().split('\n');
      const numbers = lines.map((line) => {
        const { response } = JSON.parse(line) as { response: { body: { call: number } } };
        return response.body.call;
      });
      t.deepEqual(
        numbers.sort((a, b) => a - b),
        Array.from({ length: 20 }, (_, index) => index + 1),
      );
    }),
  );
});
