/**
 * Callers and operators of one run: they keep working whatever fails, and record their
 * observations.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { pick, seededRandom } from '@shedline/test-utils';
import type { RandomSource } from '@shedline/test-utils';
import {
  COMMON_PART,
  CRASHER_PREFIX,
  CRASHING_PART_PREFIX,
  POISON_PREFIX,
  crashingItemId,
  isSized,
  sizedPrefix,
} from './expected-response.js';
import { DISTINGUISHABLE_VERSIONS } from './fleet-adapter.js';
import type { FleetAdapter, SoakCaller } from './fleet-adapter.js';
import type {
  BegunStream,
  PromiseChecker,
  RequestKind,
  RequestOutcome,
} from './promise-checker.js';
import type { ProcessSpec } from './process-set.js';

const CALLERS = 8;
const REQUEST_TIMEOUT_MS = 4000;
/** Time by which a response may end before its time limit, as that is passed on in whole ms. */
const TIMER_MARGIN_MS = 150;
const CALLER_PAUSE_MS = 60;
const JOB_PAUSE_MS = 900;
const MAX_JOB_ITEMS = 8;
const CANCELLED_JOB_SHARE = 0.15;
const POISON_SHARE = 0.04;
const SUBMIT_ATTEMPTS = 12;
const RETRY_PAUSE_MS = 250;
const READ_PAUSE_MS = 350;
const OPERATOR_PAUSE_MS = 700;
const CONCURRENT_PUT_SHARE = 0.2;
const PUTS_WHILE_IMPAIRED = 4;
/** Time after its acknowledgement within which every process must know a configuration. */
const KNOWN_WITHIN_MS = 2000;
/** Time between two streams of a caller whose streams differ in length. */
const LONG_CALLER_PAUSE_MS = 150;
/** Half of the time limit of a request, at the pace of the endpoints. */
const MAX_LONG_EVENTS = 100;
/** Time between two attempts of a caller whose content crashes endpoints. */
const CRASHING_CALLER_PAUSE_MS = 300;
/** Number of parts that sound requests and crashing ones share, besides the first. */
const SHARED_PARTS = 3;
/** Share of the items whose prompts have a crashing part, if there are any. */
const CRASHING_ITEM_SHARE = 0.1;
/** Share of the streams whose caller leaves early and continues at another entry. */
const LEFT_SHARE = 0.15;
const MAX_CONTINUATIONS = 3;
const CONTINUATION_PAUSE_MS = 100;
const KINDS: readonly RequestKind[] = ['resumable', 'once', 'repeatable'];

/** Options of {@link SoakLoad}. */
export interface SoakLoadOptions {
  readonly seed: number;
  readonly adapter: FleetAdapter;
  readonly checker: PromiseChecker;
  readonly entries: readonly ProcessSpec[];
  readonly controls: readonly ProcessSpec[];
  readonly nowMs: () => number;
  /** Returns the entries to which callers would currently be directed. */
  readonly usableEntries: () => readonly ProcessSpec[];
  /**
   * Additional requests per second that are sent without waiting for the responses to earlier ones,
   * so that lost requests do not reduce the load.
   */
  readonly pacedPerS?: number;
  /** Number of callers that each repeatedly send a content which crashes endpoints. */
  readonly crashers?: number;
  /** Number of callers that each send different requests with a part which crashes endpoints. */
  readonly crashingParts?: number;
  /**
   * Number of callers that send streams of different lengths to all entries, whether or not callers
   * would be directed to them.
   */
  readonly longCallers?: number;
}

/** What a request holds; its own id and the usual parts by default. */
interface RequestContent {
  /** Content, or part of its prompt, that crashes endpoints. */
  readonly crashing?: string;
  /** Whether it is the whole content. */
  readonly isWhole?: boolean;
  /** Number of events of the response; a few if omitted. */
  readonly eventCount?: number;
  readonly sharedParts?: readonly string[];
}

