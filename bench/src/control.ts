/**
 * Speed of the control instances: commits with group commit against one sync for each entry,
 * time without a leader, catching up, and the cost of idle groups.
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { ControlClient, RemoteControlPort } from '@shedline/control-client';
import { NodeFileSystem, Storage } from '@shedline/storage';
import { ProcessFleet } from '@shedline/test-utils';
import { cpuSeconds, memoryMiB } from './support/bench-fleet.js';
import { median, pause, percentile, report } from './support/report.js';
import type { ResultRow } from './support/report.js';

const BIN = fileURLToPath(new URL('../../packages/cli/dist/bin.js', import.meta.url));
const RUN_MS = 3000;

function clientOf(fleet: ProcessFleet): ControlClient {
  const ports = fleet.controlPeers.map(
    (peer) => new RemoteControlPort({ name: 'bench', secret: fleet.secret, peer }),
  );
  return new ControlClient({ ports, timeoutMs: 20_000 });
}

async function withControls(
  settings: Readonly<Record<string, unknown>>,
  work: (fleet: ProcessFleet, client: ControlClient) => Promise<void>,
): Promise<void> {
  const fleet = await ProcessFleet.create({
    bin: BIN,
    controls: 3,
    entries: 0,
    control: { voterCount: 3, ...settings },
  });
  await fleet.startAll();
  const client = clientOf(fleet);
  try {
    await client.table(-1);
    await work(fleet, client);
  } finally {
    client.close();
    await fleet.close();
  }
}

function edit(client: ControlClient, id: string): Promise<unknown> {
  return client.proposeEdit({
    type: 'editRow',
    editId: id,
    contentHash: id,
    expectedRevision: 0,
    workspace: 'w',
    service: id,
    change: { kind: 'plain' },
  });
}

async function leaderOf(client: ControlClient): Promise<string> {
  const groups = (await client.statuses())
    .flatMap((status) => status.groups)
    .filter(({ group }) => group === 0);
  return groups.find(({ role }) => role === 'leader')?.leader ?? '';
}

/** Commits a second through three instances, and syncs that they took. */
async function commits(): Promise<ResultRow[]> {
  const rows: ResultRow[] = [];
  await withControls({ jobGroupCount: 1 }, async (_fleet, client) => {
    for (const writers of [1, 32, 256]) {
      const latencies: number[] = [];
      const syncsBefore = (await client.statuses())[0]?.syncs ?? 0;
      const untilMs = performance.now() + RUN_MS;
      const runs = Array.from({ length: writers }, async (_, writer) => {
        for (let n = 0; performance.now() < untilMs; n += 1) {
          const startedMs = performance.now();
          await edit(client, `e-${writers}-${writer}-${n}`);
          latencies.push(performance.now() - startedMs);
        }
      });
      await Promise.all(runs);
      const syncs = ((await client.statuses())[0]?.syncs ?? 0) - syncsBefore;
      rows.push({
        writers,
        'commits/s': Math.round(latencies.length / (RUN_MS / 1000)),
        'ack p50 ms': median(latencies),
        'ack p99 ms': percentile(latencies, 99),
        'commits per sync': latencies.length / Math.max(1, syncs),
      });
    }
  });
  return rows;
}

/** The same number of appends to one disk, gathered or each with a sync of its own. */
async function syncs(): Promise<ResultRow[]> {
  const rows: ResultRow[] = [];
  for (const writers of [1, 32, 256]) {
    const rates: Record<string, number> = {};
    for (const way of ['gathered', 'each']) {
      const folder = await mkdtemp(join(tmpdir(), 'shedline-sync-'));
      const storage = await Storage.open({ files: new NodeFileSystem(folder) });
      let index = 0;
      let done = 0;
      let chain: Promise<void> = Promise.resolve();
      const append = (): Promise<void> => {
        index += 1;
        const entry = { index, term: 1, kind: 'command', data: new Uint8Array(200) } as const;
        return storage.append({ group: 0, entries: [entry] });
      };
      const untilMs = performance.now() + RUN_MS / 2;
      const one = async (): Promise<void> => {
        while (performance.now() < untilMs) {
          if (way === 'gathered') await append();
          else await (chain = chain.then(append));
          done += 1;
        }
      };
      await Promise.all(Array.from({ length: writers }, one));
      rates[way] = done / (RUN_MS / 2000);
      await storage.close();
      await rm(folder, { recursive: true });
    }
    const { gathered = 0, each = 1 } = rates;
    rows.push({
      writers,
      'gathered appends/s': Math.round(gathered),
      'one sync each appends/s': Math.round(each),
      ratio: gathered / each,
    });
  }
  return rows;
}

