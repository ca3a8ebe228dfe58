/**
 * Starts a small fleet of the deployed programs as separate processes on loopback addresses, with
 * settings like those of a small deployment, and makes the calls of its operator and its clients.
 */
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { mkdir, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { createServer, request } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Returns the arguments of a role's command in the deploy file. */
async function commandOf(role) {
  const text = await readFile(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const run = /^run = "node (.*)"$/m.exec(section)?.[1];
  if (run === undefined) throw new Error(`no command for the role ${role}`);
  return run.split(' ');
}

/** Returns `count` consecutive free ports on a loopback address. */
async function freePorts(host, count) {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const first = 20_000 + Math.floor(Math.random() * 10_000);
    const servers = [];
    try {
      for (let port = first; port < first + count; port += 1) {
        const server = createTcpServer();
        await new Promise((resolve, reject) => {
          server.once('error', reject);
          server.listen(port, host, resolve);
        });
        servers.push(server);
      }
      return first;
    } catch {
      // One of the ports is in use: try others.
    } finally {
      await Promise.all(servers.map((server) => new Promise((done) => server.close(done))));
    }
  }
  throw new Error('no free ports');
}

/** A fleet of entry, control and store processes. */
export class Fleet {
  processes = new Map();
  children = new Set();
  /** Ends of processes that nobody asked for. */
  unexpectedExits = [];

  constructor(options) {
    this.options = { entries: 2, controls: 3, stores: 3, record: () => undefined, ...options };
    process.on('exit', () => this.killAll());
    for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => process.exit(2));
  }

  async prepare() {
    this.folder = await mkdtemp(join(tmpdir(), 'shedline-review-'));
    this.ports = await freePorts('127.0.0.1', 24);
    this.peerPort = this.ports;
    this.controlPort = this.ports + 16;
    this.callerPort = this.ports + 17;
    this.readyPort = this.ports + 18;
    this.registryPort = this.ports + 19;
    const { entries, controls, stores } = this.options;
    // As on a small deployment: the machines with a disk run an entry and a control process.
    const machines = Math.max(entries, controls);
    for (let index = 0; index < machines; index += 1) {
      const ip = `127.0.1.${index + 1}`;
      if (index < controls) this.add('control', index, ip);
      if (index < entries) this.add('entry', index, ip);
    }
    for (let index = 0; index < stores; index += 1)
      this.add('store', index, `127.0.2.${index + 1}`);
  }

  add(role, index, ip) {
    const name = `${role}-${index + 1}`;
    this.processes.set(name, { name, role, ip, zone: `zone-${(index % 3) + 1}`, child: undefined });
  }

  names(role) {
    return [...this.processes.values()].filter((p) => p.role === role).map((p) => p.name);
  }

  settingsOf({ name, role, ip, zone }, isFounding) {
    const seeds = [1, 2, 3].map((n) => `127.0.1.${n}:${this.controlPort}`);
    const metrics = { entry: 20, control: 21, store: 22 }[role];
    return {
      instance: name,
      availabilityZone: zone,
      host: ip,
      firstPeerPort: this.peerPort,
      seeds,
      isFounding,
      toleratedLosses: 1,
      ...(role === 'entry' ? {} : { dataDir: join(this.folder, `data-${name}`) }),
      listeners: {
        ...(role === 'entry'
          ? {
              caller: `${ip}:${this.callerPort}`,
              readiness: `${ip}:${this.readyPort}`,
              addresses: `${ip}:${this.registryPort}`,
            }
          : {}),
        ...(role === 'control' ? { control: `${ip}:${this.controlPort}` } : {}),
        metrics: `${ip}:${this.ports + metrics}`,
      },
      fleetSecret: 'shedline-on-the-users-platform',
      heartbeatMs: 1200,
      stopWithinS: 8,
      addressKeepS: 5,
      quotaOvershootShare: 0.1,
      jobRetentionS: 120,
      ...this.options.settings,
    };
  }

  async start(name, { isFounding = false } = {}) {
    const known = this.processes.get(name);
    const dataDir = join(this.folder, `data-${name}`);
    await mkdir(dataDir, { recursive: true });
    const file = join(this.folder, `${name}.json`);
    await writeFile(file, JSON.stringify(this.settingsOf(known, isFounding)));
    const child = spawn(process.execPath, await commandOf(known.role), {
      cwd: ROOT,
      env: { PATH: process.env.PATH ?? '', SHEDLINE_NODE_FILE: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    known.child = child;
    known.log = '';
    this.children.add(child);
    const log = createWriteStream(join(this.folder, `${name}.log`), { flags: 'a' });
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', (bytes) => {
        known.log = (known.log + bytes.toString()).slice(-200_000);
        log.write(bytes);
      });
    }
    child.once('exit', (code, signal) => {
      this.children.delete(child);
      child.hasExited = true;
      if (child.isRequested !== true) {
        this.unexpectedExits.push({ name, code, signal, pid: child.pid });
        this.options.record('exit', { name, code, signal });
      }
      if (known.child === child) known.child = undefined;
    });
    this.options.record('start', { name, pid: child.pid });
    return child;
  }

  async startAll() {
    await Promise.all([...this.processes.keys()].map((n) => this.start(n, { isFounding: true })));
  }

  signal(name, signal) {
    this.options.record('signal', { name, signal });
    this.processes.get(name).child?.kill(signal);
  }

  /** Ends a process with a signal and waits for its exit. */
  async end(name, signal = 'SIGTERM') {
    const { child } = this.processes.get(name);
    if (child === undefined) return;
    child.isRequested = true;
    this.options.record('signal', { name, signal });
    child.kill(signal);
    while (child.hasExited !== true) await sleep(5);
  }

  async close() {
    for (const child of this.children) {
      child.isRequested = true;
      child.kill('SIGKILL');
    }
    while (this.children.size > 0) await sleep(10);
    if (process.env.KEEP === undefined) await rm(this.folder, { recursive: true, force: true });
  }

  killAll() {
    for (const child of this.children) child.kill('SIGKILL');
  }

  ipOf(name) {
    return this.processes.get(name).ip;
  }

  /** Waits until every control process returns the configuration and every entry is ready. */
  async configure(configuration, timeoutMs = 45_000) {
    const body = JSON.stringify(configuration);
    await this.until('the configuration is acknowledged', timeoutMs, async () => {
      const answer = await this.control('PUT', '/config', body);
      return answer.status === 200;
    });
    await this.until('all entries are ready', timeoutMs, async () => {
      const answers = await Promise.all(
        this.names('entry').map((name) =>
          call({ host: this.ipOf(name), port: this.readyPort, method: 'GET', path: '/readyz' }),
        ),
      );
      return answers.every(({ status }) => status === 200);
    });
  }

  /** Calls the control processes in turn until one answers without a 5xx. */
  async control(method, path, body) {
    let answer = { status: 0 };
    for (const name of this.names('control')) {
      answer = await call({
        host: this.ipOf(name),
        port: this.controlPort,
        method,
        path,
        body,
        headers: { 'Content-Type': 'application/json' },
        timeoutMs: 1000,
      });
      if (answer.status > 0 && answer.status < 500) return answer;
    }
    return answer;
  }

  async until(what, timeoutMs, check) {
    const deadlineMs = performance.now() + timeoutMs;
    while (performance.now() < deadlineMs) {
      if (await check()) return;
      await sleep(50);
    }
    throw new Error(`timed out: ${what}`);
  }
}