/** Load on the fleet in one run. */
export class SoakLoad {
  private readonly options: SoakLoadOptions;
  private readonly random: RandomSource;
  /** Drawn from separately, so that the other load of a seed does not change. */
  private readonly continuationRandom: RandomSource;
  private readonly loops: Promise<void>[] = [];
  private hasStopped = false;
  private nextId = 1;
  private version = 1;

  constructor(options: SoakLoadOptions) {
    this.options = options;
    this.random = seededRandom(options.seed + 1);
    this.continuationRandom = seededRandom(options.seed + 2);
  }

  /** Puts the first configuration, with retries until it is acknowledged. */
  async configure(): Promise<void> {
    await this.putConfiguration(0);
  }

  start(): void {
    for (let caller = 0; caller < CALLERS; caller += 1) this.loops.push(this.callerLoop());
    this.loops.push(this.jobLoop(), this.operatorLoop(), this.configurationReadLoop());
    for (const entry of this.options.entries) this.loops.push(this.configurationCheckLoop(entry));
    const { pacedPerS = 0, crashers = 0, crashingParts = 0, longCallers = 0 } = this.options;
    for (let index = 0; index < longCallers; index += 1) this.loops.push(this.longCallerLoop());
    for (let index = 0; index < crashers; index += 1)
      this.loops.push(this.crashingCallerLoop(index));
    for (let index = 0; index < crashingParts; index += 1)
      this.loops.push(this.crashingPartLoop(this.crashingPart(index)));
    if (pacedPerS > 0) this.loops.push(this.pacedLoop(1000 / pacedPerS));
  }

  /** Starts no new work and waits for what is in progress. */
  async stop(): Promise<void> {
    this.hasStopped = true;
    await Promise.all(this.loops);
  }

  /** Sends one request through an entry; returns whether it completed. */
  probe(entry: ProcessSpec): Promise<boolean> {
    return this.requestOnNewConnection(entry, 'repeatable');
  }

  /** Reads all results of a job at one entry; returns whether the list was complete. */
  async readJob(entry: ProcessSpec, jobId: string): Promise<boolean> {
    const { adapter, checker, nowMs } = this.options;
    let position = 0;
    for (;;) {
      const page = await adapter.readResults(entry, jobId, position);
      if (page === undefined) return false;
      if (page === 'unknown') {
        checker.jobMissing(jobId, nowMs());
        return false;
      }
      for (const [index, result] of page.results.entries()) {
        checker.resultListed(jobId, position + index, result, nowMs());
      }
      position += page.results.length;
      if (position >= page.total) return true;
      if (page.results.length === 0) return false;
    }
  }

  /** Reads the configuration in force from a control process; returns whether that succeeded. */
  async readConfiguration(control: ProcessSpec): Promise<boolean> {
    const requestedAtMs = this.options.nowMs();
    const configuration = await this.options.adapter.readConfiguration(control);
    if (configuration === undefined) return false;
    this.options.checker.configurationRead(
      configuration.version,
      configuration.content,
      requestedAtMs - KNOWN_WITHIN_MS,
    );
    return true;
  }

  /** Checks whether an entry applies a configuration, and records the reply. */
  async checkApplied(entry: ProcessSpec, version: number): Promise<boolean> {
    const { adapter, checker, nowMs } = this.options;
    const isApplied = await adapter.appliesConfiguration(entry, version);
    // An entry far ahead of the known acknowledgements no longer has the routes of old versions.
    const isDistinguishable = this.version - version < DISTINGUISHABLE_VERSIONS;
    if (isApplied === true || (isApplied === false && isDistinguishable))
      checker.configurationChecked({ entry: entry.name, version, isApplied }, nowMs());
    return isApplied === true;
  }

  /** Puts several configurations to one control process, one after the other. */
  async putSeveralTo(control: ProcessSpec): Promise<void> {
    for (let attempt = 0; attempt < PUTS_WHILE_IMPAIRED && !this.hasStopped; attempt += 1) {
      await this.put(this.nextVersion(), 0, control);
    }
  }

