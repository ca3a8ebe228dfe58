/**
 * Measures how the cost of each mechanism grows with its size, for docs/CAPACITY.md.
 * `node bench/dist/slopes.js [watchers|announces|beats|routing|membership|quota|prefixes|table|idle]`.
 */
import { fileURLToPath } from 'node:url';
import { pack, unpack } from 'msgpackr';
import { QuotaOwner } from '@shedline/admission';
import { RemoteControlPort } from '@shedline/control-client';
import type { RefreshAnswer } from '@shedline/control-client';
import { EndpointDirectory, EntryMembership } from '@shedline/directory';
import type { OutgoingMessage } from '@shedline/directory';
import { FleetView } from '@shedline/entry';
import { PrefixIndex } from '@shedline/routing';
import { Table } from '@shedline/table';
import { FLEET_TOKENS, ProcessFleet, seededRandom } from '@shedline/test-utils';
import { DEFAULT_ROW_FIELDS } from '@shedline/types';
import type { Announcement, ServiceRow } from '@shedline/types';
import { cpuSeconds, memoryMiB } from './support/bench-fleet.js';
import { pause, report } from './support/report.js';
import type { ResultRow } from './support/report.js';

const BIN = fileURLToPath(new URL('../../packages/cli/dist/bin.js', import.meta.url));

function announcement(number: number, sequence = 1): Announcement {
  return {
    endpointId: `engine-${number}`,
    incarnation: 1,
    sequence,
    url: `http://10.1.${number >> 8}.${number & 255}:8000`,
    availabilityZone: 'zone-1',
    kind: 'engine',
    models: ['model-8b'],
    services: [],
    load: { running: 9, waiting: 1, capacity: 32 },
    checksFencing: true,
    leaving: false,
  };
}

/** Returns the mean time of `action` in microseconds, after a warm-up. */
function microsecondsPerCall(calls: number, action: (n: number) => void): number {
  for (let n = 0; n < calls / 10; n += 1) action(n);
  const startedMs = performance.now();
  for (let n = 0; n < calls; n += 1) action(n);
  return ((performance.now() - startedMs) * 1000) / calls;
}

function heapMiB(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / 1024 / 1024;
}

/** Measures table refreshes by entries: CPU time of the leader and bytes received per entry. */
async function measureTableRefreshes(): Promise<ResultRow[]> {
  const rows: ResultRow[] = [];
  for (const [count, editsPerSecond] of [
    [10, 0.3],
    [100, 0.3],
    [300, 0.3],
    [100, 3],
    [100, 30],
  ] as const) {
    const fleet = await ProcessFleet.create({
      bin: BIN,
      controls: 1,
      entries: 0,
      control: { jobGroupCount: 1, voterCount: 1 },
    });
    await fleet.startAll();
    const peer = fleet.controlPeers[0];
    if (peer === undefined) throw new Error('the fleet must have a control instance');
    const ports = Array.from(
      { length: count },
      (_, n) => new RemoteControlPort({ name: `entry-${n}`, secret: fleet.secret, peer }),
    );
    let received = 0;
    let refreshCount = 0;
    const revisions = new Array<number>(count).fill(-1);
    const timers = ports.map((port, n) =>
      setInterval(() => {
        const status = {
          entry: `entry-${n}`,
          url: 'http://10.0.0.1:7400',
          availabilityZone: 'z',
          revision: revisions[n] ?? -1,
          draining: false,
          load: 0.5,
        };
        void port
          .call('refresh', status, 2000)
          .then((reply) => {
            revisions[n] = (reply as RefreshAnswer).delta.revision;
            refreshCount += 1;
            received += pack(reply).length;
          })
          .catch(() => undefined);
      }, 500),
    );
    const editor = new RemoteControlPort({ name: 'editor', secret: fleet.secret, peer });
    let edits = 0;
    const editing = setInterval(() => {
      edits += 1;
      const command = {
        type: 'editRow',
        editId: `e${edits}`,
        contentHash: `e${edits}`,
        expectedRevision: 1e9,
        workspace: 'w',
        service: `s${edits % 50}`,
        change: { kind: 'plain' },
      };
      void editor
        .call(
          'propose',
          { group: 0, command: { ...command, expectedRevision: Math.max(0, ...revisions) } },
          2000,
        )
        .catch(() => undefined);
    }, 1000 / editsPerSecond);
    await pause(3000);
    const pid = fleet.pid('control-1');
    const before = await cpuSeconds(pid);
    received = 0;
    refreshCount = 0;
    await pause(5000);
    const cpu = (await cpuSeconds(pid)) - before;
    rows.push({
      entries: count,
      'edits/s': editsPerSecond,
      'leader % of a core': cpu * 20,
      'us per look': (cpu * 1e6) / Math.max(1, refreshCount),
      'B/s to an entry': received / 5 / count,
      'leader MiB': await memoryMiB(pid),
    });
    for (const timer of [...timers, editing]) clearInterval(timer);
    for (const port of [...ports, editor]) port.close();
    await fleet.close();
  }
  return rows;
}

