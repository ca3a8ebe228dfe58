/**
 * Benchmarks of online requests during failures and overload, on separate processes: runs each
 * scenario through shedline and through naive round-robin proxies, with identical engines.
 * `node bench/dist/online.js [--registry] [scenario…]`.
 */
import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { seededRandom } from '@shedline/test-utils';
import { startBenchFleet } from './support/bench-fleet.js';
import type { BenchFleet } from './support/bench-fleet.js';
import { FixedAddresses, CachedAddresses, runLoad, summarize } from './support/load.js';
import type { LoadShape } from './support/load.js';
import { pause, report } from './support/report.js';
import type { ResultRow } from './support/report.js';

const ZONES = ['zone-1', 'zone-2', 'zone-3'];
/** `--registry` runs the full-size fleet; the default is a smaller one. */
const IS_FULL_SIZE = process.argv.includes('--registry');
const ENGINES = IS_FULL_SIZE ? 48 : 12;
const ENTRIES = IS_FULL_SIZE ? 9 : 3;
const TIMES = { stepMs: 25, perSequenceMs: 2, perPrefillTokenMs: 0.05, prefillTokensPerStep: 1024 };
/** Requests per second that the engines serve within their targets. */
const CAPACITY_RPS = 90;
const ROW = {
  targets: { firstTokenMs: 400, betweenTokensMs: 80 },
  limits: { requestsPerSecond: 5000, concurrentRequests: 5000, tokensPerSecond: 1e7 },
};

interface Scenario {
  readonly name: string;
  readonly shape: LoadShape;
  readonly fault?: (bench: BenchFleet) => Promise<void>;
}

const steadyShape: LoadShape = {
  durationMs: 10_000,
  requestsPerSecond: 0.5 * CAPACITY_RPS,
  openSessions: 60,
};

const SCENARIOS: readonly Scenario[] = [
  { name: 'steady', shape: steadyShape },
  {
    name: 'burst 5x',
    shape: {
      ...steadyShape,
      requestsPerSecond: 0.17 * CAPACITY_RPS,
      burst: { fromMs: 4000, untilMs: 6000, factor: 5 },
    },
  },
  { name: 'engine killed', shape: steadyShape, fault: (bench) => bench.hosts.stopEngine('die', 0) },
  { name: 'entry killed', shape: steadyShape, fault: (bench) => bench.fleet.kill('entry-1') },
  {
    name: 'zone lost',
    shape: { ...steadyShape, requestsPerSecond: 0.4 * CAPACITY_RPS },
    fault: async (bench) => {
      await Promise.all([
        bench.fleet.kill('entry-2'),
        ...[1, 4, 7, 10].map((number) => bench.hosts.stopEngine('die', number)),
      ]);
    },
  },
  {
    name: 'rolling restart',
    shape: { ...steadyShape, durationMs: 16_000 },
    fault: async (bench) => {
      for (const { name } of bench.fleet.entries) {
        await bench.fleet.stop(name);
        await bench.fleet.start(name);
      }
    },
  },
  { name: 'at capacity', shape: { ...steadyShape, requestsPerSecond: CAPACITY_RPS } },
  { name: 'overload 2x', shape: { ...steadyShape, requestsPerSecond: 2 * CAPACITY_RPS } },
];

async function startNaiveProxies(
  urls: readonly string[],
): Promise<{ urls: string[]; close: () => void }> {
  const children = Array.from({ length: ENTRIES }, () =>
    fork(fileURLToPath(new URL('./support/naive-hop.js', import.meta.url))),
  );
  const ports = await Promise.all(
    children.map((child) => new Promise((resolve) => child.once('message', resolve))),
  );
  await Promise.all(
    children.map(
      (child) =>
        new Promise((resolve) => {
          child.once('message', resolve);
          child.send(urls);
        }),
    ),
  );
  return {
    urls: ports.map((port) => `http://127.0.0.1:${String(port)}`),
    close: () => {
      for (const child of children) child.kill('SIGKILL');
    },
  };
}

/** Runs a scenario on a new fleet, so that the fault of one run does not affect the next. */
async function runScenario(scenario: Scenario, mode: 'shedline' | 'naive'): Promise<ResultRow> {
  const bench = await startBenchFleet({
    controls: 3,
    entries: ENTRIES,
    zones: ZONES,
    row: ROW,
    control: { voterCount: 3, electionTimeoutMs: 500 },
    entry: { endpointLeaseMs: 3000 },
    engines: {
      engines: ENGINES,
      hosts: IS_FULL_SIZE ? 3 : 2,
      times: TIMES,
      capacity: 16,
      cacheBlocks: 400,
    },
  });
  const proxies = mode === 'naive' ? await startNaiveProxies(bench.hosts.urls) : undefined;
  const target =
    proxies === undefined
      ? new CachedAddresses(bench.fleet.entryUrls, seededRandom(2))
      : new FixedAddresses(proxies.urls);
  await runLoad(target, { ...steadyShape, durationMs: 3000, seed: 9 });
  const before = await bench.hosts.stats();
  const load = runLoad(target, scenario.shape);
  if (
    scenario.fault !== undefined &&
    (mode === 'shedline' ||
      (!scenario.name.includes('entry') && scenario.name !== 'rolling restart'))
  ) {
    await pause(4000);
    await scenario.fault(bench);
  }
  const results = await load;
  const after = await bench.hosts.stats();
  const withinTarget = results.filter(
    (result) => result.outcome === 'whole' && result.firstTokenMs <= ROW.targets.firstTokenMs,
  );
  await target.close();
  proxies?.close();
  await bench.close();
  return {
    scenario: scenario.name,
    way: mode,
    ...summarize(results),
    'good answers/s': withinTarget.length / (scenario.shape.durationMs / 1000),
    'prompt cached %':
      (100 * (after.cachedTokens - before.cachedTokens)) /
      Math.max(1, after.promptTokens - before.promptTokens),
  };
}

const wanted = process.argv.slice(2).filter((argument) => !argument.startsWith('--'));
const rows: ResultRow[] = [];
for (const scenario of SCENARIOS) {
  if (wanted.length > 0 && !wanted.includes(scenario.name)) continue;
  for (const mode of ['shedline', 'naive'] as const) rows.push(await runScenario(scenario, mode));
  await report('online', rows);
}
process.exit(0);
