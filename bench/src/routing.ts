/**
 * Compares routing strategies on stand-in engines: sessions share system prompts, several entries
 * route independently, load reports lag, and cache events arrive late and incompletely.
 */
import { CostRouting, LoadView, PrefixIndex, firstSessionEndpoint } from '@shedline/routing';
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
const PEER_COUNTS_INTERVAL_MS = 250;
const SYSTEM_PROMPTS = 12;
const OPEN_SESSIONS = 150;
const CACHE_EVENT_LOSS_SHARE = 0.1;
const TIMES = {
  stepMs: 20,
  perSequenceMs: 1.5,
  perPrefillTokenMs: 0.06,
  prefillTokensPerStep: 1024,
};

interface SimulatedEngine {
  readonly id: string;
  readonly engine: BatchingEngine;
  reportedLoad: number;
  pendingCacheEvents: string[];
}

interface SimulatedEntry {
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

/** Chooses the engine with the least reported load, ignoring the requests of this entry. */
class LeastReportedLoad implements RoutingStrategy {
  constructor(private readonly reportedLoad: (id: string) => number) {}

  choose({ candidates }: RouteRequest): Candidate | undefined {
    const loads = candidates.map((candidate) => this.reportedLoad(candidate.endpointId));
    return candidates[loads.indexOf(Math.min(...loads))];
  }
}

/** Chooses the less loaded one of two random engines. */
class TwoChoices implements RoutingStrategy {
  constructor(private readonly random: () => number) {}