/** Makes one call on a new connection; `end` tells how it ended. */
export function call({ host, port, method, path, headers = {}, body, timeoutMs = 1000, onEvent }) {
  return new Promise((resolve) => {
    const answer = { status: 0, text: '', end: 'no connection', sentAtMs: 0 };
    const req = request({
      host,
      port,
      method,
      path,
      agent: false,
      headers: {
        ...headers,
        ...(body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) }),
      },
    });
    const finish = (end) => {
      clearTimeout(timer);
      answer.end = end;
      answer.endedAtMs = performance.now();
      resolve(answer);
      req.destroy();
    };
    const timer = setTimeout(() => finish('deadline'), timeoutMs);
    req.on('finish', () => {
      answer.sentAtMs = performance.now();
    });
    req.on('socket', (socket) => {
      socket.once('connect', () => {
        answer.connectedAtMs = performance.now();
      });
    });
    req.on('error', (error) =>
      finish(
        answer.connectedAtMs === undefined
          ? 'no connection'
          : `closed: ${error.code ?? error.message}`,
      ),
    );
    req.on('response', (response) => {
      answer.status = response.statusCode;
      answer.headers = response.headers;
      response.setEncoding('utf8');
      response.on('data', (text) => {
        answer.text += text;
        onEvent?.(answer);
      });
      response.on('error', (error) => finish(`cut: ${error.code ?? error.message}`));
      response.on('aborted', () => finish('cut'));
      response.on('end', () => finish(response.complete ? 'complete' : 'cut'));
    });
    req.end(body);
  });
}

