/**
 * Routing strategies side by side on stand-in engines: sessions with shared prompts, several
 * entries that each decide alone, load reports that lag, cache events late and with gaps.
 */
import { CostRouting, LoadView, PrefixIndex, sessionHome } from '@shedline/routing';
import type { Candidate, RouteRequest, RoutingStrategy } from '@shedline/routing';
import { BatchingEngine, planGeneration } from '@shedline/stand-ins';
import { seededRandom } from '@shedline/test-utils';
import { prefixHashes, unitHash } from '@shedline/types';
import { pause, percentile, report } from './support/report.js';
import type { ResultRow } from './support/report.js';

const ENGINES = 24;
const ENTRIES = 3;
const RUN_MS = 12_000;
const REQUESTS_PER_SECOND = 110;
const CAPACITY = 16;
const REPORT_INTERVAL_MS = 1000;
const COUNTS_INTERVAL_MS = 250;
const SYSTEM_PROMPTS = 12;
const OPEN_SESSIONS = 150;
const EVENT_LOSS = 0.1;
const TIMES = {
  stepMs: 20,
  perSequenceMs: 1.5,
  perPrefillTokenMs: 0.06,
  prefillTokensPerStep: 1024,
};

interface Engine {
  readonly id: string;
  readonly engine: BatchingEngine;
  reported: number;
  heldEvents: string[];
}

interface Entry {
  readonly loads: LoadView;
  readonly prefixes: PrefixIndex;
  readonly sessions: Map<string, string>;
  readonly strategy: RoutingStrategy;
}

interface Session {
  readonly id: string;
  prompt: string;
  turns: number;
}

class RoundRobin implements RoutingStrategy {
  private next = 0;

  choose({ candidates }: RouteRequest): Candidate | undefined {
    this.next += 1;
    return candidates[this.next % candidates.length];
  }
}

/** Least load by what the engines reported alone. */
class ReportedLeast implements RoutingStrategy {
  constructor(private readonly reported: (id: string) => number) {}

  choose({ candidates }: RouteRequest): Candidate | undefined {
    const loads = candidates.map((candidate) => this.reported(candidate.endpointId));
    return candidates[loads.indexOf(Math.min(...loads))];
  }
}

class TwoChoices implements RoutingStrategy {
  constructor(private readonly random: () => number) {}

  choose({ candidates }: RouteRequest): Candidate | undefined {
    const a = candidates[Math.floor(this.random() * candidates.length)];
    const b = candidates[Math.floor(this.random() * candidates.length)];
    return (a?.load ?? 0) <= (b?.load ?? 0) ? a : b;
  }
}

/** Always the engine that the session hashes to. */
class PlainHash implements RoutingStrategy {
  choose({ candidates, sessionEndpointId }: RouteRequest): Candidate | undefined {
    return candidates.find(({ endpointId }) => endpointId === sessionEndpointId) ?? candidates[0];
  }
}

function paragraph(name: string, blocks: number): string {
  let text = '';
  for (let n = 0; text.length < blocks * 256; n += 1)
    text += `${name} ${Math.floor(unitHash(`${name}${n}`) * 1e6)} `;
  return text.slice(0, blocks * 256);
}

/** Prompt tokens that one cache without limit would have held. */
class UnlimitedCache {
  private readonly seen = new Set<string>();
  hits = 0;

  use(hashes: readonly string[]): void {
    for (const hash of hashes) {
      if (this.seen.has(hash)) this.hits += 1;
      this.seen.add(hash);
    }
  }
}

async function run(
  name: string,
  create: (random: () => number, reported: (id: string) => number) => RoutingStrategy,
): Promise<ResultRow> {
  const random = seededRandom(4);
  const engines = Array.from({ length: ENGINES }, (_, index): Engine => ({
    id: `engine-${index}`,
    engine: new BatchingEngine({ times: TIMES, cacheBlocks: 600 }),
    reported: 0,
    heldEvents: [],
  }));
  const reported = (id: string): number =>
    engines.find((engine) => engine.id === id)?.reported ?? 0;
  const entries = Array.from({ length: ENTRIES }, (): Entry => ({
    loads: new LoadView(),
    prefixes: new PrefixIndex(),
    sessions: new Map(),
    strategy: create(random, reported),
  }));
  const reports = setInterval(() => {
    reportAll(engines, entries, random);
  }, REPORT_INTERVAL_MS);
  const counts = setInterval(() => {
    shareCounts(entries);
  }, COUNTS_INTERVAL_MS);
  const systems = Array.from({ length: SYSTEM_PROMPTS }, (_, n) => paragraph(`system-${n}`, 6));
  const sessions: Session[] = [];
  const firsts: number[] = [];
  const spread: number[] = [];
  const ideal = new UnlimitedCache();
  const startedMs = performance.now();
  let count = 0;
  for (
    let dueMs = startedMs;
    dueMs < startedMs + RUN_MS;
    dueMs += -Math.log(1 - random()) * (1000 / REQUESTS_PER_SECOND)
  ) {
    await pause(dueMs - performance.now());
    const session = nextSession(sessions, systems, random, count);
    const entry = entries[Math.floor(random() * ENTRIES)];
    if (entry !== undefined) send(entry, engines, session, ideal, dueMs, firsts, count);
    count += 1;
    if (count % 50 === 0) spread.push(spreadOf(engines));
  }
  await pause(2500);
  clearInterval(reports);
  clearInterval(counts);
  const cached = engines.reduce((sum, { engine }) => sum + engine.tokenTotals.cachedTokens, 0);
  for (const { engine } of engines) engine.stop();
  return {
    strategy: name,
    requests: count,
    'hits of one unlimited cache %': (100 * cached) / (ideal.hits * 64),
    'first p50 ms': percentile(firsts, 50),
    'first p95 ms': percentile(firsts, 95),
    'first p99 ms': percentile(firsts, 99),
    'load spread (max/mean)': percentile(spread, 50),
  };
}