/** Measures CPU time, size and memory of endpoint heartbeats at an entry. */
function measureHeartbeats(): ResultRow[] {
  return [100, 400, 1600].map((count) => {
    const before = heapMiB();
    const directory = new EndpointDirectory();
    for (let n = 0; n < count; n += 1) directory.observe(announcement(n), 0, 0);
    const heap = heapMiB() - before;
    const wholeBytes = pack([[announcement(7), 3]]).length;
    const shortBytes = pack([['engine-7', 1, 1234, 9, 1, 3]]).length;
    let sequence = 2;
    const heartbeatUs = microsecondsPerCall(20_000, (n) => {
      sequence += 1;
      const [endpointId, incarnation, , running, waiting] = unpack(
        pack([`engine-${n % count}`, 1, sequence, 9, 1, 3]),
      ) as [string, number, number, number, number];
      directory.applyHeartbeat({ endpointId, incarnation, sequence, running, waiting }, 3, n);
    });
    return {
      endpoints: count,
      'us per heartbeat': heartbeatUs,
      'whole B': wholeBytes,
      'short B': shortBytes,
      'KiB per endpoint': (heap * 1024) / count,
    };
  });
}

/** Measures the time to choose an engine, by the number of engines that an entry observes. */
function measureRouting(): ResultRow[] {
  return [50, 200, 400, 1600].map((count) => {
    const fleet = new FleetView({
      availabilityZone: 'zone-1',
      endpointLeaseMs: 1e9,
      random: seededRandom(1),
    });
    for (let n = 0; n < count; n += 1) fleet.applyAnnouncement(announcement(n), 0, 0);
    const row: ServiceRow = {
      ...DEFAULT_ROW_FIELDS,
      workspace: 'w',
      service: 's',
      revision: 1,
      models: ['model-8b'],
    };
    const prefixes = ['a', 'b', 'c'];
    fleet.prefixes.record('engine-3', prefixes);
    const query = { row, prefixes, sessionId: undefined, excluded: new Set<string>() };
    const routeUs = microsecondsPerCall(1000, () => {
      fleet.route(query, 10_000);
    });
    const pressureUs = microsecondsPerCall(1000, () => {
      fleet.loadAndCapacityOf(row, 10_000);
    });
    return {
      'engines in the cell': count,
      'us per choice': routeUs,
      'us per look at the load': pressureUs,
    };
  });
}

/** Measures the cost of failure detection among entries. */
function measureMembership(): ResultRow[] {
  return [12, 90, 360].map((count) => {
    const names = Array.from({ length: count }, (_, n) => `entry-${n}`);
    const random = seededRandom(3);
    const members = new Map(
      names.map((self) => [self, new EntryMembership({ self, peers: names, random })]),
    );
    let bytes = 0;
    let messages = 0;
    let nowMs = 0;
    const dispatch = (out: readonly OutgoingMessage[]): void => {
      for (const { to, message } of out) {
        messages += 1;
        bytes += pack(message).length;
        dispatch(members.get(to)?.receive(message, nowMs) ?? []);
      }
    };
    const startedMs = performance.now();
    for (; nowMs < 30_000; nowMs += 100)
      for (const member of members.values()) dispatch(member.tick(nowMs));
    const cpuMs = performance.now() - startedMs;
    return {
      entries: count,
      'messages/s an entry': messages / count / 30,
      'B/s an entry': bytes / count / 30,
      '% of a core an entry': (cpuMs / 30_000 / count) * 100,
    };
  });
}

/** Measures the cost of quota requests at the quota owner. */
function measureQuota(): ResultRow[] {
  return [12, 90, 360].map((count) => {
    const owner = new QuotaOwner({ entryCount: count, epoch: 'o' });
    const tokens = new Map<string, { ownerEpoch: string; atMs: number }>();
    let nowMs = 0;
    const requestQuota = (n: number): void => {
      const entry = `entry-${n % count}`;
      if (n % count === 0) nowMs += 200;
      const token = tokens.get(entry);
      const request = {
        entry,
        row: `w/s${n % 30}|x`,
        demand: 5,
        limit: 100,
        revision: 1,
        ...(token ? { token } : {}),
      };
      tokens.set(entry, owner.grant(request, nowMs).token);
    };
    const requestUs = microsecondsPerCall(20_000, requestQuota);
    const requestBytes = pack([
      {
        entry: 'entry-12',
        row: 'workspace/service|tokensPerSecond',
        demand: 5,
        limit: 100,
        revision: 1,
        token: { ownerEpoch: 'abcdefabcdef', atMs: 12345.6 },
      },
    ]).length;
    return { entries: count, 'us per ask': requestUs, 'B per ask': requestBytes };
  });
}

