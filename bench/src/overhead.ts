/**
 * Benchmark of the overhead of an entry: the time to the first token and between tokens, compared
 * with direct calls of the same engine and with a minimal proxy, in alternating rounds; also
 * tokens per second of CPU time and memory per stream. `--profile DIRECTORY` writes CPU profiles.
 */
import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { cpuSeconds, memoryMiB, startBenchFleet } from './support/bench-fleet.js';
import { median, percentile, report } from './support/report.js';
import type { ResultRow } from './support/report.js';
import { streamOnce } from './support/stream-client.js';
import type { StreamResult } from './support/stream-client.js';

const ROUNDS = 3;
const ROUND_DURATION_MS = 3000;
const MIN_REQUESTS = 40;
/** Mean number of tokens of a response of the stand-in engine. */
const MEAN_TOKENS = 30;
const LEVELS = [
  { streams: 1, stepMs: 4 },
  { streams: 64, stepMs: 20 },
  { streams: 512, stepMs: 100 },
];

/** Path of a request to the engine: direct, through the minimal proxy, or through an entry. */
type Route = 'direct' | 'hop' | 'entry';

/** Sends requests at a constant rate that keeps about `streams` streams open. */
async function sendSteadily(url: string, streams: number, stepMs: number): Promise<StreamResult[]> {
  const gapMs = (MEAN_TOKENS * stepMs) / streams;
  const requestCount = Math.max(MIN_REQUESTS, Math.round(ROUND_DURATION_MS / gapMs));
  const startedMs = performance.now();
  const requests = Array.from({ length: requestCount }, async (_, index) => {
    const dueMs = startedMs + index * gapMs;
    await new Promise((resolve) => setTimeout(resolve, dueMs - performance.now()));
    const body = { model: 'demo/chat', messages: [{ role: 'user', content: `question ${index}` }] };
    return streamOnce(url, body, performance.now());
  });
  return Promise.all(requests);
}

async function measure(streams: number, stepMs: number): Promise<ResultRow> {
  const profile = process.argv.indexOf('--profile');
  const nodeArguments =
    profile === -1 ? [] : ['--cpu-prof', `--cpu-prof-dir=${process.argv[profile + 1] ?? '.'}`];
  const times = { stepMs, perSequenceMs: 0, perPrefillTokenMs: 0, prefillTokensPerStep: 1e9 };
  const bench = await startBenchFleet({
    entries: 1,
    nodeArguments,
    engines: { engines: 1, times, capacity: 100_000 },
    row: { limits: { requestsPerSecond: 1e6, concurrentRequests: 1e6, tokensPerSecond: 1e9 } },
  });
  const engineUrl = bench.hosts.urls[0] ?? '';
  const proxy = fork(fileURLToPath(new URL('./support/pass-through.js', import.meta.url)), [
    engineUrl,
  ]);
  const proxyPort = await new Promise((resolve) => proxy.once('message', resolve));
  const urls: Record<Route, string> = {
    direct: engineUrl,
    hop: `http://127.0.0.1:${String(proxyPort)}`,
    entry: bench.fleet.entryUrls[0] ?? '',
  };
  const pid = bench.fleet.pid('entry-1');
  const results: Record<Route, StreamResult[]> = { direct: [], hop: [], entry: [] };
  for (const url of Object.values(urls)) await sendSteadily(url, Math.min(16, streams), stepMs);
  const idleMiB = await memoryMiB(pid);
  let cpuUsedSeconds = 0;
  let peakMiB = 0;
  for (let round = 0; round < ROUNDS; round += 1) {
    results.direct.push(...(await sendSteadily(urls.direct, streams, stepMs)));
    results.hop.push(...(await sendSteadily(urls.hop, streams, stepMs)));
    const cpuBefore = await cpuSeconds(pid);
    setTimeout(
      () =>
        void memoryMiB(pid).then((mib) => {
          peakMiB = Math.max(peakMiB, mib);
        }),
      ROUND_DURATION_MS / 2,
    );
    results.entry.push(...(await sendSteadily(urls.entry, streams, stepMs)));
    cpuUsedSeconds += (await cpuSeconds(pid)) - cpuBefore;
  }
  proxy.kill();
  if (profile !== -1) await bench.fleet.stop('entry-1');
  await bench.close();
  const medianFirstMs = (route: Route): number =>
    median(results[route].map((result) => result.firstTokenMs));
  const gaps = (route: Route): number[] => results[route].flatMap((result) => [...result.gapsMs]);
  const tokens = results.entry.reduce((sum, result) => sum + result.tokens, 0);
  return {
    streams,
    'step ms': stepMs,
    'direct first p50': medianFirstMs('direct'),
    'hop adds': medianFirstMs('hop') - medianFirstMs('direct'),
    'entry adds': medianFirstMs('entry') - medianFirstMs('direct'),
    'direct gap p50': median(gaps('direct')),
    'hop gap p50': median(gaps('hop')),
    'entry gap p50': median(gaps('entry')),
    'direct gap p99': percentile(gaps('direct'), 99),
    'entry gap p99': percentile(gaps('entry'), 99),
    'tokens/s per core': Math.round(tokens / Math.max(0.01, cpuUsedSeconds)),
    'KiB per stream': Math.round(((peakMiB - idleMiB) * 1024) / streams),
    errors: results.entry.filter((result) => result.outcome !== 'whole').length,
  };
}

const rows: ResultRow[] = [];
for (const { streams, stepMs } of LEVELS) rows.push(await measure(streams, stepMs));
await report('overhead', rows);
process.exit(0);
