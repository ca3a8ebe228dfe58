/**
 * Benchmarks of the control instances: commit rate, group commit compared with one sync for each
 * log entry, failover time, catch-up time of a follower, and the cost of idle groups.
 * `node bench/dist/control.js [commits|syncs|leaderless|catchUp|idleGroups]`.
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
const MEASUREMENT_MS = 3000;

function clientOf(fleet: ProcessFleet): ControlClient {
  const ports = fleet.controlPeers.map(
    (peer) => new RemoteControlPort({ name: 'bench', secret: fleet.secret, peer }),
  );
  return new ControlClient({ ports, timeoutMs: 20_000 });
}

async function withControls(
  settings: Readonly<Record<string, unknown>>,
  measure: (fleet: ProcessFleet, client: ControlClient) => Promise<void>,
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
    await measure(fleet, client);
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

/** Measures commits per second through three instances, and commits per sync. */
async function measureCommits(): Promise<ResultRow[]> {
  const rows: ResultRow[] = [];
  await withControls({ jobGroupCount: 1 }, async (_fleet, client) => {
    for (const writers of [1, 32, 256]) {
      const latencies: number[] = [];
      const syncsBefore = (await client.statuses())[0]?.syncs ?? 0;
      const endMs = performance.now() + MEASUREMENT_MS;
      const writes = Array.from({ length: writers }, async (_, writer) => {
        for (let n = 0; performance.now() < endMs; n += 1) {
          const startedMs = performance.now();
          await edit(client, `e-${writers}-${writer}-${n}`);
          latencies.push(performance.now() - startedMs);
        }
      });
      await Promise.all(writes);
      const syncs = ((await client.statuses())[0]?.syncs ?? 0) - syncsBefore;
      rows.push({
        writers,
        'commits/s': Math.round(latencies.length / (MEASUREMENT_MS / 1000)),
        'ack p50 ms': median(latencies),
        'ack p99 ms': percentile(latencies, 99),
        'commits per sync': latencies.length / Math.max(1, syncs),
      });
    }
  });
  return rows;
}

/** Measures appends per second to one disk, with group commit and with one sync for each append. */
async function measureGroupCommit(): Promise<ResultRow[]> {
  const rows: ResultRow[] = [];
  for (const writers of [1, 32, 256]) {
    const rates: Record<string, number> = {};
    for (const mode of ['gathered', 'each']) {
      const folder = await mkdtemp(join(tmpdir(), 'shedline-sync-'));
      const storage = await Storage.open({ files: new NodeFileSystem(folder) });
      let index = 0;
      let appendCount = 0;
      let lastAppend: Promise<void> = Promise.resolve();
      const append = (): Promise<void> => {
        index += 1;
        const entry = { index, term: 1, kind: 'command', data: new Uint8Array(200) } as const;
        return storage.append({ group: 0, entries: [entry] });
      };
      const endMs = performance.now() + MEASUREMENT_MS / 2;
      const runWriter = async (): Promise<void> => {
        while (performance.now() < endMs) {
          if (mode === 'gathered') await append();
          else await (lastAppend = lastAppend.then(append));
          appendCount += 1;
        }
      };
      await Promise.all(Array.from({ length: writers }, runWriter));
      rates[mode] = appendCount / (MEASUREMENT_MS / 2000);
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

/** Measures the longest gap between edits when the leader is killed or stops gracefully. */
async function measureFailover(): Promise<ResultRow[]> {
  const gaps: Record<string, number[]> = { kill: [], stop: [] };
  await withControls({ jobGroupCount: 1 }, async (fleet, client) => {
    for (let round = 0; round < 6; round += 1) {
      const stopKind = round % 2 === 0 ? 'kill' : 'stop';
      const leader = await leaderOf(client);
      let lastEditEndMs = performance.now();
      let longestGapMs = 0;
      const state = { isStopped: false };
      const writer = (async () => {
        for (let n = 0; !state.isStopped; n += 1) {
          await edit(client, `${round}-${n}`).catch(() => undefined);
          const nowMs = performance.now();
          longestGapMs = Math.max(longestGapMs, nowMs - lastEditEndMs);
          lastEditEndMs = nowMs;
        }
      })();
      await pause(300);
      await (stopKind === 'kill' ? fleet.kill(leader) : fleet.stop(leader));
      await pause(3500);
      state.isStopped = true;
      await writer;
      gaps[stopKind]?.push(longestGapMs);
      await fleet.start(leader);
      await pause(500);
    }
  });
  return Object.entries(gaps).map(([stopKind, values]) => ({
    way: stopKind,
    'median ms': median(values),
    'worst ms': Math.max(...values),
    rounds: values.length,
  }));
}

/** Measures the time until a restarted follower has caught up, and its memory. */
async function measureCatchUp(): Promise<ResultRow[]> {
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

/** Measures CPU usage and memory of an instance whose groups are idle. */
async function measureIdleGroups(): Promise<ResultRow[]> {
  const rows: ResultRow[] = [];
  for (const groups of [1, 8, 64]) {
    await withControls({ jobGroupCount: groups }, async (fleet) => {
      await pause(3000);
      const pids = fleet.controls.map(({ name }) => fleet.pid(name));
      const before = await Promise.all(pids.map(cpuSeconds));
      await pause(5000);
      const after = await Promise.all(pids.map(cpuSeconds));
      const cpuShares = after.map((seconds, index) => ((seconds - (before[index] ?? 0)) / 5) * 100);
      rows.push({
        groups,
        'cpu % of a core': median(cpuShares),
        MiB: await memoryMiB(pids[0] ?? 0),
      });
    });
  }
  return rows;
}

const parts: Record<string, () => Promise<ResultRow[]>> = {
  commits: measureCommits,
  syncs: measureGroupCommit,
  leaderless: measureFailover,
  catchUp: measureCatchUp,
  idleGroups: measureIdleGroups,
};
const wanted = process.argv.slice(2);
for (const [name, part] of Object.entries(parts)) {
  if (wanted.length === 0 || wanted.includes(name)) await report(`control-${name}`, await part());
}
process.exit(0);