/** A sound replica: streams events, honours `X-Expect-Instance` and sends heartbeats. */
export class Replica {
  runs = [];

  constructor({
    fleet,
    id,
    ip,
    port,
    service,
    zone = 'zone-1',
    events = 20,
    eventMs = 30,
    record = () => undefined,
    behaviour = () => undefined,
  }) {
    Object.assign(this, { fleet, id, ip, port, service, zone, events, eventMs, record, behaviour });
    this.sequence = 0;
    this.slots = 8;
    this.running = 0;
  }

  async start() {
    this.server = createServer((req, res) => void this.handle(req, res));
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port, this.ip, resolve);
    });
    this.timer = setInterval(() => void this.beat(), 1200);
    await this.beat();
  }

  async beat(state = 'ready') {
    this.sequence += 1;
    const body = JSON.stringify({
      service: this.service,
      address: `${this.ip}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state,
      warmupLeftMs: 0,
      stage: 'both',
      models: [{ name: 'm', version: 1, adapters: [] }],
      sequence: this.sequence,
    });
    return this.fleet.control('PUT', `/instances/${this.id}`, body);
  }

  async handle(req, res) {
    const id = String(req.headers['x-request-id']);
    const head = { 'X-Request-Id': id, 'X-Server-Stamp': `${this.id}.${id}` };
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    if (req.url === '/healthz') {
      res.writeHead(200, { 'X-Instance-Id': this.id }).end();
      return;
    }
    const expected = req.headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, { ...head, 'X-Not-Executed': '1' }).end();
      return;
    }
    if (this.running >= this.slots) {
      res.writeHead(503, { ...head, 'X-Not-Executed': '1' }).end();
      return;
    }
    this.running += 1;
    const run = {
      id,
      at: Date.now(),
      path: req.url,
      method: req.method,
      lastEventId: req.headers['last-event-id'],
      replica: this.id,
    };
    this.runs.push(run);
    this.record('run', run);
    try {
      if ((await this.behaviour(req, res, run, head)) === true) return;
      res.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' });
      res.flushHeaders();
      const first = Number(run.lastEventId ?? 0) + 1;
      for (let n = first; n <= this.events; n += 1) {
        await sleep(this.eventMs);
        if (res.destroyed) return;
        res.write(`id: ${n}\ndata: ${id}/${n}\n\n`);
      }
      res.end();
      run.done = true;
    } finally {
      this.running -= 1;
    }
  }

  async stop() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }
}

export const HOST = 'studio.example';
export const SERVICE = 'assist';

/** A configuration like that of a small deployment. */
export function configurationOf(version, change = {}) {
  const common = { host: HOST, service: SERVICE, timeoutMs: 5000, sloMs: 300, priority: 0 };
  const stream = { ...common, routeKind: 'streaming', gapTargetMs: 200, sticky: true };
  return {
    version,
    routes: [
      { ...stream, name: 'once', pathPrefix: '/once/', attempts: 1, resumable: false },
      { ...stream, name: 'resumable', pathPrefix: '/resumable/', attempts: 2, resumable: true },
      {
        ...common,
        name: 'batch',
        pathPrefix: '/batch/',
        routeKind: 'batch',
        sloMs: 400,
        priority: 2,
        timeoutMs: 15_000,
        attempts: 3,
        runTargetMs: 18_000,
        keepS: 60,
        cap: 2_000_000,
        sticky: true,
        resumable: true,
        gapTargetMs: 200,
      },
    ],
    services: [
      { name: SERVICE, healthPath: '/healthz', maxConns: 260, protocol: 'h1', tls: false },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    ...change,
  };
}
export { connect };