  choose({ candidates }: RouteRequest): Candidate | undefined {
    const a = candidates[Math.floor(this.random() * candidates.length)];
    const b = candidates[Math.floor(this.random() * candidates.length)];
    return (a?.load ?? 0) <= (b?.load ?? 0) ? a : b;
  }
}

/** Always chooses the engine that the session hashes to. */
class SessionHash implements RoutingStrategy {
  choose({ candidates, sessionEndpointId }: RouteRequest): Candidate | undefined {
    return candidates.find(({ endpointId }) => endpointId === sessionEndpointId) ?? candidates[0];
  }
}

/** Creates a text of `blocks` prefix blocks that is determined by `name`. */
function promptOfBlocks(name: string, blocks: number): string {
  let text = '';
  for (let n = 0; text.length < blocks * 256; n += 1)
    text += `${name} ${Math.floor(unitHash(`${name}${n}`) * 1e6)} `;
  return text.slice(0, blocks * 256);
}

/** Counts the prefix blocks that a single cache without a size limit would hit. */
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

async function runStrategy(
  name: string,
  createStrategy: (random: () => number, reportedLoad: (id: string) => number) => RoutingStrategy,
): Promise<ResultRow> {
  const random = seededRandom(4);
  const engines = Array.from({ length: ENGINES }, (_, index): SimulatedEngine => ({
    id: `engine-${index}`,
    engine: new BatchingEngine({ times: TIMES, cacheBlocks: 600 }),
    reportedLoad: 0,
    pendingCacheEvents: [],
  }));
  const reportedLoad = (id: string): number =>
    engines.find((engine) => engine.id === id)?.reportedLoad ?? 0;
  const entries = Array.from({ length: ENTRIES }, (): SimulatedEntry => ({
    loads: new LoadView(),
    prefixes: new PrefixIndex(),
    sessions: new Map(),
    strategy: createStrategy(random, reportedLoad),
  }));
  const reportTimer = setInterval(() => {
    reportLoads(engines, entries, random);
  }, REPORT_INTERVAL_MS);
  const countsTimer = setInterval(() => {
    sharePeerCounts(entries);
  }, PEER_COUNTS_INTERVAL_MS);
  const systemPrompts = Array.from({ length: SYSTEM_PROMPTS }, (_, n) =>
    promptOfBlocks(`system-${n}`, 6),
  );
  const sessions: Session[] = [];
  const firstTokenTimesMs: number[] = [];
  const loadSpreads: number[] = [];
  const unlimitedCache = new UnlimitedCache();
  const startedMs = performance.now();
  let count = 0;
  for (
    let dueMs = startedMs;
    dueMs < startedMs + RUN_MS;
    dueMs += -Math.log(1 - random()) * (1000 / REQUESTS_PER_SECOND)
  ) {
    await pause(dueMs - performance.now());
    const session = nextSession(sessions, systemPrompts, random, count);
    const entry = entries[Math.floor(random() * ENTRIES)];
    if (entry !== undefined)
      send(entry, engines, session, unlimitedCache, dueMs, firstTokenTimesMs, count);
    count += 1;
    if (count % 50 === 0) loadSpreads.push(loadSpread(engines));
  }
  await pause(2500);
  clearInterval(reportTimer);
  clearInterval(countsTimer);
  const cached = engines.reduce((sum, { engine }) => sum + engine.tokenTotals.cachedTokens, 0);
  for (const { engine } of engines) engine.stop();
  return {
    strategy: name,
    requests: count,
    'hits of one unlimited cache %': (100 * cached) / (unlimitedCache.hits * 64),
    'first p50 ms': percentile(firstTokenTimesMs, 50),
    'first p95 ms': percentile(firstTokenTimesMs, 95),
    'first p99 ms': percentile(firstTokenTimesMs, 99),
    'load spread (max/mean)': percentile(loadSpreads, 50),
  };
}

function reportLoads(
  engines: readonly SimulatedEngine[],
  entries: readonly SimulatedEntry[],
  random: () => number,
): void {
  const nowMs = performance.now();
  for (const simulated of engines) {
    for (const { loads, prefixes } of entries) {
      loads.applyReport(simulated.id, simulated.reportedLoad, CAPACITY, REPORT_INTERVAL_MS, nowMs);
      prefixes.record(simulated.id, simulated.pendingCacheEvents);
    }
    simulated.reportedLoad = simulated.engine.running;
    simulated.pendingCacheEvents = simulated.engine
      .takeNewlyCached()
      .filter(() => random() >= CACHE_EVENT_LOSS_SHARE);
  }
}

function sharePeerCounts(entries: readonly SimulatedEntry[]): void {
  const nowMs = performance.now();
  for (const [index, from] of entries.entries()) {
    for (const { endpointId, online, batch } of from.loads.ownCounts()) {
      for (const to of entries) {
        if (to !== from)
          to.loads.recordPeerCounts(endpointId, `entry-${index}`, { online, batch }, nowMs);
      }
    }
  }
}

/** Continues an open session, or opens a new one in place of a session with 8 turns. */
function nextSession(
  sessions: Session[],
  systemPrompts: readonly string[],
  random: () => number,
  count: number,
): Session {
  const existing = sessions[Math.floor(random() * OPEN_SESSIONS)];
  if (existing !== undefined && existing.turns < 8) {
    existing.turns += 1;
    existing.prompt += promptOfBlocks(`${existing.id} turn ${existing.turns}`, 2);
    return existing;
  }
  const systemPrompt = systemPrompts[Math.floor(random() * systemPrompts.length)] ?? '';
  const session = {
    id: `s${count}`,
    prompt: systemPrompt + promptOfBlocks(`s${count}`, 1),
    turns: 0,
  };
  if (sessions.length < OPEN_SESSIONS) sessions.push(session);
  else sessions[existing === undefined ? 0 : sessions.indexOf(existing)] = session;
  return session;
}

function send(
  entry: SimulatedEntry,
  engines: readonly SimulatedEngine[],
  session: Session,
  unlimitedCache: UnlimitedCache,
  dueMs: number,
  firstTokenTimesMs: number[],
  count: number,
): void {
  const nowMs = performance.now();
  const hashes = prefixHashes(session.prompt);
  unlimitedCache.use(hashes);
  const candidates = engines.map(({ id }): Candidate => ({
    endpointId: id,
    availabilityZone: 'z',
    load: entry.loads.online(id, nowMs),
    capacity: CAPACITY,
    slowStartShare: 1,
  }));
  const sessionEndpointId =
    entry.sessions.get(session.id) ??
    firstSessionEndpoint(
      session.id,
      engines.map(({ id }) => id),
    );
  const chosen = entry.strategy.choose({
    candidates,
    heldBlocks: entry.prefixes.matchingBlocks(hashes),
    promptBlocks: hashes.length,
    availabilityZone: 'z',
    ...(sessionEndpointId === undefined ? {} : { sessionEndpointId }),
  });
  const target = engines.find(({ id }) => id === chosen?.endpointId);
  if (target === undefined) return;
  entry.loads.recordChange(target.id, 'online', 1);
  let isFirst = true;
  target.engine.start(session.prompt, {
    requestId: `r${count}`,
    generation: planGeneration(session.prompt, undefined),
    position: 0,
    onToken: () => {
      if (isFirst) {
        firstTokenTimesMs.push(performance.now() - dueMs);
        entry.prefixes.record(target.id, hashes);
        entry.sessions.set(session.id, target.id);
      }
      isFirst = false;
      return true;
    },
    onEnd: () => {
      entry.loads.recordChange(target.id, 'online', -1);
    },
  });
}

/** Returns the maximum number of running requests over the mean. */
function loadSpread(engines: readonly SimulatedEngine[]): number {
  const running = engines.map(({ engine }) => engine.running);
  const mean = running.reduce((a, b) => a + b, 0) / running.length;
  return mean === 0 ? 1 : Math.max(...running) / mean;
}

const rows = [
  await runStrategy(
    'cost (chosen)',
    (random) =>
      new CostRouting({
        random,
        prefillBlockMs: 64 * TIMES.perPrefillTokenMs,
        loadMs: TIMES.perSequenceMs,
      }),
  ),
  await runStrategy('round robin', () => new RoundRobin()),
  await runStrategy('least by reports', (_, reportedLoad) => new LeastReportedLoad(reportedLoad)),
  await runStrategy('two choices', (random) => new TwoChoices(random)),
  await runStrategy('plain hash', () => new SessionHash()),
];
await report('routing', rows);
process.exit(0);
