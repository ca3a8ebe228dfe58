/**
 * State machine of a group of whole jobs. Applying the same commands in the same order gives the
 * same state and the same file contents on every replica.
 */
import { match } from 'ts-pattern';
import type { ItemFiles } from '@shedline/storage';
import type {
  CommitAnswer,
  CommitRuns,
  EndAnswer,
  SubmitAnswer,
  SubmitJob,
  Sweep,
  WholeJobCommand,
} from './commands.js';
import { JobRecord } from './job-record.js';
import type { JobRecordData, JobResult } from './job-record.js';

/** Part of the results of a job. */
export interface ResultsPage {
  /** Number of items of the job. */
  readonly total: number;
  readonly results: readonly JobResult[];
  /** Position to go on from. */
  readonly nextPosition: number;
}

interface WholeJobsData {
  readonly clockMs: number;
  readonly jobs: readonly JobRecordData[];
}

/** Jobs of one group. */
export class WholeJobs {
  private readonly files: ItemFiles;
  private readonly jobs = new Map<string, JobRecord>();
  private readonly waiting = new Map<string, number>();
  private clockMs = 0;

  constructor(files: ItemFiles) {
    this.files = files;
  }

  /** Jobs in the order of their submission. */
  get all(): IterableIterator<JobRecord> {
    return this.jobs.values();
  }

  /** A job by id. */
  get(jobId: string): JobRecord | undefined {
    return this.jobs.get(jobId);
  }

  /** Applies the command at a log index. */
  apply(command: WholeJobCommand, logIndex: number): SubmitAnswer | CommitAnswer | EndAnswer {
    this.clockMs = Math.max(this.clockMs, command.atMs);
    return match<WholeJobCommand, SubmitAnswer | CommitAnswer | EndAnswer>(command)
      .with({ type: 'submitJob' }, (c) => this.submit(c, logIndex))
      .with({ type: 'commitRuns' }, (c) => this.commit(c))
      .with({ type: 'endJob' }, (c) => this.end(c.jobId))
      .with({ type: 'sweep' }, (c) => this.sweep(c))
      .exhaustive();
  }

  /** Results from a position on, up to about `maxBytes` but at least one. */
  results(jobId: string, position: number, maxBytes: number): ResultsPage | undefined {
    const job = this.jobs.get(jobId);
    if (job === undefined) return undefined;
    const results: JobResult[] = [];
    let bytes = 0;
    let next = position;
    while (next < job.listedCount) {
      const result = job.resultAt(next);
      if (result === undefined) break;
      bytes += result.text.length + result.itemId.length;
      if (results.length > 0 && bytes > maxBytes) break;
      results.push(result);
      next += 1;
    }
    return { total: job.total, results, nextPosition: next };
  }

  /** Tokens of the items that wait under a quota key. */
  waitingTokens(quotaKey: string): number {
    return this.waiting.get(quotaKey) ?? 0;
  }

  /** Files in use and how much of each is valid. */
  fileSizes(): { file: string; sizeBytes: number }[] {
    return [...this.jobs.values()].flatMap((job) => job.fileSizes());
  }

  /** The state in plain form, for a snapshot. */
  toData(): unknown {
    const jobs = [...this.jobs.values()].map((job) => job.toData());
    return { clockMs: this.clockMs, jobs } satisfies WholeJobsData;
  }

  /** Takes the place of what is here. */
  restore(plain: unknown): void {
    const data = plain as WholeJobsData;
    this.clockMs = data.clockMs;
    this.jobs.clear();
    this.waiting.clear();
    for (const jobData of data.jobs) {
      const job = JobRecord.fromData(jobData, this.files);
      this.jobs.set(job.identity.jobId, job);
      this.addWaiting(job.identity.quotaKey, job.waitingTokens);
    }
  }

  private submit(command: SubmitJob, logIndex: number): SubmitAnswer {
    const { quotaKey, maxWaitingTokens } = command;
    const waitingTokens = this.waitingTokens(quotaKey);
    if (this.jobs.has(command.jobId)) return { outcome: 'known', waitingTokens };
    const added = command.items.reduce((sum, item) => sum + item.tokens, 0);
    if (maxWaitingTokens > 0 && waitingTokens + added > maxWaitingTokens) {
      return { outcome: 'overQuota', waitingTokens };
    }
    const timed = { ...command, atMs: this.clockMs };
    // The log index keeps the files of a job apart from those of a forgotten one.
    const job = JobRecord.submitted(timed, `job-${logIndex}`, this.files);
    this.jobs.set(command.jobId, job);
    this.addWaiting(quotaKey, added);
    return { outcome: 'accepted', waitingTokens: waitingTokens + added };
  }

  private commit(command: CommitRuns): CommitAnswer {
    let stored = 0;
    for (const { jobId, index, state, text } of command.finished) {
      if (this.changing(jobId, (job) => job.finish(index, state, text))) stored += 1;
    }
    for (const { jobId, index, runId } of command.failed) {
      this.changing(jobId, (job) => {
        job.countFailure(index, runId);
        return true;
      });
    }
    for (const { jobId, index, progress } of command.returned) {
      if (progress !== undefined) this.jobs.get(jobId)?.saveProgress(index, progress);
    }
    for (const { jobId, index, runId } of command.crashed ?? []) {
      this.changing(jobId, (job) => {
        job.countCrash(index, runId);
        return true;
      });
    }
    return { stored, dropped: command.finished.length - stored };
  }

  private end(jobId: string): EndAnswer {
    const isKnown = this.changing(jobId, (job) => {
      job.end();
      return true;
    });
    return { outcome: isKnown ? 'ended' : 'unknown' };
  }

  private sweep({ retentionMs }: Sweep): CommitAnswer {
    for (const [jobId, job] of this.jobs) {
      const ageMs = this.clockMs - job.identity.submittedAtMs;
      if (job.isOpen && ageMs >= job.identity.keepItemsMs) this.giveUpItems(jobId);
      if (!job.isOpen && ageMs >= retentionMs) {
        job.removeFiles();
        this.jobs.delete(jobId);
      }
    }
    return { stored: 0, dropped: 0 };
  }

  private giveUpItems(jobId: string): void {
    this.changing(jobId, (job) => {
      for (const index of [...job.openIndexes()]) job.finish(index, 'errored', '');
      return true;
    });
  }

  /** Changes a job and keeps the sum of waiting tokens true. */
  private changing(jobId: string, change: (job: JobRecord) => boolean): boolean {
    const job = this.jobs.get(jobId);
    if (job === undefined) return false;
    const before = job.waitingTokens;
    const changed = change(job);
    this.addWaiting(job.identity.quotaKey, job.waitingTokens - before);
    return changed;
  }

  private addWaiting(quotaKey: string, tokens: number): void {
    const sum = this.waitingTokens(quotaKey) + tokens;
    if (sum > 0) this.waiting.set(quotaKey, sum);
    else this.waiting.delete(quotaKey);
  }
}