  private async callerLoop(): Promise<void> {
    while (!this.hasStopped) {
      const usable = this.options.usableEntries();
      if (usable.length === 0) {
        await pause(RETRY_PAUSE_MS);
        continue;
      }
      const entry = pick(this.random, usable);
      const caller = this.options.adapter.openCaller(entry);
      // The connection is reused until a request on it fails.
      let isUsable = true;
      while (isUsable && !this.isStopped()) {
        isUsable = await this.request(caller, entry, pick(this.random, KINDS));
        await pause(this.random() * CALLER_PAUSE_MS);
      }
      await caller.close();
    }
  }

  /** Sends each request on a new connection, to the entries in rotation. */
  private async pacedLoop(pauseMs: number): Promise<void> {
    const pending: Promise<unknown>[] = [];
    for (let sentCount = 0; !this.hasStopped; sentCount += 1) {
      const usable = this.options.usableEntries();
      const entry = usable[sentCount % Math.max(1, usable.length)];
      const kind = KINDS[Math.floor(sentCount / Math.max(1, usable.length)) % KINDS.length];
      if (entry !== undefined && kind !== undefined)
        pending.push(this.requestOnNewConnection(entry, kind));
      await pause(pauseMs);
    }
    await Promise.all(pending);
  }

  /** Sends streams of different lengths on new connections, also to entries that stop. */
  private async longCallerLoop(): Promise<void> {
    const pending: Promise<unknown>[] = [];
    while (!this.hasStopped) {
      const entry = pick(this.continuationRandom, this.options.entries);
      const kind = pick(this.continuationRandom, ['once', 'resumable'] as const);
      const eventCount = 1 + Math.floor(this.continuationRandom() * MAX_LONG_EVENTS);
      pending.push(this.requestOnNewConnection(entry, kind, { eventCount }));
      await pause(LONG_CALLER_PAUSE_MS);
    }
    await Promise.all(pending);
  }

  /** Sends the same content with a new request id each time, to random entries. */
  private async crashingCallerLoop(index: number): Promise<void> {
    const content = `${CRASHER_PREFIX}${this.options.seed}-${index}`;
    const kind = KINDS[index % KINDS.length] ?? 'once';
    const pending: Promise<unknown>[] = [];
    while (!this.hasStopped) {
      const usable = this.options.usableEntries();
      if (usable.length > 0)
        pending.push(
          this.requestOnNewConnection(pick(this.random, usable), kind, {
            crashing: content,
            isWhole: true,
          }),
        );
      await pause(CRASHING_CALLER_PAUSE_MS);
    }
    await Promise.all(pending);
  }

  /** Sends different requests whose prompts have a part, at any place, to random entries. */
  private async crashingPartLoop(part: string): Promise<void> {
    const pending: Promise<unknown>[] = [];
    for (let number = 0; !this.hasStopped; number += 1) {
      const usable = this.options.usableEntries();
      const kind = KINDS[number % KINDS.length] ?? 'once';
      const others = [COMMON_PART, sharedPart(number)];
      const sharedParts = others.toSpliced(number % SHARED_PARTS, 0, part);
      if (usable.length > 0)
        pending.push(
          this.requestOnNewConnection(pick(this.random, usable), kind, {
            crashing: part,
            sharedParts,
          }),
        );
      await pause(CRASHING_CALLER_PAUSE_MS);
    }
    await Promise.all(pending);
  }

  private crashingPart(index: number): string {
    return `${CRASHING_PART_PREFIX}${this.options.seed.toString(16)}f${index}`;
  }

  private get hasCrashingParts(): boolean {
    return (this.options.crashingParts ?? 0) > 0;
  }

  private async requestOnNewConnection(
    entry: ProcessSpec,
    kind: RequestKind,
    content: RequestContent = {},
  ): Promise<boolean> {
    const caller = this.options.adapter.openCaller(entry);
    try {
      return await this.request(caller, entry, kind, content);
    } finally {
      await caller.close();
    }
  }

