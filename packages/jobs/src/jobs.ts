/**
 * State machine of a job group: jobs, item leases and call claims. Applying the same commands
 * in the same order yields the same state and the same file contents on every replica.
 */
import { match } from 'ts-pattern';
import { pack, unpack } from 'msgpackr';
import { sha256Hex } from '@shedline/types';
import type { ItemLease, ItemResult, ItemReturn, JobView } from '@shedline/types';
import type { ItemFiles } from '@shedline/storage';
import { CallClaims } from './call-claims.js';
import type { CallClaimsData } from './call-claims.js';
import type {
  CancelJob,
  CommitAnswer,
  CommitItems,
  CreateJob,
  ExpireLeases,
  GrantAnswer,
  GrantItems,
  Housekeep,
  JobAnswer,
  JobCommand,
  JobGroupAnswer,
  PutItems,
  Refusal,
  SealJob,
  StartAnswer,
  StartItems,
} from './commands.js';
import { JobRecord } from './job-record.js';
import type { JobRecordData } from './job-record.js';

/** One in this many grants of a service serves its jobs past due before its other jobs. */
const PAST_DUE_GRANT_INTERVAL = 8;
/** Minimum time to the due time that is used to calculate a needed rate. */
const MIN_TIME_TO_DUE_MS = 1000;

interface OpenLease {
  readonly owner: string;
  readonly jobId: string;
  readonly indexes: readonly number[];
}

interface JobsData {
  readonly clockMs: number;
  readonly leaseCounter: number;
  readonly jobs: readonly JobRecordData[];
  readonly leases: readonly [string, OpenLease][];
  /** Number of grants by service. */
  readonly turns: readonly [string, number][];
  readonly calls: CallClaimsData;
}

/** Demand for a service in one group. */
export interface ServiceDemand {
  readonly workspace: string;
  readonly service: string;
  readonly pendingItems: number;
  /** Items per second needed so that every job of the service ends before it is due. */
  readonly neededItemsPerSecond: number;
  readonly earliestDueAtMs: number;
}

/** One line of the results of a job. */
export interface ResultLine {
  readonly index: number;
  readonly customId: string;
  readonly status: string;
  /** JSON text of the response or error; undefined for a cancelled item. */
  readonly body: string | undefined;
}

/** Returns the id of the job with a key; deterministic, so that retries yield the same id. */
export function jobIdOf(group: number, workspace: string, jobKey: string): string {
  return `job-${group}-${sha256Hex(JSON.stringify([workspace, jobKey])).slice(0, 24)}`;
}

/** Returns the group that a job id names; undefined if it is not a job id. */
export function groupOfJobId(jobId: string): number | undefined {
  const parts = /^job-(\d+)-[0-9a-f]{24}$/.exec(jobId);
  return parts === null ? undefined : Number(parts[1]);
}

/** Jobs, leases and call claims of one group. */
export class Jobs {
  private readonly files: ItemFiles;
  private jobs = new Map<string, JobRecord>();
  private leases = new Map<string, OpenLease>();
  /** Number of grants by service. */
  private grantCounts = new Map<string, number>();
  private clockMs = 0;
  private leaseCounter = 0;
  private readonly calls: CallClaims;
  private storedResults = 0;

  constructor(files: ItemFiles) {
    this.files = files;
    this.calls = new CallClaims(files);
  }

  /** Ids of the open leases. */
  get openLeaseIds(): Iterable<string> {
    return this.leases.keys();
  }

  /** Number of results stored since this process started; for rates, not part of the state. */
  get resultsSinceStart(): number {
    return this.storedResults;
  }

  /** Memory used by items, in bytes, and number of items. */
  get memory(): { itemBytes: number; items: number } {
    let itemBytes = 0;
    let items = 0;
    for (const job of this.jobs.values()) {
      itemBytes += job.memoryBytes;
      items += job.received;
    }
    return { itemBytes, items };
  }

