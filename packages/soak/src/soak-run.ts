/**
 * Runs one seed: starts a fleet under load, injects the planned faults, waits until the fleet has
 * recovered and checks whether all promises were kept.
 */
import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { match } from 'ts-pattern';
import { claimNetwork } from '@shedline/loopback';
import { isUndisturbed, planFaults } from './fault-plan.js';
import type { Fault, FaultKind, Role, Successor } from './fault-plan.js';
import { EndpointSet } from './endpoint-set.js';
import type { FleetAdapter } from './fleet-adapter.js';
import { HeartbeatSender } from './heartbeat-sender.js';
import { PromiseChecker } from './promise-checker.js';
import type { PromiseViolation } from './promise-checker.js';
import { ProcessSet } from './process-set.js';
import type { ProcessSpec } from './process-set.js';
import { BLOCKED } from './relay.js';
import type { LinkImpairment } from './relay.js';
import { SoakLoad } from './soak-load.js';
import { SoakNetwork } from './soak-network.js';
import type { ImpairedDirections } from './soak-network.js';

const DELAY_MS = 120;
/** Time for which the processes of the larger side are down after a partition. */
const LARGER_SIDE_DOWN_MS = 300;
/**
 * Time within which a stopping process must exit; far above the limits in its settings, because the
 * machine may be busy.
 */
const STOP_WITHIN_MS = 30_000;
/** Maximum time from the start of a fleet to its first acknowledged configuration. */
const FORM_WITHIN_MS = 20_000;
/** Time after the last fault within which the fleet must recover. */
const SETTLE_WITHIN_MS = 25_000;
const SETTLE_POLL_MS = 300;
/** Time under load before the first fault. */
const WARM_UP_MS = 1500;
/** Requests per second that do not wait for responses; a third of the capacity of the endpoints. */
const PACED_PER_S = 25;
/** Time before and after all open connections are silenced for which the service is compared. */
const COMPARE_MS = 3000;
/** Time within which a request counts as served; without faults a request takes a tenth of it. */
const SERVED_WITHIN_MS = 1500;
const PROCESS_HOST_OFFSET = 100;
const PROMPT_SUCCESSOR: Successor = { hasSameId: false, health: 'prompt' };

/** Options of {@link runSoak}. */
export interface SoakOptions {
  readonly seed: number;
  readonly durationMs: number;
  /** Folder for the data and logs of this run. */
  readonly folder: string;
  readonly adapter: FleetAdapter;
  readonly counts?: Readonly<Record<Role | 'endpoint', number>>;
  /** Kinds of faults to draw from; all if omitted. */
  readonly kinds?: readonly FaultKind[];
  /** Returns the peer port of a role, on which its relays listen. */
  readonly peerPortOf: (role: Role) => number;
  /** Number of times that all open connections are silenced; if any, endpoints get relays too. */
  readonly silences?: number;
  /** Number of partitions of the core; if any, the fleet has four control processes. */
  readonly partitions?: number;
  /** Number of times that an endpoint ends and the next one listens at its address at once. */
  readonly replacements?: number;
  /** Number of callers whose content crashes each endpoint that runs it. */
  readonly crashers?: number;
  /** Number of callers whose requests have a part in their prompts that crashes endpoints. */
  readonly crashingParts?: number;
  /** Number of callers that send streams of different lengths, also to entries that stop. */
  readonly longCallers?: number;
}

/** Outcome of a run. */
export interface SoakOutcome {
  readonly seed: number;
  readonly faults: readonly Fault[];
  readonly breaks: readonly PromiseViolation[];
  readonly counts: Readonly<Record<string, number>>;
  /** Service before and after each time that all open connections are silenced. */
  readonly silences: readonly ServiceAroundSilence[];
  readonly tookMs: number;
}

/** Service before and after a silence of all open connections. */
export interface ServiceAroundSilence {
  /** Share of the requests of the seconds before the silence that were served in time. */
  readonly beforeShare: number;
  /** The same for the seconds after. */
  readonly afterShare: number;
}

const DEFAULT_COUNTS = { control: 3, store: 3, entry: 4, endpoint: 5 };
/** Each side has two control processes, so that none is left without a known peer. */
const COUNTS_WITH_PARTITIONS = { ...DEFAULT_COUNTS, control: 4 };
/** Number of control processes that the settings name as seeds; the others are spares. */
const SEED_COUNT = 3;

/** Time after the last fault from when on sound requests must be served beside crashing ones. */
const SOUND_SERVED_WITHIN_MS = 6000;
const SOUND_PROBES = 24;
const MIN_SOUND_SERVED_SHARE = 0.5;

/** Runs one seed. Neither its plan nor its load depends on the loopback network that it claims. */
export async function runSoak(options: SoakOptions): Promise<SoakOutcome> {
  const run = new SoakRun(options, await claimNetwork({ first: options.seed }));
  try {
    return await run.run();
  } finally {
    await run.close();
  }
}