  private isStopped(): boolean {
    return this.hasStopped;
  }

  private async request(
    caller: SoakCaller,
    { name: entry }: ProcessSpec,
    kind: RequestKind,
    { crashing, isWhole = false, eventCount, sharedParts = this.soundParts() }: RequestContent = {},
  ): Promise<boolean> {
    const { checker, nowMs } = this.options;
    const ownId = this.newId('q');
    const requestId = eventCount === undefined ? ownId : `${sizedPrefix(eventCount)}${ownId}`;
    checker.requestSent(requestId, {
      entry,
      kind,
      atMs: nowMs(),
      ...(crashing === undefined ? {} : { crashingContent: crashing }),
      ...limitOf(requestId),
    });
    const mayLeave = kind === 'resumable' && crashing === undefined;
    const outcome = await caller.send({
      requestId,
      kind,
      timeoutMs: REQUEST_TIMEOUT_MS,
      ...(crashing !== undefined && isWhole ? { content: crashing } : {}),
      ...(sharedParts.length === 0 ? {} : { sharedParts }),
      ...(mayLeave ? this.drawLeave() : {}),
    });
    checker.requestEnded(requestId, outcome, nowMs());
    if (mayLeave && (outcome.kind === 'cut' || outcome.kind === 'left') && outcome.text !== '')
      await this.continueElsewhere({ requestId, text: outcome.text });
    return outcome.kind === 'complete';
  }

  private newItemId(): string {
    const itemId = this.newId(this.random() < POISON_SHARE ? POISON_PREFIX : 'item');
    const isCrashing = this.hasCrashingParts && this.continuationRandom() < CRASHING_ITEM_SHARE;
    return isCrashing ? crashingItemId(this.crashingPart(0), itemId) : itemId;
  }

  /** Parts of the prompt of a sound request, which are also in those of crashing ones. */
  private soundParts(): readonly string[] {
    return this.hasCrashingParts ? [COMMON_PART, sharedPart(this.nextId)] : [];
  }

  private drawLeave(): { readonly leaveAfterEvents?: number } {
    const hasLeft = this.continuationRandom() < LEFT_SHARE;
    return hasLeft ? { leaveAfterEvents: 1 + Math.floor(this.continuationRandom() * 3) } : {};
  }

  /** Continues a stream at other entries until it is complete or a few attempts have failed. */
  private async continueElsewhere(begun: BegunStream): Promise<void> {
    let { text } = begun;
    for (let attempt = 1; attempt <= MAX_CONTINUATIONS && !this.isStopped(); attempt += 1) {
      const usable = this.options.usableEntries();
      if (usable.length === 0) return;
      const entry = pick(this.continuationRandom, usable);
      const outcome = await this.sendContinuation(entry, { ...begun, text }, attempt);
      if ('text' in outcome && outcome.text !== '') text += `\n${outcome.text}`;
      if (outcome.kind === 'complete') return;
      await pause(CONTINUATION_PAUSE_MS);
    }
  }

  private async sendContinuation(
    entry: ProcessSpec,
    continues: BegunStream,
    attempt: number,
  ): Promise<RequestOutcome> {
    const { adapter, checker, nowMs } = this.options;
    const requestId = `${continues.requestId}-again-${attempt}`;
    const kind = 'resumable';
    const sent = { entry: entry.name, kind, atMs: nowMs(), continues } as const;
    checker.requestSent(requestId, { ...sent, ...limitOf(requestId) });
    const caller = adapter.openCaller(entry);
    const content = continues.requestId;
    const outcome = await caller.send({
      requestId,
      kind,
      timeoutMs: REQUEST_TIMEOUT_MS,
      content,
      continues,
    });
    checker.requestEnded(requestId, outcome, nowMs());
    await caller.close();
    return outcome;
  }

  private async jobLoop(): Promise<void> {
    const jobs: Promise<void>[] = [];
    while (!this.hasStopped) {
      jobs.push(this.runJob());
      await pause(this.random() * 2 * JOB_PAUSE_MS);
    }
    await Promise.all(jobs);
  }