  /** Applies the command at a log index. */
  apply(command: JobCommand, logIndex: number): JobGroupAnswer {
    this.clockMs = Math.max(this.clockMs, command.atMs);
    return match<JobCommand, JobGroupAnswer>(command)
      .with({ type: 'createJob' }, (c) => this.createJob(c, logIndex))
      .with({ type: 'putItems' }, (c) => this.putItems(c))
      .with({ type: 'sealJob' }, (c) => this.sealJob(c))
      .with({ type: 'cancelJob' }, (c) => this.cancelJob(c))
      .with({ type: 'grantItems' }, (c) => this.grantItems(c))
      .with({ type: 'startItems' }, (c) => this.startItems(c))
      .with({ type: 'commitItems' }, (c) => this.commitItems(c))
      .with({ type: 'expireLeases' }, (c) => this.expireLeases(c))
      .with({ type: 'housekeep' }, (c) => this.housekeep(c))
      .with({ type: 'claimCall' }, (c) => this.calls.claim(c))
      .with({ type: 'finishCall' }, (c) => {
        this.calls.finish(c);
        return { ok: true };
      })
      .exhaustive();
  }

  /**
   * Returns a job as reported to its workspace; undefined if it is unknown or of another workspace.
   */
  view(jobId: string, workspace: string, predictedLate = false): JobView | undefined {
    return this.jobOfWorkspace(jobId, workspace)?.view(predictedLate);
  }

  /** Returns the jobs of a workspace, newest first. */
  list(workspace: string): JobView[] {
    const jobs = [...this.jobs.values()].filter((job) => job.identity.workspace === workspace);
    return jobs.map((job) => job.view(false)).reverse();
  }

  /**
   * Returns ended items from an index on, about `maxBytes` at most; the next page starts at
   * `nextIndex`.
   */
  results(options: {
    readonly jobId: string;
    readonly workspace: string;
    readonly fromIndex: number;
    readonly maxBytes: number;
  }): { lines: ResultLine[]; nextIndex: number; total: number } | undefined {
    const job = this.jobOfWorkspace(options.jobId, options.workspace);
    if (job === undefined) return undefined;
    const lines: ResultLine[] = [];
    let bytes = 0;
    let index = options.fromIndex;
    while (index < job.received && bytes < options.maxBytes) {
      const line = resultLine(job, index);
      if (line !== undefined) {
        lines.push(line);
        bytes += 64 + (line.body?.length ?? 0);
      }
      index += 1;
    }
    return { lines, nextIndex: index, total: job.received };
  }

  /** Returns the demand in this group, by service. */
  demand(nowMs: number): ServiceDemand[] {
    const byService = new Map<string, JobRecord[]>();
    for (const job of this.jobs.values()) {
      if (job.state !== 'sealed' || job.pendingCount === 0) continue;
      const key = serviceKey(job);
      byService.set(key, [...(byService.get(key) ?? []), job]);
    }
    return [...byService.values()].map((jobs) => demandOf(jobs, nowMs));
  }

  /**
   * Returns the open jobs and the number of unfinished items in each, to predict missed due times.
   */
  openJobs(): { jobId: string; dueAtMs: number; openItems: number }[] {
    const open = [...this.jobs.values()].filter((job) => job.state === 'sealed');
    return open.map((job) => ({
      jobId: job.identity.jobId,
      dueAtMs: job.identity.dueAtMs,
      openItems: job.openCount,
    }));
  }

  /** Files in use and the valid size of each. */
  fileSizes(): { file: string; sizeBytes: number }[] {
    const ofJobs = [...this.jobs.values()].flatMap((job) => job.fileSizes());
    return [...ofJobs, ...this.calls.fileSizes()];
  }

  /** Returns the serialized state. */
  snapshot(): Uint8Array {
    const data: JobsData = {
      clockMs: this.clockMs,
      leaseCounter: this.leaseCounter,
      jobs: [...this.jobs.values()].map((job) => job.toData()),
      leases: [...this.leases],
      turns: [...this.grantCounts],
      calls: this.calls.toData(),
    };
    return pack(data);
  }