class SoakRun {
  private readonly options: SoakOptions;
  private readonly adapter: FleetAdapter;
  private readonly specs: readonly ProcessSpec[];
  private readonly processes: ProcessSet;
  private readonly network: SoakNetwork;
  private readonly heartbeats: HeartbeatSender;
  private readonly endpoints: EndpointSet;
  private readonly checker: PromiseChecker;
  private readonly load: SoakLoad;
  private readonly faults: readonly Fault[];
  private readonly endpointNames: readonly string[];
  private readonly unusable = new Set<string>();
  private readonly startedAtMs = performance.now();
  /** Start of the fault plan, on the clock of this run. */
  private planStartMs = Infinity;

  /** `network` consists of the first three octets of all addresses of the run. */
  constructor(options: SoakOptions, network: string) {
    this.options = options;
    this.adapter = options.adapter;
    const hasPartitions = (options.partitions ?? 0) > 0;
    const counts = options.counts ?? (hasPartitions ? COUNTS_WITH_PARTITIONS : DEFAULT_COUNTS);
    this.specs = specsOf(network, counts);
    this.endpointNames = Array.from({ length: counts.endpoint }, (_, n) => `endpoint-${n + 1}`);
    const { seed, durationMs } = options;
    this.faults = planFaults({
      seed,
      durationMs,
      targets: this.specs,
      endpoints: this.endpointNames,
      toleratedLosses: 1,
      ...(options.kinds === undefined ? {} : { kinds: options.kinds }),
      silences: options.silences ?? 0,
      partitions: options.partitions ?? 0,
      replacements: options.replacements ?? 0,
    });
    this.network = new SoakNetwork(options.peerPortOf);
    this.processes = this.createProcesses();
    this.heartbeats = new HeartbeatSender(this.adapter, this.ofRole('control'), (variant) => {
      this.checker.invalidHeartbeatAccepted(`variant ${variant}`, this.nowMs());
    });
    this.checker = new PromiseChecker({
      isUndisturbed: (fromMs, untilMs, isRelevant) => {
        const startMs = this.planStartMs;
        const span = { fromMs: fromMs - startMs, untilMs: untilMs - startMs };
        return isUndisturbed(this.faults, span, isRelevant);
      },
    });
    this.endpoints = new EndpointSet({
      network,
      adapter: this.adapter,
      checker: this.checker,
      heartbeats: this.heartbeats,
      nowMs: () => this.nowMs(),
      hasRelays: (options.silences ?? 0) > 0,
    });
    this.load = new SoakLoad({
      seed,
      adapter: this.adapter,
      checker: this.checker,
      entries: this.ofRole('entry'),
      controls: this.ofRole('control'),
      nowMs: () => this.nowMs(),
      usableEntries: () => this.usableEntries(),
      crashers: options.crashers ?? 0,
      crashingParts: options.crashingParts ?? 0,
      longCallers: options.longCallers ?? 0,
      pacedPerS: (options.silences ?? 0) > 0 ? PACED_PER_S : 0,
    });
  }

  async run(): Promise<SoakOutcome> {
    await this.startFleet(this.endpointNames);
    this.load.start();
    await pause(WARM_UP_MS);
    this.planStartMs = this.nowMs();
    await Promise.all(this.faults.map((fault) => this.inject(fault)));
    await this.settle();
    if ((this.options.crashingParts ?? 0) > 0) await this.checkSoundRequests();
    await this.load.stop();
    await this.readBack();
    const breaks = this.checker.finish(this.nowMs());
    const outcome = {
      seed: this.options.seed,
      faults: this.faults,
      breaks,
      counts: Object.fromEntries(this.checker.counts),
      silences: this.serviceAroundSilences(),
      tookMs: Math.round(this.nowMs()),
    };
    await writeFile(join(this.options.folder, 'outcome.json'), JSON.stringify(outcome, null, 2));
    return outcome;
  }

  async close(): Promise<void> {
    this.heartbeats.stop();
    await this.processes.close();
    await this.network.close();
    await this.endpoints.close();
  }

  private nowMs(): number {
    return performance.now() - this.startedAtMs;
  }

  private ofRole(role: Role): ProcessSpec[] {
    return this.specs.filter((spec) => spec.role === role);
  }

  private usableEntries(): ProcessSpec[] {
    return this.ofRole('entry').filter(({ name }) => !this.unusable.has(name));
  }

  private createProcesses(): ProcessSet {
    const { adapter, folder } = this.options;
    const seeds = this.ofRole('control').slice(0, SEED_COUNT);
    return new ProcessSet({
      folder,
      specs: this.specs,
      programOf: adapter.programOf,
      settingsVariable: adapter.settingsVariable,
      settingsOf: (spec, settings) => adapter.settingsOf(spec, { ...settings, seeds }),
    });
  }

