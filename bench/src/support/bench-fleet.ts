/**
 * A fleet of separate processes with stand-in engines, for benchmarks.
 */
import { readFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { ShedlineClient } from '@shedline/client';
import { FLEET_TOKENS, FLEET_WORKSPACE, ProcessFleet } from '@shedline/test-utils';
import { EngineHosts } from './hosts.js';
import type { EngineHostsOptions } from './hosts.js';
import { pause } from './report.js';

const BIN = fileURLToPath(new URL('../../../packages/cli/dist/bin.js', import.meta.url));
const CLOCK_TICKS_PER_SECOND = 100;

/** Options of {@link startBenchFleet}. */
export interface BenchFleetOptions {
  readonly controls?: number;
  readonly entries: number;
  readonly zones?: readonly string[];
  /** Additional fields of the table row of the benchmark service. */
  readonly row?: Readonly<Record<string, unknown>>;
  readonly control?: Readonly<Record<string, unknown>>;
  readonly entry?: Readonly<Record<string, unknown>>;
  readonly nodeArguments?: readonly string[];
  readonly engines: Omit<EngineHostsOptions, 'entryUrls'>;
}

/** A fleet with its engines and clients. */
export interface BenchFleet {
  readonly fleet: ProcessFleet;
  readonly hosts: EngineHosts;
  readonly caller: ShedlineClient;
  readonly operator: ShedlineClient;
  close(): Promise<void>;
}

/** Starts a fleet with its engines, and waits until every entry can use all engines. */
export async function startBenchFleet(options: BenchFleetOptions): Promise<BenchFleet> {
  const fleet = await ProcessFleet.create({
    bin: BIN,
    controls: options.controls ?? 1,
    entries: options.entries,
    zones: options.zones ?? ['zone-1'],
    control: { jobGroupCount: 2, ...options.control },
    entry: { keepForMs: 1000, ...options.entry },
    nodeArguments: options.nodeArguments ?? [],
  });
  await fleet.startAll();
  const operator = new ShedlineClient({ urls: fleet.entryUrls, token: FLEET_TOKENS.operator });
  const caller = new ShedlineClient({ urls: fleet.entryUrls, token: FLEET_TOKENS.caller });
  await putRow(operator, options.row ?? {});
  const hosts = await EngineHosts.start({
    zones: options.zones ?? ['zone-1'],
    ...options.engines,
    entryUrls: fleet.entryUrls,
  });
  await waitUntilUsable(fleet.entryUrls, options.engines.engines);
  const close = async (): Promise<void> => {
    hosts.close();
    await Promise.all([caller.close(), operator.close()]);
    await fleet.close();
  };
  return { fleet, hosts, caller, operator, close };
}

/** Replaces the table by one with a single row. */
export async function putRow(
  operator: ShedlineClient,
  row: Readonly<Record<string, unknown>>,
): Promise<void> {
  const { revision } = (await operator.json({
    method: 'GET',
    path: '/v1/table',
    repeatable: true,
  })) as { revision: number };
  const rows = [{ workspace: FLEET_WORKSPACE, service: 'chat', models: ['demo-model'], ...row }];
  const body = { table: { models: ['demo-model'], rows }, expectedRevision: revision };
  await operator.json({ method: 'PUT', path: '/v1/table', body, repeatable: false });
}

/** Returns the CPU time that a process has used, in seconds. */
export async function cpuSeconds(pid: number): Promise<number> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND;
}

/** Returns the resident memory of a process in MiB. */
export async function memoryMiB(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024;
}

async function waitUntilUsable(urls: readonly string[], engines: number): Promise<void> {
  const countUsable = async (url: string): Promise<number> => {
    const response = await fetch(`${url}/v1/status`, {
      headers: { authorization: `Bearer ${FLEET_TOKENS.operator}` },
    });
    const status = (await response.json()) as { endpoints: { usable: boolean }[] };
    return status.endpoints.filter((endpoint) => endpoint.usable).length;
  };
  for (;;) {
    const counts = await Promise.all(urls.map(countUsable));
    if (counts.every((count) => count >= engines)) return;
    await pause(100);
  }
}