  /** Replaces the state by that of a snapshot. */
  restore(state: Uint8Array): void {
    const data = unpack(state) as JobsData;
    this.clockMs = data.clockMs;
    this.leaseCounter = data.leaseCounter;
    this.jobs = new Map();
    for (const jobData of data.jobs) {
      this.jobs.set(jobData.identity.jobId, JobRecord.fromData(jobData, this.files));
    }
    this.leases = new Map(data.leases);
    this.grantCounts = new Map(data.turns);
    this.calls.restore(data.calls);
  }

  private jobOfWorkspace(jobId: string, workspace: string): JobRecord | undefined {
    const job = this.jobs.get(jobId);
    return job?.identity.workspace === workspace ? job : undefined;
  }

  private createJob(command: CreateJob, logIndex: number): JobAnswer | Refusal {
    const existing = this.jobs.get(command.jobId);
    if (existing !== undefined) return replyToResentCreate(existing, command);
    const { jobId, workspace, service, jobKey, dueAtMs, idempotent, pastDue } = command;
    const fileName = `${jobId}-${logIndex}`;
    const createdAtMs = this.clockMs;
    const job = new JobRecord(
      { jobId, workspace, service, jobKey, dueAtMs, idempotent, pastDue, createdAtMs, fileName },
      this.files,
    );
    this.jobs.set(jobId, job);
    return { ok: true, created: true, job: job.view(false) };
  }

  private putItems(command: PutItems): JobAnswer | Refusal {
    const job = this.jobOfWorkspace(command.jobId, command.workspace);
    if (job === undefined) return notFound(command.jobId);
    if (command.fromIndex > job.received) {
      return refusal('invalid', `items must be sent in order; the next index is ${job.received}`);
    }
    const resentCount = Math.min(command.lines.length, job.received - command.fromIndex);
    const resent = command.lines.slice(0, resentCount);
    const difference = job.firstDifference(command.fromIndex, resent);
    if (difference !== -1) {
      const index = command.fromIndex + difference;
      return refusal('conflict', `item ${index} was already received with different content`);
    }
    const added = command.lines.slice(resentCount);
    if (added.length > 0 && job.state !== 'open') {
      return refusal('conflict', `the job is ${job.state} and accepts no more items`);
    }
    job.appendItems(added);
    return { ok: true, created: false, job: job.view(false) };
  }

  private sealJob(command: SealJob): JobAnswer | Refusal {
    const job = this.jobOfWorkspace(command.jobId, command.workspace);
    if (job === undefined) return notFound(command.jobId);
    if (command.itemCount !== job.received) {
      const message = `itemCount is ${command.itemCount}, but ${job.received} items were received`;
      return refusal('conflict', message);
    }
    if (job.state === 'open') {
      job.seal();
      if (job.received === 0) {
        job.state = 'completed';
        job.finishedAtMs = this.clockMs;
      }
    }
    return { ok: true, created: false, job: job.view(false) };
  }

  private cancelJob(command: CancelJob): JobAnswer | Refusal {
    const job = this.jobOfWorkspace(command.jobId, command.workspace);
    if (job === undefined) return notFound(command.jobId);
    if (job.state === 'open' || job.state === 'sealed') {
      job.cancel(this.clockMs);
      this.dropLeasesOf(command.jobId);
    }
    return { ok: true, created: false, job: job.view(false) };
  }

  private dropLeasesOf(jobId: string): void {
    for (const [leaseId, lease] of this.leases) {
      if (lease.jobId === jobId) this.leases.delete(leaseId);
    }
  }

  private grantItems(command: GrantItems): GrantAnswer {
    const leases: ItemLease[] = [];
    let remaining = command.maxItems;
    for (const job of this.jobsInOrder(command)) {
      if (remaining <= 0) break;
      const indexes = job.leaseItems(remaining, this.clockMs);
      if (indexes.length === 0) continue;
      remaining -= indexes.length;
      leases.push(this.openLease(command.owner, job, indexes));
    }
    return { ok: true, leases };
  }