  private async startFleet(endpoints: readonly string[]): Promise<void> {
    await mkdir(this.options.folder, { recursive: true });
    for (const spec of this.specs) await this.network.open(spec);
    for (const { name } of this.specs) await this.processes.start(name, { isFounding: true });
    for (const name of endpoints) await this.endpoints.start(name);
    this.heartbeats.start();
    const isFormed = await Promise.race([
      this.load.configure().then(() => true),
      pause(FORM_WITHIN_MS, false, { ref: false }),
    ]);
    if (!isFormed) throw new Error(this.formationFailure());
    await this.waitUntilServed(this.ofRole('entry'), FORM_WITHIN_MS);
  }

  private formationFailure(): string {
    const { seed, folder } = this.options;
    const exits = this.processes.unexpectedExits.join(', ') || 'none';
    return `seed ${seed}: the fleet did not form; ended by themselves: ${exits}; logs: ${folder}`;
  }

  /** Compares the service to callers before and after each silence of all connections. */
  private serviceAroundSilences(): ServiceAroundSilence[] {
    const share = (fromMs: number): number =>
      this.checker.servedShare({ fromMs, untilMs: fromMs + COMPARE_MS }, SERVED_WITHIN_MS);
    return this.faults
      .filter(({ kind }) => kind === 'silenceOpen')
      .map(({ atMs }) => ({
        beforeShare: share(this.planStartMs + atMs - COMPARE_MS),
        afterShare: share(this.planStartMs + atMs),
      }));
  }

  /** Injects a fault at its time, and lifts it. */
  private async inject(fault: Fault): Promise<void> {
    await pause(Math.max(0, this.planStartMs + fault.atMs - this.nowMs()));
    const { kind, target, forMs, successor = PROMPT_SUCCESSOR } = fault;
    await match(kind)
      .with('kill', () => this.killAndRestart(target, forMs, () => Promise.resolve()))
      .with('wipe', () => this.killAndRestart(target, forMs, () => this.processes.wipe(target)))
      .with('tornTail', () =>
        this.killAndRestart(target, forMs, () => this.processes.appendTornWrite(target)),
      )
      .with('stop', () => this.stopAndRestart(target))
      .with('pause', () => this.pauseProcess(target, forMs))
      .with('reload', () => {
        this.processes.signal(target, 'SIGHUP');
      })
      .with('silence', () => this.impairFor(target, forMs, BLOCKED, 'both'))
      .with('silenceIn', () => this.impairFor(target, forMs, BLOCKED, 'in'))
      .with('delay', () =>
        this.impairFor(target, forMs, { isBlocked: false, delayMs: DELAY_MS }, 'both'),
      )
      .with('reset', () => {
        this.network.reset(target);
      })
      .with('silenceOpen', () => {
        this.network.silenceOpen();
        this.endpoints.silenceOpen();
      })
      .with('cutInTwo', () => this.partition(forMs, false))
      .with('cutInTwoAndKill', () => this.partition(forMs, true))
      .with('killAll', () => this.killAll(forMs))
      .with('endpointCrash', () => this.endpoints.crash(target, forMs))
      .with('endpointHang', () => this.endpoints.hang(target, forMs))
      .with('endpointLeave', () => this.endpoints.leave(target))
      .with('endpointReplace', () => this.endpoints.replace(target, successor))
      .exhaustive();
  }

  private async killAndRestart(
    name: string,
    forMs: number,
    whileDown: () => Promise<void>,
  ): Promise<void> {
    this.unusable.add(name);
    await this.processes.terminate(name, 'SIGKILL');
    await whileDown();
    await pause(forMs);
    await this.processes.start(name);
    this.unusable.delete(name);
  }

  /** Requests an orderly stop; callers keep using their connections until the process exits. */
  private async stopAndRestart(name: string): Promise<void> {
    this.unusable.add(name);
    const exited = this.processes.terminate(name, 'SIGTERM').then(() => true);
    if (!(await Promise.race([exited, pause(STOP_WITHIN_MS, false, { ref: false })]))) {
      this.checker.addViolation('planned stops end', this.nowMs(), name);
      await this.processes.terminate(name, 'SIGKILL');
    }
    await this.processes.start(name);
    this.unusable.delete(name);
  }

  private async pauseProcess(name: string, forMs: number): Promise<void> {
    this.processes.signal(name, 'SIGSTOP');
    await pause(forMs);
    this.processes.signal(name, 'SIGCONT');
  }