function reportAll(
  engines: readonly Engine[],
  entries: readonly Entry[],
  random: () => number,
): void {
  const nowMs = performance.now();
  for (const one of engines) {
    for (const { loads, prefixes } of entries) {
      loads.report(one.id, one.reported, CAPACITY, REPORT_INTERVAL_MS, nowMs);
      prefixes.note(one.id, one.heldEvents);
    }
    one.reported = one.engine.running;
    one.heldEvents = one.engine.takeNewlyCached().filter(() => random() >= EVENT_LOSS);
  }
}

function shareCounts(entries: readonly Entry[]): void {
  const nowMs = performance.now();
  for (const [index, from] of entries.entries()) {
    for (const { endpointId, online, batch } of from.loads.own()) {
      for (const to of entries) {
        if (to !== from) to.loads.peerCount(endpointId, `entry-${index}`, { online, batch }, nowMs);
      }
    }
  }
}

function nextSession(
  sessions: Session[],
  systems: readonly string[],
  random: () => number,
  count: number,
): Session {
  const old = sessions[Math.floor(random() * OPEN_SESSIONS)];
  if (old !== undefined && old.turns < 8) {
    old.turns += 1;
    old.prompt += paragraph(`${old.id} turn ${old.turns}`, 2);
    return old;
  }
  const system = systems[Math.floor(random() * systems.length)] ?? '';
  const session = { id: `s${count}`, prompt: system + paragraph(`s${count}`, 1), turns: 0 };
  if (sessions.length < OPEN_SESSIONS) sessions.push(session);
  else sessions[old === undefined ? 0 : sessions.indexOf(old)] = session;
  return session;
}

function send(
  entry: Entry,
  engines: readonly Engine[],
  session: Session,
  ideal: UnlimitedCache,
  dueMs: number,
  firsts: number[],
  count: number,
): void {
  const nowMs = performance.now();
  const hashes = prefixHashes(session.prompt);
  ideal.use(hashes);
  const candidates = engines.map(({ id }): Candidate => ({
    endpointId: id,
    availabilityZone: 'z',
    load: entry.loads.online(id, nowMs),
    capacity: CAPACITY,
    slowStartShare: 1,
  }));
  const home =
    entry.sessions.get(session.id) ??
    sessionHome(
      session.id,
      engines.map(({ id }) => id),
    );
  const chosen = entry.strategy.choose({
    candidates,
    heldBlocks: entry.prefixes.matches(hashes),
    promptBlocks: hashes.length,
    availabilityZone: 'z',
    ...(home === undefined ? {} : { sessionEndpointId: home }),
  });
  const target = engines.find(({ id }) => id === chosen?.endpointId);
  if (target === undefined) return;
  entry.loads.change(target.id, 'online', 1);
  let isFirst = true;
  target.engine.start(session.prompt, {
    requestId: `r${count}`,
    generation: planGeneration(session.prompt, undefined),
    position: 0,
    onToken: () => {
      if (isFirst) {
        firsts.push(performance.now() - dueMs);
        entry.prefixes.note(target.id, hashes);
        entry.sessions.set(session.id, target.id);
      }
      isFirst = false;
      return true;
    },
    onEnd: () => {
      entry.loads.change(target.id, 'online', -1);
    },
  });
}

function spreadOf(engines: readonly Engine[]): number {
  const running = engines.map(({ engine }) => engine.running);
  const mean = running.reduce((a, b) => a + b, 0) / running.length;
  return mean === 0 ? 1 : Math.max(...running) / mean;
}

const rows = [
  await run(
    'cost (chosen)',
    (random) =>
      new CostRouting({
        random,
        prefillBlockMs: 64 * TIMES.perPrefillTokenMs,
        loadMs: TIMES.perSequenceMs,
      }),
  ),
  await run('round robin', () => new RoundRobin()),
  await run('least by reports', (_, reported) => new ReportedLeast(reported)),
  await run('two choices', (random) => new TwoChoices(random)),
  await run('plain hash', () => new PlainHash()),
];
await report('routing', rows);
process.exit(0);