  /**
   * Returns the jobs of a service by due time. Jobs past due are last, except in one of
   * {@link PAST_DUE_GRANT_INTERVAL} grants, in which they are first: they make progress without
   * delaying the others beyond their due times.
   */
  private jobsInOrder(command: GrantItems): JobRecord[] {
    const jobs = [...this.jobs.values()].filter(
      (job) =>
        job.state === 'sealed' &&
        job.pendingCount > 0 &&
        job.identity.workspace === command.workspace &&
        job.identity.service === command.service,
    );
    jobs.sort((a, b) => a.identity.dueAtMs - b.identity.dueAtMs);
    const notYetDue = jobs.filter((job) => job.identity.dueAtMs > this.clockMs);
    const pastDue = jobs.filter((job) => job.identity.dueAtMs <= this.clockMs);
    const key = `${command.workspace}/${command.service}`;
    const grantCount = (this.grantCounts.get(key) ?? 0) + 1;
    this.grantCounts.set(key, grantCount);
    return grantCount % PAST_DUE_GRANT_INTERVAL === 0
      ? [...pastDue, ...notYetDue]
      : [...notYetDue, ...pastDue];
  }

  private openLease(owner: string, job: JobRecord, indexes: readonly number[]): ItemLease {
    this.leaseCounter += 1;
    const leaseId = `lease-${this.leaseCounter}`;
    const { jobId, workspace, service, idempotent, dueAtMs } = job.identity;
    this.leases.set(leaseId, { owner, jobId, indexes });
    const items = indexes.map((index) => ({
      index,
      attempt: job.attemptNumber(index),
      alone: job.mustRunAlone(index),
      line: job.line(index),
    }));
    return { leaseId, jobId, workspace, service, idempotent, dueAtMs, items };
  }

  /** Marks items as started; only for an open lease, and each item at most once. */
  private startItems(command: StartItems): StartAnswer {
    const lease = this.leases.get(command.leaseId);
    const job = this.jobs.get(command.jobId);
    if (lease?.jobId !== command.jobId || job === undefined) return { ok: true, started: [] };
    const started = command.indexes.filter(
      (index) => lease.indexes.includes(index) && job.start(index),
    );
    return { ok: true, started };
  }

  private commitItems(command: CommitItems): CommitAnswer {
    let stored = 0;
    for (const result of command.results) {
      if (this.storeResult(result)) stored += 1;
    }
    for (const returned of command.returns) this.returnItem(returned, command.owner);
    this.closeEmptyLeases(command.owner);
    this.storedResults += stored;
    return { ok: true, stored, dropped: command.results.length - stored };
  }

  private storeResult(result: ItemResult): boolean {
    const job = this.jobs.get(result.jobId);
    if (job === undefined) return false;
    return job.finish(result.index, result.outcome, result.body, this.clockMs);
  }

  /**
   * Takes a returned item back if the owner still holds it; it may have been leased to another
   * owner.
   */
  private returnItem(returned: ItemReturn, owner: string): void {
    const job = this.jobs.get(returned.jobId);
    if (job === undefined || !this.isHeldBy(owner, returned.jobId, returned.index)) return;
    const { index, reason, cause } = returned;
    const isStarted = job.itemState(index) === 'started';
    match(reason)
      .with('yielded', () => {
        job.requeueOrMarkInDoubt(index, this.clockMs);
      })
      .with('notRun', () => {
        job.requeueNotRun(index, this.clockMs);
      })
      .with('endpointLost', () => {
        if (isStarted) job.requeueOrMarkInDoubt(index, this.clockMs);
        else job.recordFailure(index, this.clockMs, true, cause);
      })
      .with('retryable', () => {
        if (isStarted) job.requeueOrMarkInDoubt(index, this.clockMs);
        else job.recordFailure(index, this.clockMs, false, cause);
      })
      .exhaustive();
    this.removeFromLease(owner, returned.jobId, index);
  }

  private isHeldBy(owner: string, jobId: string, index: number): boolean {
    for (const lease of this.leases.values()) {
      if (lease.owner !== owner || lease.jobId !== jobId) continue;
      if (lease.indexes.includes(index)) return true;
    }
    return false;
  }

  private removeFromLease(owner: string, jobId: string, index: number): void {
    for (const [leaseId, lease] of this.leases) {
      if (lease.owner !== owner || lease.jobId !== jobId) continue;
      if (!lease.indexes.includes(index)) continue;
      const indexes = lease.indexes.filter((other) => other !== index);
      this.leases.set(leaseId, { ...lease, indexes });
      return;
    }
  }

