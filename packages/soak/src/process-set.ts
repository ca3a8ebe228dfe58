/**
 * Runs the programs of one test run as separate processes: settings, signals, disks and logs.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { appendFile, mkdir, readdir, rm, stat, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { openSocketsAt } from '@shedline/loopback';
import type { Role, Target } from './fault-plan.js';

/** Name, role and addresses of a process. */
export interface ProcessSpec extends Target {
  /** IP address that other processes use; the relay listens on it. */
  readonly host: string;
  /** IP address of the process itself, behind its relay. */
  readonly processHost: string;
}

/** Options of {@link ProcessSet}. */
export interface ProcessSetOptions {
  /** Folder for data, settings and logs. */
  readonly folder: string;
  readonly specs: readonly ProcessSpec[];
  /** Returns the path of the program of a role. */
  readonly programOf: (role: Role) => string;
  /** Environment variable that names the settings file. */
  readonly settingsVariable: string;
  /** Returns the settings of a process. */
  readonly settingsOf: (spec: ProcessSpec, options: SettingsOptions) => object;
}

/** Settings that differ between starts. */
export interface SettingsOptions {
  readonly isFounding: boolean;
  /** Omitted for a process without a disk. */
  readonly dataDir?: string;
}

const HEAP_MB = 96;
/** Garbage that simulates a torn write. */
const TORN_BYTES = Buffer.alloc(37, 0xa5);
const POLL_MS = 20;
/** Matches the log line of a process that becomes leader of the lowest group of its role. */
const LEADS_FIRST_GROUP = /"group":[01],.*"leads group"/;

/** The processes of one run. */
export class ProcessSet {
  private readonly options: ProcessSetOptions;
  private readonly running = new Map<string, ChildProcess>();
  private readonly starting = new Set<string>();
  /** Processes that exited without a request, with their exit code or signal. */
  readonly unexpectedExits: string[] = [];
  private readonly requestedExits = new Set<ChildProcess>();
  /** Name of the last leader of the first group, by role. */
  private readonly lastLeaders = new Map<Role, string>();
  /** Processes that have written to their log. */
  private readonly haveLogged = new WeakSet<ChildProcess>();

  constructor(options: ProcessSetOptions) {
    this.options = options;
    process.on('exit', this.killAll);
  }

  /** Returns the name of the last leader of the first group of a role. */
  leaderOf(role: Role): string | undefined {
    return this.lastLeaders.get(role);
  }

  isRunning(name: string): boolean {
    return this.running.has(name);
  }

  /** Starts a process that is not running, without waiting until it is ready. */
  async start(name: string, options: { readonly isFounding?: boolean } = {}): Promise<void> {
    // Overlapping faults may both restart it.
    if (this.running.has(name) || this.starting.has(name)) return;
    this.starting.add(name);
    try {
      await this.spawn(name, options.isFounding ?? false);
    } finally {
      this.starting.delete(name);
    }
  }

  /** Sends a signal that does not terminate the process. */
  signal(name: string, signal: 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
    const child = this.running.get(name);
    if (child === undefined) return;
    // A reload signal terminates the runtime until the program has added its listener.
    if (signal === 'SIGHUP' && !this.haveLogged.has(child)) return;
    child.kill(signal);
  }

  /** Terminates a process and waits for its exit. */
  async terminate(name: string, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    const child = this.running.get(name);
    if (child === undefined) return;
    this.requestedExits.add(child);
    // A paused process handles the signal only after it is resumed.
    child.kill(signal);
    child.kill('SIGCONT');
    while (child.exitCode === null && child.signalCode === null) await pause(POLL_MS);
    if (this.running.get(name) === child) this.running.delete(name);
  }

  /** Deletes the data of a process that is not running. */
  async wipe(name: string): Promise<void> {
    await rm(this.dataDirOf(name), { recursive: true, force: true });
  }

  /** Appends garbage to the newest log file of a process that is not running. */
  async appendTornWrite(name: string): Promise<void> {
    const folder = this.dataDirOf(name);
    const logs = (await readdir(folder)).filter((file) => file.startsWith('wal'));
    const newest = logs.sort().at(-1);
    if (newest === undefined) return;
    const file = join(folder, newest);
    if ((await stat(file)).isFile()) await appendFile(file, TORN_BYTES);
  }

  /** Kills all processes. */
  async close(): Promise<void> {
    await Promise.all([...this.running.keys()].map((name) => this.terminate(name, 'SIGKILL')));
    process.off('exit', this.killAll);
  }

  /** Kills all processes without waiting. Paused ones would otherwise keep their ports for good. */
  private readonly killAll = (): void => {
    for (const child of this.running.values()) child.kill('SIGKILL');
  };

  private async spawn(name: string, isFounding: boolean): Promise<void> {
    const { folder, programOf, settingsVariable, settingsOf } = this.options;
    const spec = this.specOf(name);
    const dataDir = this.dataDirOf(name);
    await mkdir(dataDir, { recursive: true });
    const file = join(folder, `${name}.json`);
    await writeFile(file, JSON.stringify(settingsOf(spec, { isFounding, dataDir })));
    const child = spawn(
      process.execPath,
      [`--max-old-space-size=${HEAP_MB}`, programOf(spec.role)],
      {
        env: { PATH: process.env.PATH ?? '', [settingsVariable]: file },
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    const log = createWriteStream(join(folder, `${name}.log`), { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.stdout.on('data', (bytes: Buffer) => {
      this.haveLogged.add(child);
      if (LEADS_FIRST_GROUP.test(bytes.toString())) this.lastLeaders.set(spec.role, name);
    });
    this.running.set(name, child);
    child.once('exit', (code, signal) => {
      if (!this.requestedExits.has(child)) {
        this.unexpectedExits.push(`${name} (${code ?? signal ?? 'unknown'})`);
        void this.logOpenSockets(spec);
      }
      if (this.running.get(name) === child) this.running.delete(name);
    });
  }

  /** Logs which sockets hold the addresses of a process, which may have exited unable to listen. */
  private async logOpenSockets({ name, processHost }: ProcessSpec): Promise<void> {
    const sockets = await openSocketsAt(processHost);
    const line = JSON.stringify({ message: 'sockets at the addresses of the process', sockets });
    await appendFile(join(this.options.folder, `${name}.log`), `${line}\n`);
  }

  private dataDirOf(name: string): string {
    return join(this.options.folder, `data-${name}`);
  }

  private specOf(name: string): ProcessSpec {
    const spec = this.options.specs.find((candidate) => candidate.name === name);
    if (spec === undefined) throw new Error(`no process ${name}`);
    return spec;
  }
}
