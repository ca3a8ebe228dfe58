/**
 * Reports results, failed runs and returned items to the stores, and retries until they are stored.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { GroupCaller } from '@shedline/control-client';
import type { Logger } from '@shedline/logger';
import type { FailedItem, FinishedItem, ReturnedItem, SharedCrash } from '@shedline/whole-jobs';

/** Time for which reports are collected into one command. */
const BATCH_WINDOW_MS = 15;
const REPORT_TIMEOUT_MS = 3000;
const RETRY_PAUSE_MS = 200;

/** Options of {@link RunReporter}. */
export interface RunReporterOptions {
  /** Name under which this entry leases items. */
  readonly holder: string;
  readonly stores: GroupCaller;
  readonly logger: Logger;
}

/** Reports that one group of the stores has not stored yet. */
interface PendingReports {
  finished: FinishedItem[];
  failed: FailedItem[];
  returned: ReturnedItem[];
  sharedCrashes: SharedCrash[];
}

/** A run whose endpoint crashed. */
export interface CrashedRun {
  readonly runId: string;
  /** Whether the run had brought an event. */
  readonly hasBegun: boolean;
}

/** Sends reports to the stores, one command at a time per group. */
export class RunReporter {
  private readonly options: RunReporterOptions;
  private readonly pending = new Map<number, PendingReports>();
  private readonly sending = new Map<number, Promise<void>>();
  private isClosed = false;

  constructor(options: RunReporterOptions) {
    this.options = options;
  }

  /** Reports the result of an item. */
  reportFinished(group: number, result: FinishedItem): void {
    this.pendingOf(group).finished.push(result);
    this.startSending(group);
  }

  /** Reports a failed run, which also returns the item. */
  reportFailed(group: number, run: FailedItem): void {
    this.pendingOf(group).failed.push(run);
    this.startSending(group);
  }

  /** Returns an item during which the endpoint crashed, and reports the crash. */
  reportCrashed(group: number, item: ReturnedItem, run: CrashedRun): void {
    const { jobId, index } = item;
    const reports = this.pendingOf(group);
    reports.returned.push(item);
    const { runId, hasBegun } = run;
    reports.sharedCrashes.push({ jobId, index, runId, hasBegun });
    this.startSending(group);
  }

  /** Returns items that have not completed. */
  reportReturned(group: number, items: readonly ReturnedItem[]): void {
    this.pendingOf(group).returned.push(...items);
    this.startSending(group);
  }

  /** Resolves when all reports are stored or abandoned. */
  async flush(): Promise<void> {
    await Promise.all(this.sending.values());
  }

  /**
   * Abandons pending reports; the stores grant those items to other entries when their leases
   * expire.
   */
  close(): void {
    this.isClosed = true;
  }

  private pendingOf(group: number): PendingReports {
    const known = this.pending.get(group);
    if (known !== undefined) return known;
    const created: PendingReports = {
      finished: [],
      failed: [],
      returned: [],
      sharedCrashes: [],
    };
    this.pending.set(group, created);
    return created;
  }

  private startSending(group: number): void {
    if (this.sending.has(group)) return;
    const work = this.sendAll(group).finally(() => this.sending.delete(group));
    this.sending.set(group, work);
  }

  private async sendAll(group: number): Promise<void> {
    await pause(BATCH_WINDOW_MS);
    for (;;) {
      const reports = this.pending.get(group);
      if (reports === undefined) return;
      this.pending.delete(group);
      await this.sendUntilStored(group, { holder: this.options.holder, ...reports });
    }
  }

  private async sendUntilStored(group: number, body: object): Promise<void> {
    // Stores that stop together with this process never reply, and would be retried forever.
    while (!this.isClosed) {
      try {
        const payload = { group, body };
        await this.options.stores.call('commitRuns', group, payload, REPORT_TIMEOUT_MS);
        return;
      } catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        this.options.logger.info('results not stored yet', { step: 'report', group, reason });
        await pause(RETRY_PAUSE_MS);
      }
    }
    this.options.logger.info('results dropped', { step: 'report', group, reason: 'closed' });
  }
}
