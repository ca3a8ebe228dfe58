/**
 * Plans the faults of one run from its seed. Faults of several kinds overlap, but never take out
 * more disks at once than the fleet tolerates.
 */
import { pick, seededRandom } from '@shedline/test-utils';
import type { RandomSource } from '@shedline/test-utils';

/** Role of a process. */
export type Role = 'control' | 'store' | 'entry';

/** A process that faults may hit. */
export interface Target {
  readonly name: string;
  readonly role: Role;
}

/** Kinds of faults, which are injected from outside the processes. */
export type FaultKind =
  /** SIGKILL, then a later restart. */
  | 'kill'
  /** SIGTERM, then a restart after the exit. */
  | 'stop'
  /** SIGSTOP and SIGCONT. */
  | 'pause'
  /** SIGHUP. */
  | 'reload'
  /** Traffic to and from the peers is blocked; connections stay open. */
  | 'silence'
  /** Traffic to the process is blocked, but not the traffic from it. */
  | 'silenceIn'
  /** Traffic is delayed. */
  | 'delay'
  /** All connections to the process are reset. */
  | 'reset'
  /** SIGKILL, then a restart with an empty disk. */
  | 'wipe'
  /** SIGKILL, and garbage is appended to the newest log file, as by a torn write. */
  | 'tornTail'
  /** SIGKILL of every process. */
  | 'killAll'
  /** An endpoint resets all connections and restarts as a new incarnation. */
  | 'endpointCrash'
  /** An endpoint is unresponsive. */
  | 'endpointHang'
  /** An endpoint drains and is replaced. */
  | 'endpointLeave'
  /** An endpoint ends without notice, and its next incarnation listens at its address at once. */
  | 'endpointReplace'
  /** All open connections carry no more data and stay open; new connections work. */
  | 'silenceOpen'
  /** A network partition splits the control processes and the entries into two sides. */
  | 'cutInTwo'
  /** Like `cutInTwo`; when it heals, the processes of the larger side are killed and restarted. */
  | 'cutInTwoAndKill';

/**
 * How an endpoint that has just started responds to a health check: `late` as if it waited for a
 * slot, `refused` as if it were full, without stating an id; `reset` resets the connection.
 */
export type StartupHealth = 'prompt' | 'late' | 'refused' | 'reset';

/** The incarnation that follows at the address of an endpoint. */
export interface Successor {
  readonly hasSameId: boolean;
  readonly health: StartupHealth;
}

/** One fault. */
export interface Fault {
  readonly kind: FaultKind;
  /** Name of the process or endpoint; empty for faults that hit all. */
  readonly target: string;
  readonly atMs: number;
  /** Duration of the fault. */
  readonly forMs: number;
  /** For `endpointReplace`. */
  readonly successor?: Successor;
}

/** Options of {@link planFaults}. */
export interface FaultPlanOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly targets: readonly Target[];
  readonly endpoints: readonly string[];
  /** Maximum number of processes with a disk that may be out at once. */
  readonly toleratedLosses: number;
  /** Kinds to draw from; all if omitted. */
  readonly kinds?: readonly FaultKind[];
  /**
   * Number of times that all open connections are silenced. Drawn separately, so that the other
   * faults of a seed do not change.
   */
  readonly silences?: number;
  /** Number of partitions of the core, drawn separately like the silences. */
  readonly partitions?: number;
  /** Number of times that an endpoint is replaced without notice, drawn separately as well. */
  readonly replacements?: number;
}

/** Kinds of faults that must not break any request. */
const PLANNED_KINDS: ReadonlySet<FaultKind> = new Set(['stop', 'reload', 'endpointLeave']);
const COMMON_KINDS: readonly FaultKind[] = [
  'kill',
  'stop',
  'pause',
  'silence',
  'silenceIn',
  'delay',
  'reset',
];
const ENTRY_KINDS: readonly FaultKind[] = [...COMMON_KINDS, 'reload'];
const DISK_KINDS: readonly FaultKind[] = [...COMMON_KINDS, 'wipe', 'tornTail', 'reload'];
const ENDPOINT_KINDS: readonly FaultKind[] = ['endpointCrash', 'endpointHang', 'endpointLeave'];
/** All kinds that a caller may select. */
export const FAULT_KINDS: readonly FaultKind[] = [...DISK_KINDS, 'killAll', ...ENDPOINT_KINDS];
/** Time after a fault in which a process catches up and still counts as out. */
export const CATCH_UP_MS = 5000;
/** Maximum time between the starts of two faults; many overlap. */
const MAX_GAP_MS = 700;
const FIRST_FAULT_MS = 1000;
const MIN_FAULT_MS = 300;
const MAX_FAULT_MS = 3000;
const KILL_ALL_SHARE = 0.04;
const ENDPOINT_SHARE = 0.25;
const SERIES_SHARE = 0.2;
/** Pause between the two faults of a series on the same target. */
const SERIES_GAP_MS = 400;
/** Separates the random numbers of silenced connections from all others. */
const SILENCE_SEED_OFFSET = 1_000_003;
/** The same for partitions of the core. */
const PARTITION_SEED_OFFSET = 2_000_003;
/** The same for replaced endpoints. */
const REPLACEMENT_SEED_OFFSET = 3_000_003;
const STARTUP_HEALTHS: readonly StartupHealth[] = ['prompt', 'late', 'refused', 'reset'];
/** Longer than any member list keeps a process from which nothing was received. */
const MIN_PARTITION_MS = 4500;
const MAX_PARTITION_MS = 6500;

