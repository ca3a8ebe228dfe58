/**
 * A fleet of separate processes on loopback, for failure tests and benchmarks.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createHash } from 'node:crypto';
import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { freePorts } from './free-ports.js';

/** Tokens that every test fleet accepts. */
export const FLEET_TOKENS = {
  caller: 'caller-token',
  operator: 'operator-token',
  endpoint: 'endpoint-token',
};
/** Workspace of the caller token. */
export const FLEET_WORKSPACE = 'demo';
const HOST = '127.0.0.1';
const INSTANCE_SECRET = 'fleet-secret-of-the-tests';
const READY_TIMEOUT_MS = 20_000;

/** Options of {@link ProcessFleet.create}. */
export interface ProcessFleetOptions {
  /** Path of the main file of the `shedline` command. */
  readonly bin: string;
  readonly controls: number;
  readonly entries: number;
  /** Number of control instances that form the cluster; the others are spares. Default: all. */
  readonly bootstrap?: number;
  readonly zones?: readonly string[];
  /** Additional control settings of every control instance. */
  readonly control?: Readonly<Record<string, unknown>>;
  /** Additional entry settings of every entry. */
  readonly entry?: Readonly<Record<string, unknown>>;
  readonly logLevel?: string;
  /** Node.js arguments of the instances, such as profiler options. */
  readonly nodeArguments?: readonly string[];
}

/** Name, ports and availability zone of an instance. */
interface InstancePlace {
  readonly name: string;
  readonly port: number;
  readonly peerPort: number;
  readonly availabilityZone: string;
}

/** Runs each control instance and entry as a separate process. */
export class ProcessFleet {
  readonly controls: readonly InstancePlace[];
  readonly entries: readonly InstancePlace[];
  private readonly options: ProcessFleetOptions;
  private readonly folder: string;
  private readonly processes = new Map<string, ChildProcess>();

  private constructor(
    options: ProcessFleetOptions,
    folder: string,
    places: readonly InstancePlace[],
  ) {
    this.options = options;
    this.folder = folder;
    this.controls = places.slice(0, options.controls);
    this.entries = places.slice(options.controls);
  }

  /** Reserves ports and a directory; starts no process. */
  static async create(options: ProcessFleetOptions): Promise<ProcessFleet> {
    const folder = await mkdtemp(join(tmpdir(), 'shedline-fleet-'));
    const zones = options.zones ?? ['zone-1'];
    const count = options.controls + options.entries;
    const ports = await freePorts(2 * count);
    const places = Array.from({ length: count }, (_, index): InstancePlace => {
      const isControl = index < options.controls;
      const number = isControl ? index + 1 : index - options.controls + 1;
      return {
        name: `${isControl ? 'control' : 'entry'}-${number}`,
        port: ports[2 * index] ?? 0,
        peerPort: ports[2 * index + 1] ?? 0,
        availabilityZone: zones[(number - 1) % zones.length] ?? 'zone-1',
      };
    });
    return new ProcessFleet(options, folder, places);
  }

  /** URLs of the entries. */
  get entryUrls(): string[] {
    return this.entries.map(({ port }) => `http://${HOST}:${port}`);
  }

  /** Addresses of the control instances, in the form that the settings need. */
  get controlPeers(): { name: string; host: string; port: number }[] {
    return this.controls.map(({ name, port }) => ({ name, host: HOST, port }));
  }

  /** The secret shared by all instances. */
  get secret(): string {
    return INSTANCE_SECRET;
  }

  /** Returns the process id of an instance, or 0 if it is not running. */
  pid(name: string): number {
    return this.processes.get(name)?.pid ?? 0;
  }

  /** Starts all instances and waits until each is ready. */
  async startAll(): Promise<void> {
    await Promise.all(this.controls.map(({ name }) => this.start(name)));
    await Promise.all(this.entries.map(({ name }) => this.start(name)));
  }

