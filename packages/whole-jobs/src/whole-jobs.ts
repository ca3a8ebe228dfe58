/**
 * State machine of a group of whole jobs. Applying the same commands in the same order yields the
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

/** One page of the results of a job. */
export interface ResultsPage {
  /** Number of items of the job. */
  readonly total: number;
  readonly results: readonly JobResult[];
  /** Position at which the next page starts. */
  readonly nextPosition: number;
  /** See {@link JobIdentity.isPublic}. */
  readonly isPublic?: boolean;
}

interface WholeJobsData {
  readonly clockMs: number;
  readonly jobs: readonly JobRecordData[];
}

/** Jobs of one group. */
export class WholeJobs {
  private readonly files: ItemFiles;
  private readonly jobs = new Map<string, JobRecord>();
  private readonly waitingTokensByQuotaKey = new Map<string, number>();
  private clockMs = 0;

  constructor(files: ItemFiles) {
    this.files = files;
  }

  /** Jobs in order of submission. */
  get all(): IterableIterator<JobRecord> {
    return this.jobs.values();
  }

  /** Returns a job by id. */
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

  /**
   * Returns results from a position on: about `maxBytes` at most, but at least one result if any.
   */
  results(jobId: string, position: number, maxBytes: number): ResultsPage | undefined {
    const job = this.jobs.get(jobId);
    if (job === undefined) return undefined;
    const results: JobResult[] = [];
    let bytes = 0;
    let next = position;
    while (next < job.resultCount) {
      const result = job.resultAt(next);
      if (result === undefined) break;
      bytes += result.text.length + result.itemId.length;
      if (results.length > 0 && bytes > maxBytes) break;
      results.push(result);
      next += 1;
    }
    const { isPublic } = job.identity;
    const access = isPublic === undefined ? {} : { isPublic };
    return { total: job.total, results, nextPosition: next, ...access };
  }

  /** Sum of the waiting tokens of the jobs with a quota key. */
  waitingTokens(quotaKey: string): number {
    return this.waitingTokensByQuotaKey.get(quotaKey) ?? 0;
  }

  /** Files in use and the valid size of each. */
  fileSizes(): { file: string; sizeBytes: number }[] {
    return [...this.jobs.values()].flatMap((job) => job.fileSizes());
  }

  /** Returns the serialized state for a snapshot. */
  toData(): unknown {
    const jobs = [...this.jobs.values()].map((job) => job.toData());
    return { clockMs: this.clockMs, jobs } satisfies WholeJobsData;
  }

  /** Replaces the state by that of a snapshot. */
  restore(state: unknown): void {
    const data = state as WholeJobsData;
    this.clockMs = data.clockMs;
    this.jobs.clear();
    this.waitingTokensByQuotaKey.clear();
    for (const jobData of data.jobs) {
      const job = JobRecord.fromData(jobData, this.files);
      this.jobs.set(job.identity.jobId, job);
      this.addWaitingTokens(job.identity.quotaKey, job.waitingTokens);
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
    const timestamped = { ...command, atMs: this.clockMs };
    // The log index distinguishes the files from those of a deleted job with the same id.
    const job = JobRecord.fromSubmission(timestamped, `job-${logIndex}`, this.files);
    this.jobs.set(command.jobId, job);
    this.addWaitingTokens(quotaKey, added);
    return { outcome: 'accepted', waitingTokens: waitingTokens + added };
  }

  private commit(command: CommitRuns): CommitAnswer {
    let stored = 0;
    for (const { jobId, index, state, text } of command.finished) {
      if (this.updateJob(jobId, (job) => job.finish(index, state, text))) stored += 1;
    }
    for (const { jobId, index, runId } of command.failed) {
      this.updateJob(jobId, (job) => {
        job.countFailure(index, runId);
        return true;
      });
    }
    for (const { jobId, index, progress } of command.returned) {
      if (progress !== undefined) this.jobs.get(jobId)?.saveProgress(index, progress);
    }
    for (const { jobId, index, runId } of command.crashed ?? []) {
      this.updateJob(jobId, (job) => {
        job.countCrash(index, runId);
        return true;
      });
    }
    for (const { jobId, index, runId, hasBegun } of command.sharedCrashes ?? [])
      this.jobs.get(jobId)?.countSharedCrash(index, runId, hasBegun);
    return { stored, dropped: command.finished.length - stored };
  }

  private end(jobId: string): EndAnswer {
    const isKnown = this.updateJob(jobId, (job) => {
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
        job.releaseFiles();
        this.jobs.delete(jobId);
      }
    }
    return { stored: 0, dropped: 0 };
  }

  private giveUpItems(jobId: string): void {
    this.updateJob(jobId, (job) => {
      for (const index of [...job.openIndexes()]) job.finish(index, 'errored', '');
      return true;
    });
  }

  /** Changes a job and updates the sum of waiting tokens; false if the job is unknown. */
  private updateJob(jobId: string, change: (job: JobRecord) => boolean): boolean {
    const job = this.jobs.get(jobId);
    if (job === undefined) return false;
    const before = job.waitingTokens;
    const changed = change(job);
    this.addWaitingTokens(job.identity.quotaKey, job.waitingTokens - before);
    return changed;
  }

  private addWaitingTokens(quotaKey: string, tokens: number): void {
    const sum = this.waitingTokens(quotaKey) + tokens;
    if (sum > 0) this.waitingTokensByQuotaKey.set(quotaKey, sum);
    else this.waitingTokensByQuotaKey.delete(quotaKey);
  }
}