  private closeEmptyLeases(owner: string): void {
    for (const [leaseId, lease] of this.leases) {
      if (lease.owner !== owner) continue;
      const job = this.jobs.get(lease.jobId);
      const hasOpenItem = lease.indexes.some((index) => {
        const state = job?.itemState(index);
        return state === 'leased' || state === 'started';
      });
      if (!hasOpenItem) this.leases.delete(leaseId);
    }
  }

  private expireLeases(command: ExpireLeases): JobGroupAnswer {
    for (const leaseId of command.leaseIds) {
      const lease = this.leases.get(leaseId);
      if (lease === undefined) continue;
      this.leases.delete(leaseId);
      const job = this.jobs.get(lease.jobId);
      for (const index of lease.indexes) job?.requeueOrMarkInDoubt(index, this.clockMs);
    }
    return { ok: true };
  }

  private housekeep(command: Housekeep): JobGroupAnswer {
    for (const [jobId, job] of this.jobs) {
      const isPastDue = job.identity.dueAtMs <= this.clockMs;
      if (job.state === 'sealed' && isPastDue && job.identity.pastDue === 'stop') {
        job.stopPastDue(this.clockMs);
      }
      const isFinal = job.state === 'completed' || job.state === 'cancelled';
      if (isFinal && job.finishedAtMs + command.jobRetentionMs < this.clockMs) {
        this.jobs.delete(jobId);
        for (const { file } of job.fileSizes()) this.files.release(file);
      }
    }
    this.calls.removeBefore(this.clockMs - command.callRetentionMs);
    return { ok: true };
  }
}

function serviceKey(job: JobRecord): string {
  return `${job.identity.workspace}/${job.identity.service}`;
}

function demandOf(jobs: readonly JobRecord[], nowMs: number): ServiceDemand {
  const jobsByDueTime = [...jobs].sort((a, b) => a.identity.dueAtMs - b.identity.dueAtMs);
  let pendingItems = 0;
  let neededItemsPerSecond = 0;
  for (const job of jobsByDueTime) {
    pendingItems += job.pendingCount;
    const timeToDueMs = job.identity.dueAtMs - nowMs;
    // A job past due sets no needed rate: it would take capacity from jobs that can still meet
    // their due time.
    if (timeToDueMs <= 0) continue;
    const needed = pendingItems / (Math.max(timeToDueMs, MIN_TIME_TO_DUE_MS) / 1000);
    neededItemsPerSecond = Math.max(neededItemsPerSecond, needed);
  }
  const first = jobsByDueTime[0];
  return {
    workspace: first?.identity.workspace ?? '',
    service: first?.identity.service ?? '',
    pendingItems,
    neededItemsPerSecond,
    earliestDueAtMs: first?.identity.dueAtMs ?? 0,
  };
}

function resultLine(job: JobRecord, index: number): ResultLine | undefined {
  const state = job.itemState(index);
  if (state === 'pending' || state === 'leased' || state === 'started') return undefined;
  const customId = (JSON.parse(job.line(index)) as { customId: string }).customId;
  return { index, customId, status: state, body: job.result(index) };
}

function replyToResentCreate(job: JobRecord, command: CreateJob): JobAnswer | Refusal {
  const { workspace, service, jobKey, dueAtMs, idempotent } = job.identity;
  const isSame =
    workspace === command.workspace &&
    jobKey === command.jobKey &&
    service === command.service &&
    dueAtMs === command.dueAtMs &&
    idempotent === command.idempotent;
  if (!isSame) {
    return refusal(
      'conflict',
      `jobKey ${command.jobKey} belongs to a job with different properties`,
    );
  }
  return { ok: true, created: false, job: job.view(false) };
}

function notFound(jobId: string): Refusal {
  return refusal('notFound', `there is no job ${jobId}`);
}

function refusal(reason: Refusal['reason'], message: string): Refusal {
  return { ok: false, reason, message };
}