  /** Starts an instance; returns once it reports that it is ready. */
  async start(name: string): Promise<void> {
    const file = await this.writeSettings(name);
    const role = name.startsWith('control') ? 'control' : 'entry';
    const child = spawn(
      process.execPath,
      [...(this.options.nodeArguments ?? []), this.options.bin, role, '--settings', file],
      {
        stdio: ['ignore', 'pipe', 'inherit'],
      },
    );
    this.processes.set(name, child);
    await new Promise<void>((resolve, reject) => {
      const timer = setTimeout(() => {
        reject(new Error(`${name} was not ready before the timeout`));
      }, READY_TIMEOUT_MS);
      child.stdout.on('data', (bytes: Buffer) => {
        if (!bytes.toString().includes('ready')) return;
        clearTimeout(timer);
        resolve();
      });
      child.once('exit', (code) => {
        clearTimeout(timer);
        reject(new Error(`${name} exited with code ${code}`));
      });
    });
  }

  /** Kills an instance with SIGKILL; returns once it has exited. */
  kill(name: string): Promise<void> {
    return this.signal(name, 'SIGKILL');
  }

  /** Stops an instance with SIGTERM; returns once it has exited. */
  stop(name: string): Promise<void> {
    return this.signal(name, 'SIGTERM');
  }

  /** Suspends an instance with SIGSTOP, or resumes it. */
  setFrozen(name: string, isFrozen: boolean): void {
    this.processes.get(name)?.kill(isFrozen ? 'SIGSTOP' : 'SIGCONT');
  }

  /** Removes the data directory of an instance. */
  async removeDataDir(name: string): Promise<void> {
    await rm(this.dataDir(name), { recursive: true, force: true });
  }

  /** Returns the data directory of an instance. */
  dataDir(name: string): string {
    return join(this.folder, name);
  }

  /** Kills all running instances and removes the directory of the fleet. */
  async close(): Promise<void> {
    for (const name of [...this.processes.keys()]) {
      this.setFrozen(name, false);
      await this.kill(name);
    }
    await rm(this.folder, { recursive: true, force: true });
  }

  private async signal(name: string, signal: NodeJS.Signals): Promise<void> {
    const child = this.processes.get(name);
    if (child === undefined) return;
    this.processes.delete(name);
    if (child.exitCode !== null || child.signalCode !== null) return;
    const ended = new Promise((resolve) => child.once('exit', resolve));
    child.kill(signal);
    await ended;
  }

  private async writeSettings(name: string): Promise<string> {
    const place = [...this.controls, ...this.entries].find((candidate) => candidate.name === name);
    if (place === undefined) throw new Error(`there is no instance ${name}`);
    const isControl = name.startsWith('control');
    const settings = {
      name,
      availabilityZone: place.availabilityZone,
      logLevel: this.options.logLevel ?? 'error',
      instanceSecret: INSTANCE_SECRET,
      tokens: tokens(),
      ...(isControl
        ? { control: this.controlSettings(place) }
        : { entry: this.entrySettings(place) }),
    };
    await mkdir(this.folder, { recursive: true });
    const file = join(this.folder, `${name}.json`);
    await writeFile(file, JSON.stringify(settings));
    return file;
  }

  private controlSettings(place: InstancePlace): Record<string, unknown> {
    const names = this.controls.map(({ name }) => name);
    return {
      listenHost: HOST,
      listenPort: place.port,
      dataDir: this.dataDir(place.name),
      peers: this.controlPeers,
      bootstrapMembers: names.slice(0, this.options.bootstrap ?? names.length),
      ...this.options.control,
    };
  }

  private entrySettings(place: InstancePlace): Record<string, unknown> {
    return {
      listenHost: HOST,
      listenPort: place.port,
      peerListenPort: place.peerPort,
      peers: this.entries.map(({ name, peerPort }) => ({ name, host: HOST, port: peerPort })),
      controls: this.controlPeers,
      ...this.options.entry,
    };
  }
}

function tokens(): Record<string, string>[] {
  const hash = (token: string): string => createHash('sha256').update(token).digest('hex');
  return [
    { role: 'caller', workspace: FLEET_WORKSPACE, tokenSha256: hash(FLEET_TOKENS.caller) },
    { role: 'operator', tokenSha256: hash(FLEET_TOKENS.operator) },
    { role: 'endpoint', tokenSha256: hash(FLEET_TOKENS.endpoint) },
  ];
}
