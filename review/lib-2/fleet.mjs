/**
 * A small deployment of the project's own programs on loopback addresses, with stand-ins of the
 * platform, the operator, the replicas and the clients, for the scripts of this review.
 */
import { spawn } from 'node:child_process';
import { randomBytes } from 'node:crypto';
import {
  appendFileSync,
  createWriteStream,
  mkdirSync,
  mkdtempSync,
  renameSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';

const PORTS = { edge: 8161, registry: 8164, control: 8166, readiness: 8167, peer: 7720 };
const REPLICA_PORT = 8080;
const HEARTBEAT_MS = 1200;
/** The commands of `deploy/system.toml`. */
const COMMANDS = {
  entry: ['--max-old-space-size=96', '--max-semi-space-size=2', 'target/shedline-entry.cjs'],
  control: ['--max-old-space-size=96', '--max-semi-space-size=2', 'target/shedline-control.cjs'],
  store: ['--max-old-space-size=128', '--max-semi-space-size=2', 'target/shedline-store.cjs'],
};
const METRICS_PORTS = { entry: 9470, control: 9471, store: 9472 };
const ZONES = ['ikeja', 'lekki', 'yaba'];

export const HOST = 'nony24.example';

export function randomId() {
  return randomBytes(8).toString('hex');
}

/** Writes what was sent, answered and run. */
export class Record {
  constructor(file) {
    this.file = file;
    this.startedAtMs = performance.now();
    writeFileSync(file, '');
  }

  add(text) {
    const seconds = ((performance.now() - this.startedAtMs) / 1000).toFixed(3);
    appendFileSync(this.file, `${seconds.padStart(8)} ${text}\n`);
  }
}

/** Makes an HTTP call; resolves with status 0 if no response arrives in time. */
export function call({ host, port, method = 'GET', path, headers = {}, body, timeoutMs = 1000 }) {
  return new Promise((resolve) => {
    const request = http.request(
      { host, port, method, path, headers, agent: false },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('end', () => {
          clearTimeout(timer);
          const isWhole = response.complete;
          resolve({
            status: isWhole ? response.statusCode : 0,
            headers: response.headers,
            body: Buffer.concat(chunks),
          });
        });
        response.on('error', () => finish('the response broke off'));
      },
    );
    const finish = (reason) => {
      clearTimeout(timer);
      request.destroy();
      resolve({ status: 0, headers: {}, body: Buffer.alloc(0), reason });
    };
    const timer = setTimeout(() => finish('timeout'), timeoutMs);
    request.on('error', (error) => finish(error.code ?? error.message));
    request.end(body);
  });
}

/** A loopback network whose first addresses are free. */
async function findNetwork() {
  for (;;) {
    const [a, b] = randomBytes(2);
    const network = `127.${(a % 200) + 20}.${b}`;
    const server = net.createServer();
    const isFree = await new Promise((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(PORTS.peer, `${network}.11`, () => resolve(true));
    });
    await new Promise((resolve) => server.close(resolve));
    if (isFree) return network;
  }
}

/** A replica: a sound server that follows the protocol page. */
export class Replica {
  constructor(
    fleet,
    { number, service, slots = 8, eventMs = 20, eventsOf = () => 20, onRequest, onEnd },
  ) {
    this.fleet = fleet;
    this.id = `i-${randomId()}`;
    this.host = `${fleet.network}.${100 + number}`;
    this.service = service;
    this.zone = ZONES[number % ZONES.length];
    this.slots = slots;
    this.eventMs = eventMs;
    this.eventsOf = eventsOf;
    this.onRequest = onRequest;
    this.onEnd = onEnd;
    this.running = 0;
    this.sequence = 0;
    this.server = http.createServer((request, response) => void this.handle(request, response));
  }

