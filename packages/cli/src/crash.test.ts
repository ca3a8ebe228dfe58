import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import test from 'ava';
import { ShedlineClient } from '@shedline/client';
import {
  FLEET_TOKENS,
  FLEET_WORKSPACE,
  ProcessFleet,
  describe,
  pick,
  seededRandom,
  title,
} from '@shedline/test-utils';
import { StandInEngine } from '@shedline/stand-ins';

const BIN = fileURLToPath(new URL('./bin.js', import.meta.url));
const ITEMS = Number(process.env.SHEDLINE_CRASH_ITEMS ?? 1500);
const ONCE_ITEMS = 200;
const FAULTS = Number(process.env.SHEDLINE_CRASH_FAULTS ?? 6);
const DAY_MS = 86_400_000;
const TIMES = {
  stepMs: 4,
  perSequenceMs: 0.1,
  perPrefillTokenMs: 0.005,
  prefillTokensPerStep: 4096,
};

interface ResultLine {
  readonly index: number;
  readonly customId: string;
  readonly status: string;
  readonly response?: unknown;
}

function createEngine(fleet: ProcessFleet, number: number, incarnation: number): StandInEngine {
  return new StandInEngine({
    endpointId: `engine-${number}`,
    models: ['demo-model'],
    entryUrls: fleet.entryUrls,
    token: FLEET_TOKENS.endpoint,
    times: TIMES,
    incarnation,
    announceIntervalMs: 500,
  });
}

function items(name: string, count: number): { customId: string; body: Record<string, unknown> }[] {
  return Array.from({ length: count }, (_, index) => ({
    customId: `${name}-${index}`,
    body: { messages: [{ role: 'user', content: `${name} ${index}` }], max_tokens: 12 },
  }));
}

async function prepareTable(operator: ShedlineClient): Promise<void> {
  const table = {
    models: ['demo-model'],
    rows: [{ workspace: FLEET_WORKSPACE, service: 'chat', models: ['demo-model'] }],
  };
  const body = { table, expectedRevision: 0 };
  await operator.json({ method: 'PUT', path: '/v1/table', body, repeatable: false });
}

async function readResults(client: ShedlineClient, jobId: string): Promise<ResultLine[]> {
  const text = await client.results(jobId);
  return text
    .trim()
    .split('\n')
    .map((line) => JSON.parse(line) as ResultLine);
}

describe('fleet of processes', () => {
  test.serial(
    title(
      'records one result per item and sends non-idempotent items once while processes are killed',
    ),
    async (t) => {
      const random = seededRandom(11);
      const fleet = await ProcessFleet.create({
        bin: BIN,
        controls: 3,
        entries: 3,
        control: {
          jobGroupCount: 2,
          voterCount: 3,
          electionTimeoutMs: 300,
          heartbeatIntervalMs: 60,
          itemLeaseMs: 6000,
        },
        entry: { endpointLeaseMs: 1500 },
      });
      await fleet.startAll();
      const operator = new ShedlineClient({ urls: fleet.entryUrls, token: FLEET_TOKENS.operator });
      const caller = new ShedlineClient({ urls: fleet.entryUrls, token: FLEET_TOKENS.caller });
      const engines = [1, 2, 3, 4].map((number) => createEngine(fleet, number, 1));
      const allEngines = [...engines];
      try {
        await prepareTable(operator);
        await Promise.all(engines.map((engine) => engine.start()));
        const common = { service: 'chat', dueAtMs: Date.now() + DAY_MS };
        const job = await caller.submitJob({
          ...common,
          jobKey: 'many',
          items: items('many', ITEMS),
          chunkItems: 500,
        });
        const once = await caller.submitJob({
          ...common,
          jobKey: 'once',
          items: items('once', ONCE_ITEMS),
          idempotent: false,
        });
        for (let fault = 0; fault < FAULTS; fault += 1) {
          await pause(300 + random() * 700);
          const kind = ['entry', 'engine', 'control'][fault % 3];
          if (kind === 'engine') {
            const number = Math.floor(random() * engines.length);
            engines[number]?.crash();
            const replacement = createEngine(fleet, number + 1, fault + 2);
            engines[number] = replacement;
            allEngines.push(replacement);
            await replacement.start();
            continue;
          }
          const { name } = pick(random, kind === 'entry' ? fleet.entries : fleet.controls);
          await fleet.kill(name);
          await pause(200 + random() * 500);
          await fleet.start(name);
        }
        const deadlineMs = Date.now() + 120_000;
        const pending = async (): Promise<number> =>
          (await caller.job(job.jobId)).counts.pending +
          (await caller.job(once.jobId)).counts.pending;
        while ((await pending()) > 0 && Date.now() < deadlineMs) await pause(200);
        const many = await readResults(caller, job.jobId);
        t.deepEqual(
          many.map((line) => line.customId),
          items('many', ITEMS).map((item) => item.customId),
        );
        t.is(many.filter((line) => line.status === 'completed').length, ITEMS);
        const onceResults = await readResults(caller, once.jobId);
        t.is(onceResults.length, ONCE_ITEMS);
        t.true(
          onceResults.every((line) => line.status === 'completed' || line.status === 'inDoubt'),
        );
        const attemptsByPrompt = new Map<string, number>();
        for (const engine of allEngines) {
          for (const [prompt, count] of engine.attemptsByPrompt) {
            if (prompt.includes('once'))
              attemptsByPrompt.set(prompt, (attemptsByPrompt.get(prompt) ?? 0) + count);
          }
        }
        t.is(Math.max(...attemptsByPrompt.values()), 1);
      } finally {
        for (const engine of engines) engine.crash();
        await Promise.all([operator.close(), caller.close()]);
        await fleet.close();
      }
    },
  );
});