/** Whether a fault is a planned operation. */
export function isPlanned(fault: Fault): boolean {
  return PLANNED_KINDS.has(fault.kind);
}

/** Selects processes and endpoints by name. */
export type TargetFilter = (target: string) => boolean;

/** Whether no relevant unplanned fault was in effect during or shortly before a span of time. */
export function isUndisturbed(
  faults: readonly Fault[],
  span: { readonly fromMs: number; readonly untilMs: number },
  isRelevant: TargetFilter = () => true,
): boolean {
  return faults.every(
    (fault) =>
      isPlanned(fault) ||
      (fault.target !== '' && !isRelevant(fault.target)) ||
      fault.atMs >= span.untilMs ||
      fault.atMs + fault.forMs + CATCH_UP_MS <= span.fromMs,
  );
}

/** Plans the faults of a seed, ordered by time. */
export function planFaults(options: FaultPlanOptions): Fault[] {
  const partitions = planPartitions(options);
  const drawn = withoutExcessWipes(new FaultPlanner(options).plan(), partitions, options);
  const separate = [...planSilences(options), ...planReplacements(options), ...partitions];
  return [...drawn, ...separate].sort((a, b) => a.atMs - b.atMs);
}

/**
 * Removes wipes of control processes after which more disks would be lost than the fleet tolerates.
 * A control process that restarts with an empty disk during a partition can neither copy data nor
 * be replaced until the partition heals.
 */
function withoutExcessWipes(
  drawn: readonly Fault[],
  partitions: readonly Fault[],
  { targets, toleratedLosses }: FaultPlanOptions,
): Fault[] {
  const controls = new Set(
    targets.filter(({ role }) => role === 'control').map(({ name }) => name),
  );
  const wipes: Fault[] = [];
  return drawn.filter((fault) => {
    if (fault.kind !== 'wipe' || !controls.has(fault.target)) return true;
    const isOut = (wipe: Fault): boolean => recoveredAtMs(wipe, partitions) > fault.atMs;
    const others = wipes.filter((wipe) => wipe.target !== fault.target && isOut(wipe));
    if (others.length >= toleratedLosses) return false;
    wipes.push(fault);
    return true;
  });
}

/** Returns when a wiped control process has caught up with the others. */
function recoveredAtMs(wipe: Fault, partitions: readonly Fault[]): number {
  let recoveryMs = wipe.atMs + wipe.forMs + CATCH_UP_MS;
  for (const { atMs, forMs } of partitions) {
    if (atMs < recoveryMs) recoveryMs = Math.max(recoveryMs, atMs + forMs + CATCH_UP_MS);
  }
  return recoveryMs;
}

/** Plans one partition in each equal part of the time; each heals before the next. */
function planPartitions({ seed, durationMs, partitions = 0 }: FaultPlanOptions): Fault[] {
  const random = seededRandom(seed + PARTITION_SEED_OFFSET);
  const partMs = (durationMs - FIRST_FAULT_MS) / Math.max(1, partitions);
  return Array.from({ length: partitions }, (_, index): Fault => {
    const forMs = Math.round(MIN_PARTITION_MS + random() * (MAX_PARTITION_MS - MIN_PARTITION_MS));
    const spareMs = Math.max(0, partMs - forMs);
    const atMs = Math.round(FIRST_FAULT_MS + index * partMs + random() * spareMs);
    return { kind: pick(random, ['cutInTwo', 'cutInTwoAndKill']), target: '', atMs, forMs };
  });
}

/** Plans to silence all open connections once in each equal part of the time. */
function planSilences({ seed, durationMs, silences = 0 }: FaultPlanOptions): Fault[] {
  const random = seededRandom(seed + SILENCE_SEED_OFFSET);
  const partMs = (durationMs - FIRST_FAULT_MS) / Math.max(1, silences);
  return Array.from({ length: silences }, (_, index): Fault => {
    const atMs = Math.round(FIRST_FAULT_MS + (index + random()) * partMs);
    return { kind: 'silenceOpen', target: '', atMs, forMs: MIN_FAULT_MS };
  });
}

