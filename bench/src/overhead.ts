/**
 * What an entry adds to a stream: first token and between tokens against the same engine
 * called directly and through a hop that decides nothing, in turns within one run; tokens a
 * second of a core and memory of a stream. `--profile FOLDER` writes processor profiles.
 */
import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { cpuSeconds, memoryMiB, startBenchFleet } from './support/bench-fleet.js';
import { median, percentile, report } from './support/report.js';
import type { ResultRow } from './support/report.js';
import { streamOnce } from './support/stream-client.js';
import type { StreamResult } from './support/stream-client.js';

const ROUNDS = 3;
const ROUND_MS = 3000;
const MIN_ARRIVALS = 40;
/** Mean number of tokens of an answer of the stand-in. */
const MEAN_TOKENS = 30;
const LEVELS = [
  { streams: 1, stepMs: 4 },
  { streams: 64, stepMs: 20 },
  { streams: 512, stepMs: 100 },
];

type Way = 'direct' | 'hop' | 'entry';

/** Arrivals at an even rate that keeps about `streams` streams open. */
async function steady(url: string, streams: number, stepMs: number): Promise<StreamResult[]> {
  const gapMs = (MEAN_TOKENS * stepMs) / streams;
  const arrivals = Math.max(MIN_ARRIVALS, Math.round(ROUND_MS / gapMs));
  const startedMs = performance.now();
  const runs = Array.from({ length: arrivals }, async (_, index) => {
    const dueMs = startedMs + index * gapMs;
    await new Promise((resolve) => setTimeout(resolve, dueMs - performance.now()));
    const body = { model: 'demo/chat', messages: [{ role: 'user', content: `question ${index}` }] };
    return streamOnce(url, body, performance.now());
  });
  return Promise.all(runs);
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
  const hop = fork(fileURLToPath(new URL('./support/pass-through.js', import.meta.url)), [
    engineUrl,
  ]);
  const hopPort = await new Promise((resolve) => hop.once('message', resolve));
  const urls: Record<Way, string> = {
    direct: engineUrl,
    hop: `http://127.0.0.1:${String(hopPort)}`,
    entry: bench.fleet.entryUrls[0] ?? '',
  };
  const pid = bench.fleet.pid('entry-1');
  const results: Record<Way, StreamResult[]> = { direct: [], hop: [], entry: [] };
  for (const url of Object.values(urls)) await steady(url, Math.min(16, streams), stepMs);
  const idleMiB = await memoryMiB(pid);
  let cpu = 0;
  let peakMiB = 0;
  for (let round = 0; round < ROUNDS; round += 1) {
    results.direct.push(...(await steady(urls.direct, streams, stepMs)));
    results.hop.push(...(await steady(urls.hop, streams, stepMs)));
    const cpuBefore = await cpuSeconds(pid);
    setTimeout(
      () =>
        void memoryMiB(pid).then((mib) => {
          peakMiB = Math.max(peakMiB, mib);
        }),
      ROUND_MS / 2,
    );
    results.entry.push(...(await steady(urls.entry, streams, stepMs)));
    cpu += (await cpuSeconds(pid)) - cpuBefore;
  }
  hop.kill();
  if (profile !== -1) await bench.fleet.stop('entry-1');
  await bench.close();
  const first = (way: Way): number => median(results[way].map((result) => result.firstTokenMs));
  const gaps = (way: Way): number[] => results[way].flatMap((result) => [...result.gapsMs]);
  const tokens = results.entry.reduce((sum, result) => sum + result.tokens, 0);
  return {
    streams,
    'step ms': stepMs,
    'direct first p50': first('direct'),
    'hop adds': first('hop') - first('direct'),
    'entry adds': first('entry') - first('direct'),
    'direct gap p50': median(gaps('direct')),
    'hop gap p50': median(gaps('hop')),
    'entry gap p50': median(gaps('entry')),
    'direct gap p99': percentile(gaps('direct'), 99),
    'entry gap p99': percentile(gaps('entry'), 99),
    'tokens/s per core': Math.round(tokens / Math.max(0.01, cpu)),
    'KiB per stream': Math.round(((peakMiB - idleMiB) * 1024) / streams),
    errors: results.entry.filter((result) => result.outcome !== 'whole').length,
  };
}

const rows: ResultRow[] = [];
for (const { streams, stepMs } of LEVELS) rows.push(await measure(streams, stepMs));
await report('overhead', rows);
process.exit(0);