  private async impairFor(
    name: string,
    forMs: number,
    impairment: LinkImpairment,
    directions: ImpairedDirections,
  ): Promise<void> {
    const spec = this.leaderOrTarget(name);
    if (spec === undefined) return;
    this.network.impair(spec, impairment, directions);
    // Sends configurations to the isolated control process, which must acknowledge none.
    if (spec.role === 'control') void this.load.putSeveralTo(spec);
    await pause(forMs);
    this.network.restore(spec);
  }

  /** Returns the leader of the role, if known: an isolated leader can violate the most promises. */
  private leaderOrTarget(name: string): ProcessSpec | undefined {
    const planned = this.specs.find((candidate) => candidate.name === name);
    const leader = planned === undefined ? undefined : this.processes.leaderOf(planned.role);
    return this.specs.find((candidate) => candidate.name === leader) ?? planned;
  }

  private async partition(forMs: number, killsLargerSide: boolean): Promise<void> {
    const partition = this.network.partition([...this.ofRole('control'), ...this.ofRole('entry')]);
    await pause(forMs);
    this.network.heal();
    if (killsLargerSide) await this.killAll(LARGER_SIDE_DOWN_MS, partition.largerSide);
  }

  private async killAll(forMs: number, specs = this.specs): Promise<void> {
    const names = specs.map(({ name }) => name).filter((n) => this.processes.isRunning(n));
    await Promise.all(names.map((name) => this.processes.terminate(name, 'SIGKILL')));
    await pause(forMs);
    for (const name of names) {
      if (!this.processes.isRunning(name)) await this.processes.start(name);
    }
  }

  /** Waits until every entry serves requests and all accepted jobs are complete. */
  private async settle(): Promise<void> {
    const untilMs = this.nowMs() + SETTLE_WITHIN_MS;
    await this.waitUntilServed(this.ofRole('entry'), SETTLE_WITHIN_MS);
    await this.waitUntilApplied(untilMs);
    while (this.checker.incompleteJobs().length > 0 && this.nowMs() < untilMs)
      await pause(SETTLE_POLL_MS);
  }

  private async waitUntilServed(entries: readonly ProcessSpec[], withinMs: number): Promise<void> {
    const untilMs = this.nowMs() + withinMs;
    for (const entry of entries) {
      while (!(await this.load.probe(entry))) {
        if (this.nowMs() > untilMs) {
          this.checker.addViolation(
            'service comes back',
            this.nowMs(),
            `${entry.name} serves nothing`,
          );
          return;
        }
        await pause(SETTLE_POLL_MS);
      }
    }
  }

  /** Waits until every entry applies the newest configuration acknowledged by now. */
  private async waitUntilApplied(untilMs: number): Promise<void> {
    const version = this.checker.newestAcknowledgedConfiguration;
    for (const entry of this.ofRole('entry')) {
      while (!(await this.load.checkApplied(entry, version))) {
        if (this.nowMs() > untilMs) {
          const detail = `${entry.name} does not obey ${version}`;
          this.checker.addViolation('configurations come into force', this.nowMs(), detail);
          break;
        }
        await pause(SETTLE_POLL_MS);
      }
    }
  }

  /** Checks that requests are served which share parts of their prompts with crashing ones. */
  private async checkSoundRequests(): Promise<void> {
    await pause(SOUND_SERVED_WITHIN_MS);
    const entries = this.ofRole('entry');
    let served = 0;
    for (let probe = 0; probe < SOUND_PROBES; probe += 1) {
      const entry = entries[probe % entries.length];
      if (entry !== undefined && (await this.load.probe(entry))) served += 1;
    }
    if (served >= MIN_SOUND_SERVED_SHARE * SOUND_PROBES) return;
    const detail = `${served} of ${SOUND_PROBES} are served`;
    this.checker.addViolation('sound requests with common parts are served', this.nowMs(), detail);
  }

  /** Reports unexpected exits, and reads everything that was acknowledged at every process. */
  private async readBack(): Promise<void> {
    for (const exit of this.processes.unexpectedExits) {
      this.checker.addViolation('no process ends by itself', this.nowMs(), exit);
    }
    for (const control of this.ofRole('control')) {
      if (!(await this.load.readConfiguration(control))) {
        this.checker.addViolation('configurations are readable', this.nowMs(), control.name);
      }
    }
    for (const jobId of this.checker.acceptedJobs) {
      for (const entry of this.ofRole('entry')) await this.load.readJob(entry, jobId);
    }
  }
}

function specsOf(network: string, counts: Readonly<Record<Role, number>>): ProcessSpec[] {
  const roles: Role[] = ['control', 'store', 'entry'];
  const names = roles.flatMap((role) =>
    Array.from({ length: counts[role] }, (_, index) => ({ role, name: `${role}-${index + 1}` })),
  );
  return names.map(({ role, name }, index) => ({
    name,
    role,
    host: `${network}.${index + 1}`,
    processHost: `${network}.${index + 1 + PROCESS_HOST_OFFSET}`,
  }));
}