/** Plans to replace an endpoint once in each equal part of the time. */
function planReplacements({
  seed,
  durationMs,
  endpoints,
  replacements = 0,
}: FaultPlanOptions): Fault[] {
  const random = seededRandom(seed + REPLACEMENT_SEED_OFFSET);
  const partMs = (durationMs - FIRST_FAULT_MS) / Math.max(1, replacements);
  return Array.from({ length: replacements }, (_, index): Fault => {
    const atMs = Math.round(FIRST_FAULT_MS + (index + random()) * partMs);
    const target = pick(random, endpoints);
    const successor = { hasSameId: random() < 0.5, health: pick(random, STARTUP_HEALTHS) };
    return { kind: 'endpointReplace', target, atMs, forMs: MIN_FAULT_MS, successor };
  });
}

class FaultPlanner {
  private readonly options: FaultPlanOptions;
  private readonly random: RandomSource;
  private readonly faults: Fault[] = [];

  constructor(options: FaultPlanOptions) {
    this.options = options;
    this.random = seededRandom(options.seed);
  }

  plan(): Fault[] {
    let atMs = FIRST_FAULT_MS;
    while (atMs < this.options.durationMs) {
      for (const fault of this.drawSeries(Math.round(atMs))) {
        if (this.isSelectedKind(fault) && this.isTolerable(fault)) this.faults.push(fault);
      }
      atMs += this.random() * MAX_GAP_MS;
    }
    return this.faults.sort((a, b) => a.atMs - b.atMs);
  }

  /** Draws one fault, or a series of two equal faults on one target. */
  private drawSeries(atMs: number): Fault[] {
    const fault = this.drawFault(atMs);
    if (this.random() >= SERIES_SHARE || fault.kind === 'killAll') return [fault];
    const secondAtMs = fault.atMs + fault.forMs + SERIES_GAP_MS;
    return [fault, { ...fault, atMs: Math.round(secondAtMs) }];
  }

  private drawFault(atMs: number): Fault {
    const forMs = Math.round(MIN_FAULT_MS + this.random() * (MAX_FAULT_MS - MIN_FAULT_MS));
    const chance = this.random();
    if (chance < KILL_ALL_SHARE) return { kind: 'killAll', target: '', atMs, forMs: MIN_FAULT_MS };
    if (chance < KILL_ALL_SHARE + ENDPOINT_SHARE) {
      const target = pick(this.random, this.options.endpoints);
      return { kind: pick(this.random, ENDPOINT_KINDS), target, atMs, forMs };
    }
    const { name, role } = pick(this.random, this.options.targets);
    const kinds = role === 'entry' ? ENTRY_KINDS : DISK_KINDS;
    return { kind: pick(this.random, kinds), target: name, atMs, forMs };
  }

  private isSelectedKind({ kind }: Fault): boolean {
    return this.options.kinds?.includes(kind) ?? true;
  }

  private isTolerable(fault: Fault): boolean {
    const overlapping = this.faults.filter((other) => overlaps(fault, other));
    if (overlapping.some((other) => other.target === fault.target && fault.target !== '')) {
      return false;
    }
    if (fault.kind === 'killAll') return !overlapping.some(({ kind }) => kind === 'wipe');
    if (fault.kind === 'wipe' && overlapping.some(({ kind }) => kind === 'killAll')) return false;
    const lost = overlapping.filter((other) => this.hasDisk(other.target));
    const isLoss = this.hasDisk(fault.target) && fault.kind !== 'reload';
    if (isLoss && lost.length >= this.options.toleratedLosses) return false;
    return !this.hitsLastUnaffected(fault, overlapping);
  }

  private hasDisk(name: string): boolean {
    const target = this.options.targets.find((candidate) => candidate.name === name);
    return target !== undefined && target.role !== 'entry';
  }

  /** Whether a fault would hit the last unaffected entry or endpoint. */
  private hitsLastUnaffected(fault: Fault, overlapping: readonly Fault[]): boolean {
    const entries = this.options.targets.filter(({ role }) => role === 'entry');
    const groups = [entries.map(({ name }) => name), this.options.endpoints];
    return groups.some((names) => {
      if (!names.includes(fault.target)) return false;
      const affected = new Set(overlapping.map(({ target }) => target));
      return names.filter((name) => !affected.has(name)).length <= 1;
    });
  }
}

function overlaps(first: Fault, second: Fault): boolean {
  const endOf = ({ atMs, forMs }: Fault): number => atMs + forMs + CATCH_UP_MS;
  return first.atMs < endOf(second) && second.atMs < endOf(first);
}
