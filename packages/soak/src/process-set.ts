/**
 * The programs of one run as separate processes: settings, start, signals, disks and logs.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { appendFile, mkdir, readdir, rm, stat, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import type { Role, Target } from './fault-plan.js';

/** One process of a run. */
export interface Place extends Target {
  /** IP number that the others know. */
  readonly host: string;
  /** IP number of its own, behind a relay. */
  readonly processHost: string;
}

/** Options of {@link ProcessSet}. */
export interface ProcessSetOptions {
  /** Folder for data, settings and logs. */
  readonly folder: string;
  readonly places: readonly Place[];
  /** File of the program of a role. */
  readonly programOf: (role: Role) => string;
  /** Environment variable that names the settings file. */
  readonly settingsVariable: string;
  /** Settings of a process. */
  readonly settingsOf: (place: Place, options: SettingsOptions) => object;
}

/** What of the settings differs from start to start. */
export interface SettingsOptions {
  readonly isFounding: boolean;
  /** Left out for a process without a disk. */
  readonly dataDir?: string;
}

const HEAP_MB = 96;
/** Rubbish of a torn write. */
const TORN_BYTES = Buffer.alloc(37, 0xa5);
const POLL_MS = 20;
/** Log line of a process that begins to lead the lowest group of its role. */
const LEADS_FIRST_GROUP = /"group":[01],.*"leads group"/;

/** The processes. */
export class ProcessSet {
  private readonly options: ProcessSetOptions;
  private readonly running = new Map<string, ChildProcess>();
  private readonly starting = new Set<string>();
  /** Processes that ended without being told to. */
  readonly ownEnds: string[] = [];
  private readonly told = new Set<ChildProcess>();
  /** Who last began to lead the first group of its role. */
  private readonly lastLeaders = new Map<Role, string>();
  /** Processes that have logged something. */
  private readonly speaking = new WeakSet<ChildProcess>();

  constructor(options: ProcessSetOptions) {
    this.options = options;
  }

  /** The process that last began to lead the first group of a role. */
  leaderOf(role: Role): string | undefined {
    return this.lastLeaders.get(role);
  }

  /** Names of the processes that run. */
  isRunning(name: string): boolean {
    return this.running.has(name);
  }

  /** Starts a process that does not run; it is not waited for. */
  async start(name: string, options: { readonly isFounding?: boolean } = {}): Promise<void> {
    // Faults that overlap may both want to bring it back.
    if (this.running.has(name) || this.starting.has(name)) return;
    this.starting.add(name);
    try {
      await this.spawn(name, options.isFounding ?? false);
    } finally {
      this.starting.delete(name);
    }
  }

  /** Sends a signal that the process lives on with. */
  signal(name: string, signal: 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
    const child = this.running.get(name);
    if (child === undefined) return;
    // The runtime itself dies of a reload signal before any program can listen for it.
    if (signal === 'SIGHUP' && !this.speaking.has(child)) return;
    child.kill(signal);
  }

  /** Ends a process and waits until it is gone. */
  async end(name: string, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    const child = this.running.get(name);
    if (child === undefined) return;
    this.told.add(child);
    // A stopped process ends only once it goes on.
    child.kill(signal);
    child.kill('SIGCONT');
    while (child.exitCode === null && child.signalCode === null) await pause(POLL_MS);
    if (this.running.get(name) === child) this.running.delete(name);
  }

  /** Empties the disk of a process that does not run. */
  async wipe(name: string): Promise<void> {
    await rm(this.dataDirOf(name), { recursive: true, force: true });
  }

  /** Appends rubbish to the newest log file of a process that does not run. */
  async tear(name: string): Promise<void> {
    const folder = this.dataDirOf(name);
    const logs = (await readdir(folder)).filter((file) => file.startsWith('wal'));
    const newest = logs.sort().at(-1);
    if (newest === undefined) return;
    const file = join(folder, newest);
    if ((await stat(file)).isFile()) await appendFile(file, TORN_BYTES);
  }

  /** Kills everything. */
  async close(): Promise<void> {
    await Promise.all([...this.running.keys()].map((name) => this.end(name, 'SIGKILL')));
  }

  private async spawn(name: string, isFounding: boolean): Promise<void> {
    const { folder, programOf, settingsVariable, settingsOf } = this.options;
    const place = this.placeOf(name);
    const dataDir = this.dataDirOf(name);
    await mkdir(dataDir, { recursive: true });
    const file = join(folder, `${name}.json`);
    await writeFile(file, JSON.stringify(settingsOf(place, { isFounding, dataDir })));
    const child = spawn(
      process.execPath,
      [`--max-old-space-size=${HEAP_MB}`, programOf(place.role)],
      {
        env: { PATH: process.env.PATH ?? '', [settingsVariable]: file },
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    const log = createWriteStream(join(folder, `${name}.log`), { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.stdout.on('data', (bytes: Buffer) => {
      this.speaking.add(child);
      if (LEADS_FIRST_GROUP.test(bytes.toString())) this.lastLeaders.set(place.role, name);
    });
    this.running.set(name, child);
    child.once('exit', (code, signal) => {
      if (!this.told.has(child)) this.ownEnds.push(`${name} (${code ?? signal ?? 'unknown'})`);
      if (this.running.get(name) === child) this.running.delete(name);
    });
  }

  private dataDirOf(name: string): string {
    return join(this.options.folder, `data-${name}`);
  }

  private placeOf(name: string): Place {
    const place = this.options.places.find((candidate) => candidate.name === name);
    if (place === undefined) throw new Error(`there is no process ${name}`);
    return place;
  }
}