/** How long no edit is accepted after the leader is killed, and after it stops as planned. */
async function leaderless(): Promise<ResultRow[]> {
  const gaps: Record<string, number[]> = { kill: [], stop: [] };
  await withControls({ jobGroupCount: 1 }, async (fleet, client) => {
    for (let round = 0; round < 6; round += 1) {
      const way = round % 2 === 0 ? 'kill' : 'stop';
      const leader = await leaderOf(client);
      let lastMs = performance.now();
      let longestMs = 0;
      const state = { stopped: false };
      const writer = (async () => {
        for (let n = 0; !state.stopped; n += 1) {
          await edit(client, `${round}-${n}`).catch(() => undefined);
          const nowMs = performance.now();
          longestMs = Math.max(longestMs, nowMs - lastMs);
          lastMs = nowMs;
        }
      })();
      await pause(300);
      await (way === 'kill' ? fleet.kill(leader) : fleet.stop(leader));
      await pause(3500);
      state.stopped = true;
      await writer;
      gaps[way]?.push(longestMs);
      await fleet.start(leader);
      await pause(500);
    }
  });
  return Object.entries(gaps).map(([way, values]) => ({
    way,
    'median ms': median(values),
    'worst ms': Math.max(...values),
    rounds: values.length,
  }));
}

/** Time and bytes until a follower that was down has caught up. */
async function catchUp(): Promise<ResultRow[]> {
  const rows: ResultRow[] = [];
  for (const behind of [500, 50_000]) {
    await withControls(
      { jobGroupCount: 1, snapshotAfterBytes: 2 * 1024 * 1024 },
      async (fleet, client) => {
        await edit(client, 'first');
        const leader = await leaderOf(client);
        const follower = fleet.controls.find(({ name }) => name !== leader)?.name ?? '';
        await fleet.kill(follower);
        const writers = 128;
        await Promise.all(
          Array.from({ length: writers }, async (_, writer) => {
            for (let n = writer; n < behind; n += writers) await edit(client, `b-${n % 5000}-${n}`);
          }),
        );
        const target = await commitIndex(client, leader);
        const startedMs = performance.now();
        await fleet.start(follower);
        const readyMs = performance.now() - startedMs;
        while ((await commitIndex(client, follower)) < target) await pause(20);
        rows.push({
          behind,
          'process start ms': readyMs,
          'caught up ms': performance.now() - startedMs,
          'follower MiB': await memoryMiB(fleet.pid(follower)),
        });
      },
    );
  }
  return rows;
}

async function commitIndex(client: ControlClient, instance: string): Promise<number> {
  const status = (await client.statuses()).find((candidate) => candidate.instance === instance);
  return status?.groups.find(({ group }) => group === 0)?.appliedIndex ?? 0;
}

/** Processor time and memory of an instance whose groups do nothing. */
async function idleGroups(): Promise<ResultRow[]> {
  const rows: ResultRow[] = [];
  for (const groups of [1, 8, 64]) {
    await withControls({ jobGroupCount: groups }, async (fleet) => {
      await pause(3000);
      const pids = fleet.controls.map(({ name }) => fleet.pid(name));
      const before = await Promise.all(pids.map(cpuSeconds));
      await pause(5000);
      const after = await Promise.all(pids.map(cpuSeconds));
      const shares = after.map((seconds, index) => ((seconds - (before[index] ?? 0)) / 5) * 100);
      rows.push({ groups, 'cpu % of a core': median(shares), MiB: await memoryMiB(pids[0] ?? 0) });
    });
  }
  return rows;
}

const parts: Record<string, () => Promise<ResultRow[]>> = {
  commits,
  syncs,
  leaderless,
  catchUp,
  idleGroups,
};
const wanted = process.argv.slice(2);
for (const [name, part] of Object.entries(parts)) {
  if (wanted.length === 0 || wanted.includes(name)) await report(`control-${name}`, await part());
}
process.exit(0);