  async start() {
    await new Promise((resolve) => this.server.listen(REPLICA_PORT, this.host, resolve));
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  async beat() {
    this.sequence += 1;
    const body = JSON.stringify({
      service: this.service,
      address: `${this.host}:${REPLICA_PORT}`,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: 'ready',
      warmupLeftMs: 0,
      stage: 'both',
      models: [{ name: 'm', version: 1, adapters: [] }],
      sequence: this.sequence,
    });
    for (const machine of this.fleet.fronts) {
      const { status } = await call({
        host: machine.ip,
        port: PORTS.control,
        method: 'PUT',
        path: `/instances/${this.id}`,
        headers: { 'Content-Type': 'application/json' },
        body,
      });
      if (status >= 200 && status < 300) return;
    }
  }

  async handle(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    if (request.url === '/healthz') {
      response.writeHead(200, { 'X-Instance-Id': this.id }).end();
      return;
    }
    const requestId = request.headers['x-request-id'];
    const head = { 'X-Request-Id': requestId ?? '' };
    if (request.headers['x-expect-instance'] !== this.id) {
      response.writeHead(421, { ...head, 'X-Not-Executed': '1' }).end();
      return;
    }
    if (this.running >= this.slots) {
      response.writeHead(503, { ...head, 'X-Not-Executed': '1' }).end();
      return;
    }
    const from = Number(request.headers['last-event-id'] ?? 0);
    this.fleet.record.add(
      `replica ${this.id} runs ${requestId} ${request.url} after event ${from}`,
    );
    if (this.onRequest?.(request, response, Buffer.concat(chunks), head) === true) return;
    this.running += 1;
    try {
      await this.stream(response, requestId, from, head);
    } finally {
      this.running -= 1;
      this.onEnd?.();
    }
  }

  async stream(response, requestId, from, head) {
    response.writeHead(200, {
      ...head,
      'X-Server-Stamp': `stamp.${this.id}.${requestId}`,
      'Content-Type': 'text/event-stream',
    });
    for (let event = from + 1; event <= this.eventsOf(requestId); event += 1) {
      await pause(this.eventMs);
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: ${requestId} ${event}\n\n`);
    }
    response.end();
    this.fleet.record.add(`replica ${this.id} finished ${requestId}`);
  }

  close() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** The text of an item that runs to its end at a {@link Replica}. */
export function textOf(itemId, events) {
  return Array.from({ length: events }, (_, index) => `${itemId} ${index + 1}`).join('\n');
}

/** Three front machines with `control` and `entry`, and three store machines. */
export class Fleet {
  constructor(record) {
    this.record = record;
    this.children = new Map();
    this.replicas = [];
    this.operatorTurn = 0;
  }

  async start({ frontCount = 3, storeCount = 3, seedsOf } = {}) {
    this.folder = mkdtempSync(join(tmpdir(), 'shedline-review-'));
    this.network = await findNetwork();
    this.fronts = Array.from({ length: frontCount }, (_, index) => this.machine('edge', index, 11));
    this.stores = Array.from({ length: storeCount }, (_, index) =>
      this.machine('storage', index, 21),
    );
    this.seedsOf = seedsOf;
    for (const machine of this.fronts) {
      this.spawn(machine, 'control', true);
      this.spawn(machine, 'entry', true);
    }
    for (const machine of this.stores) this.spawn(machine, 'store', true);
    process.once('exit', () => this.killAll());
    for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => process.exit(2));
  }

  machine(kind, index, firstHost) {
    const zone = ZONES[index % ZONES.length];
    const number = Math.floor(index / ZONES.length) + 1;
    return { name: `${kind}-${zone}-${number}`, zone, ip: `${this.network}.${firstHost + index}` };
  }

  settings(machine, role, bootstrap) {
    const seeds = this.seedsOf?.(machine, role) ?? this.fronts.slice(0, 3).map(({ ip }) => ip);
    const dataDir = role === 'entry' ? {} : { dataDir: this.dataDir(machine, role) };
    const listeners = {
      entry: {
        caller: `${machine.ip}:${PORTS.edge}`,
        readiness: `${machine.ip}:${PORTS.readiness}`,
        addresses: `${machine.ip}:${PORTS.registry}`,
      },
      control: { control: `${machine.ip}:${PORTS.control}` },
      store: {},
    }[role];
    // As rendered from platform/settings.json.tmpl.
    return {
      instance: machine.name,
      availabilityZone: machine.zone,
      host: machine.ip,
      firstPeerPort: PORTS.peer,
      seeds: seeds.map((ip) => `${ip}:${PORTS.control}`),
      isFounding: bootstrap,
      toleratedLosses: 1,
      ...dataDir,
      listeners: { ...listeners, metrics: `${machine.ip}:${METRICS_PORTS[role]}` },
      fleetSecret: 'shedline-on-the-users-platform',
      heartbeatMs: HEARTBEAT_MS,
      stopWithinS: 8,
      addressKeepS: 5,
      quotaOvershootShare: 0.1,
      jobRetentionS: 120,
    };
  }

  dataDir(machine, role) {
    const folder = join(this.folder, `${machine.name}-${role}`);
    mkdirSync(folder, { recursive: true });
    return folder;
  }

  spawn(machine, role, bootstrap = false) {
    const key = `${machine.name}/${role}`;
    const file = join(this.folder, `${machine.name}-${role}.json`);
    writeFileSync(file, JSON.stringify(this.settings(machine, role, bootstrap)));
    const child = spawn(process.execPath, COMMANDS[role], {
      env: { PATH: process.env.PATH, SHEDLINE_NODE_FILE: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(this.folder, `${machine.name}-${role}.log`), { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once('exit', (code, signal) => {
      if (this.children.get(key) !== child) return;
      this.children.delete(key);
      if (!this.isClosing) this.record.add(`process ${key} ended: ${code ?? signal}`);
    });
    this.children.set(key, child);
  }

  signal(machine, role, signal) {
    this.record.add(`${signal} to ${machine.name}/${role}`);
    this.children.get(`${machine.name}/${role}`)?.kill(signal);
  }

  async kill(machine, role) {
    const child = this.children.get(`${machine.name}/${role}`);
    if (child === undefined) return;
    const hasEnded = new Promise((resolve) => child.once('exit', resolve));
    this.signal(machine, role, 'SIGKILL');
    await hasEnded;
  }

  /** Empties the disk of a process that is not running. */
  loseDisk(machine, role) {
    this.lostDisks = (this.lostDisks ?? 0) + 1;
    renameSync(this.dataDir(machine, role), join(this.folder, `lost-${this.lostDisks}`));
  }

  async addReplica(options) {
    const replica = new Replica(this, { number: this.replicas.length + 1, ...options });
    this.replicas.push(replica);
    await replica.start();
    return replica;
  }

  /** Sends an order of the operator until it gets a clear answer, to one node after the other. */
  async order({ method = 'PUT', path = '/config', body, withinMs = 15_000 }) {
    const untilMs = performance.now() + withinMs;
    for (;;) {
      const machine = this.fronts[this.operatorTurn++ % this.fronts.length];
      const answer = await call({
        host: machine.ip,
        port: PORTS.control,
        method,
        path,
        headers: { 'Content-Type': 'application/json' },
        body: body === undefined ? undefined : JSON.stringify(body),
      });
      const version = body?.version === undefined ? '' : ` version ${body.version}`;
      this.record.add(`operator ${method} ${path}${version} at ${machine.name}: ${answer.status}`);
      const isUnclear = [0, 408, 429].includes(answer.status) || answer.status >= 500;
      if (!isUnclear || performance.now() > untilMs) return answer;
      await pause(200);
    }
  }

  /** Waits until all entries are ready and each replica had time to announce itself. */
  async untilReady(withinMs = 20_000) {
    const untilMs = performance.now() + withinMs;
    for (const machine of this.fronts) {
      for (;;) {
        const { status } = await call({ host: machine.ip, port: PORTS.readiness, path: '/readyz' });
        if (status === 200) break;
        if (performance.now() > untilMs) throw new Error(`${machine.name} is not ready`);
        await pause(100);
      }
    }
    await pause(2 * HEARTBEAT_MS);
  }

  /** A client's call to the entry of a machine. */
  async client(machine, options) {
    const { method = 'GET', path, headers = {}, body, timeoutMs = 5000 } = options;
    const answer = await call({
      host: machine.ip,
      port: PORTS.edge,
      method,
      path,
      headers: { Host: HOST, ...headers },
      body,
      timeoutMs,
    });
    const reason = answer.reason === undefined ? '' : ` (${answer.reason})`;
    const id = headers['X-Request-Id'] === undefined ? '' : ` ${headers['X-Request-Id']}`;
    this.record.add(`client ${method} ${path}${id} at ${machine.name}: ${answer.status}${reason}`);
    return answer;
  }

  killAll() {
    this.isClosing = true;
    for (const child of this.children.values()) child.kill('SIGKILL');
  }

  /** Ends all processes and servers that were started. */
  async close() {
    this.killAll();
    for (const replica of this.replicas) replica.close();
    while (this.children.size > 0) await pause(20);
    if (process.env.KEEP_FOLDER === undefined)
      rmSync(this.folder, { recursive: true, force: true });
    else process.stdout.write(`${this.folder}\n`);
  }
}

/** Items of a batch job. */
export function itemsOf(count, pathPrefix, bodyBytes = 600) {
  return Array.from({ length: count }, () => {
    const id = randomId();
    return {
      id,
      path: `${pathPrefix}${id.slice(0, 4)}`,
      headers: {
        'X-Model': 'm',
        'X-Token-Usage': '250,194',
        'X-Prefix-Hash': `9c2e41:100,${id.slice(0, 6)}:150`,
      },
      body: Buffer.alloc(bodyBytes, `body of ${id} `).toString('base64'),
      tokens: 444,
    };
  });
}

const ENGINE = {
  slots: 8,
  kvCapacityTokens: 72_000,
  kvBytes: 131_072,
  linkMbps: 550_000,
  moves: true,
  backups: true,
  stride: 8,
  cap: 12,
  pinMs: 4000,
  holdMs: 2000,
  handle_s: 5,
  models: [{ name: 'm' }],
};

/** A configuration like those of the protocol page; `routes` are completed with defaults. */
export function configuration(version, routes, services) {
  return {
    version,
    routes: routes.map((route) => ({
      host: HOST,
      timeoutMs: 5000,
      sloMs: 300,
      priority: 0,
      attempts: 1,
      sticky: true,
      resumable: false,
      gapTargetMs: 200,
      ...route,
    })),
    services: services.map((name) => ({
      name,
      healthPath: '/healthz',
      maxConns: 260,
      protocol: 'h1',
      tls: false,
      engine: ENGINE,
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
  };
}

/** A batch route as on the sheet of forma-lagos. */
export function batchRoute(service, changes = {}) {
  return {
    name: 'r-batch',
    pathPrefix: '/pule252/',
    routeKind: 'batch',
    timeoutMs: 15_000,
    sloMs: 400,
    runTargetMs: 18_000,
    keepS: 60,
    cap: 2_000_000,
    priority: 2,
    attempts: 3,
    resumable: true,
    service,
    ...changes,
  };
}

/** Longest time that a script may take. */
const MAX_SCRIPT_MS = 118_000;

/**
 * Runs a case and exits as it says: 1 if the rule was broken, 0 if it held, 2 if it couldn't run. The
 * processes are ended in any case.
 */
export async function runCase(folderUrl, run) {
  const record = new Record(new URL('record.txt', folderUrl).pathname);
  const fleet = new Fleet(record);
  setTimeout(() => {
    record.add('could not run: it took too long');
    process.exit(2);
  }, MAX_SCRIPT_MS).unref();
  let exitCode = 2;
  try {
    exitCode = (await run(fleet, record)) ? 1 : 0;
  } catch (error) {
    record.add(`could not run: ${error.stack}`);
    process.stderr.write(`${error.stack}\n`);
  } finally {
    await fleet.close();
  }
  process.exit(exitCode);
}