  private async runJob(): Promise<void> {
    const { adapter, checker, entries, nowMs } = this.options;
    const jobId = this.newId('job');
    const count = 1 + Math.floor(this.random() * MAX_JOB_ITEMS);
    const itemIds = Array.from({ length: count }, () => this.newItemId());
    const isCancelled = this.random() < CANCELLED_JOB_SHARE;
    checker.jobSubmitted(jobId, itemIds);
    if (!(await this.submitWithRetries({ jobId, itemIds }))) return;
    checker.jobAccepted(jobId, itemIds);
    if (isCancelled) {
      await pause(this.random() * JOB_PAUSE_MS);
      checker.jobCancelRequested(jobId);
      if (await adapter.cancelJob(pick(this.random, entries), jobId))
        checker.jobCancelled(jobId, nowMs());
    }
    while (!this.hasStopped) {
      if (await this.readJob(pick(this.random, entries), jobId)) return;
      await pause(READ_PAUSE_MS);
    }
  }

  private async submitWithRetries(job: { jobId: string; itemIds: string[] }): Promise<boolean> {
    const { adapter, entries } = this.options;
    for (let attempt = 0; attempt < SUBMIT_ATTEMPTS; attempt += 1) {
      const outcome = await adapter.submitJob(pick(this.random, entries), job);
      if (outcome === 'accepted') return true;
      await pause(RETRY_PAUSE_MS);
    }
    return false;
  }

  private async operatorLoop(): Promise<void> {
    while (!this.hasStopped) {
      await pause(this.random() * 2 * OPERATOR_PAUSE_MS);
      const isConcurrent = this.random() < CONCURRENT_PUT_SHARE;
      const version = this.nextVersion();
      if (isConcurrent) await Promise.all([this.put(version, 1), this.put(version, 2)]);
      else await this.put(version, 0);
    }
  }

  private async putConfiguration(variant: number): Promise<void> {
    while (!(await this.put(this.version, variant))) await pause(RETRY_PAUSE_MS);
  }

  private nextVersion(): number {
    this.version += 1 + Math.floor(this.random() * 3);
    return this.version;
  }

  private async put(
    version: number,
    variant: number,
    control = pick(this.random, this.options.controls),
  ): Promise<boolean> {
    const { adapter, checker, nowMs } = this.options;
    const isAcknowledged = await adapter.putConfiguration(control, version, variant);
    if (isAcknowledged) checker.configurationAcknowledged(version, nowMs());
    return isAcknowledged;
  }

  private async configurationReadLoop(): Promise<void> {
    while (!this.hasStopped) {
      await this.readConfiguration(pick(this.random, this.options.controls));
      await pause(READ_PAUSE_MS);
    }
  }

  /** Repeatedly checks which configuration an entry applies. */
  private async configurationCheckLoop(entry: ProcessSpec): Promise<void> {
    const { checker } = this.options;
    while (!this.hasStopped) {
      const newest = checker.newestAcknowledgedConfiguration;
      if (!(await this.checkApplied(entry, newest))) {
        await this.checkApplied(entry, checker.newestAppliedConfiguration(entry.name));
      }
      await pause(READ_PAUSE_MS);
    }
  }

  private newId(prefix: string): string {
    const id = `${prefix}${prefix.endsWith('-') ? '' : '-'}${this.options.seed}-${this.nextId}`;
    this.nextId += 1;
    return id;
  }
}

/** Returns a part that sound requests and crashing ones share. */
function sharedPart(number: number): string {
  return `a${number % SHARED_PARTS}`;
}

/** Returns the limit of a long response, which it may reach if the machine slows the endpoints. */
function limitOf(requestId: string): { readonly limitMs?: number } {
  return isSized(requestId) ? { limitMs: REQUEST_TIMEOUT_MS - TIMER_MARGIN_MS } : {};
}