/** Measures the memory of the prefix index of an entry, and the time of a lookup. */
function measurePrefixIndex(): ResultRow[] {
  return [5000, 20_000, 50_000].map((count) => {
    const before = heapMiB();
    const index = new PrefixIndex({ maxPrefixes: count });
    for (let n = 0; n < count; n += 1)
      index.record(`engine-${n % 400}`, [`prefix-${n.toString(36)}`]);
    const heap = heapMiB() - before;
    const prompt = Array.from({ length: 32 }, (_, n) => `prefix-${(n * 17).toString(36)}`);
    return {
      prefixes: count,
      MiB: heap,
      'B per prefix': (heap * 1024 * 1024) / count,
      'us per look-up of 32': microsecondsPerCall(5000, () => {
        index.matchingBlocks(prompt);
      }),
    };
  });
}

/** Measures memory, edit time and sizes of a table with many rows. */
function measureTable(): ResultRow[] {
  return [200, 2100, 10_000].map((count) => {
    const before = heapMiB();
    const state = new Table();
    const rows = Array.from({ length: count }, (_, n) => ({
      workspace: `w${n}`,
      service: 's',
      change: { kind: 'plain' as const },
    }));
    state.apply({
      type: 'replaceTable',
      editId: 'a',
      contentHash: 'a',
      expectedRevision: 0,
      models: [],
      rows,
    });
    const heap = heapMiB() - before;
    let n = 0;
    const editUs = microsecondsPerCall(2000, () => {
      n += 1;
      state.apply({
        type: 'editRow',
        editId: `e${n}`,
        contentHash: `e${n}`,
        expectedRevision: state.revision,
        workspace: `w${n % count}`,
        service: 's',
        change: { weight: 1 + (n % 9) },
      });
    });
    return {
      rows: count,
      MiB: heap,
      'us per edit': editUs,
      'snapshot KiB': state.snapshot().length / 1024,
      'delta of one edit B': pack(state.deltaSince(state.revision - 1)).length,
    };
  });
}

/** Measures CPU usage and memory of daemons without requests. */
async function measureIdleFleet(): Promise<ResultRow[]> {
  const rows: ResultRow[] = [];
  for (const entries of [3, 6, 12]) {
    const fleet = await ProcessFleet.create({
      bin: BIN,
      controls: 3,
      entries,
      control: { jobGroupCount: 4, voterCount: 3 },
    });
    await fleet.startAll();
    await pause(4000);
    const pids = [...fleet.controls, ...fleet.entries].map(({ name }) => fleet.pid(name));
    const before = await Promise.all(pids.map(cpuSeconds));
    await pause(6000);
    const after = await Promise.all(pids.map(cpuSeconds));
    const shares = after.map((seconds, n) => ((seconds - (before[n] ?? 0)) / 6) * 100);
    const mean = (values: readonly number[]): number =>
      values.reduce((a, b) => a + b, 0) / values.length;
    rows.push({
      entries,
      'control % of a core': mean(shares.slice(0, 3)),
      'entry % of a core': mean(shares.slice(3)),
      'control MiB': await memoryMiB(pids[0] ?? 0),
      'entry MiB': await memoryMiB(pids[3] ?? 0),
    });
    await fleet.close();
  }
  return rows;
}

/** Measures the cost of endpoint announcements at one entry. */
async function measureAnnouncements(): Promise<ResultRow[]> {
  const rows: ResultRow[] = [];
  for (const perSecond of [30, 100, 300]) {
    const fleet = await ProcessFleet.create({
      bin: BIN,
      controls: 1,
      entries: 1,
      control: { voterCount: 1 },
    });
    await fleet.startAll();
    const url = `${fleet.entryUrls[0] ?? ''}/v1/endpoints/announce`;
    const headers = {
      authorization: `Bearer ${FLEET_TOKENS.endpoint}`,
      'content-type': 'application/json',
    };
    let sequence = 0;
    const timer = setInterval(() => {
      sequence += 1;
      const body = JSON.stringify(announcement(sequence % perSecond, sequence));
      void fetch(url, { method: 'POST', headers, body }).then((response) => response.arrayBuffer());
    }, 1000 / perSecond);
    await pause(2000);
    const pid = fleet.pid('entry-1');
    const before = await cpuSeconds(pid);
    const sequenceBefore = sequence;
    await pause(6000);
    const cpu = (await cpuSeconds(pid)) - before;
    clearInterval(timer);
    rows.push({
      'announcements/s': (sequence - sequenceBefore) / 6,
      'entry % of a core': (cpu / 6) * 100,
      'body B': JSON.stringify(announcement(1)).length,
      'entry MiB': await memoryMiB(pid),
    });
    await fleet.close();
  }
  return rows;
}

const parts: Record<string, () => ResultRow[] | Promise<ResultRow[]>> = {
  beats: measureHeartbeats,
  routing: measureRouting,
  membership: measureMembership,
  quota: measureQuota,
  prefixes: measurePrefixIndex,
  table: measureTable,
  watchers: measureTableRefreshes,
  announces: measureAnnouncements,
  idle: measureIdleFleet,
};
const wanted = process.argv.slice(2);
for (const [name, part] of Object.entries(parts)) {
  if (wanted.length === 0 || wanted.includes(name)) await report(`slopes-${name}`, await part());
}
process.exit(0);
