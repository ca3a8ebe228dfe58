/**
 * Commits results and returned items in batches, and retries a commit until it is known to be in
 * the log. A commit that arrives twice changes nothing.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { ControlClient } from '@shedline/control-client';
import type { Logger } from '@shedline/logger';
import type { ItemResult, ItemReturn } from '@shedline/types';

const MAX_ITEMS_PER_COMMIT = 128;
const COMMIT_DELAY_MS = 10;
const RETRY_INTERVAL_MS = 200;

interface Outbox {
  results: ItemResult[];
  returns: ItemReturn[];
  isCommitting: boolean;
}

/** Options of {@link ResultCommitter}. */
export interface ResultCommitterOptions {
  readonly control: ControlClient;
  readonly owner: string;
  readonly logger: Logger;
  /** Called with the number of results after each commit. */
  readonly onCommitted?: (results: number) => void;
}

/** Commits results to the consensus groups of their jobs. */
export class ResultCommitter {
  private readonly options: ResultCommitterOptions;
  private readonly outboxes = new Map<number, Outbox>();
  private isStopped = false;

  constructor(options: ResultCommitterOptions) {
    this.options = options;
  }

  /** Number of results, returns and commits in progress that are not yet in the log. */
  get pending(): number {
    let count = 0;
    for (const outbox of this.outboxes.values()) {
      count += outbox.results.length + outbox.returns.length + (outbox.isCommitting ? 1 : 0);
    }
    return count;
  }

  /** Queues a result. */
  addResult(group: number, result: ItemResult): void {
    this.outboxOf(group).results.push(result);
    this.startCommitting(group);
  }

  /** Queues an item to be returned to its job. */
  addReturn(group: number, itemReturn: ItemReturn): void {
    this.outboxOf(group).returns.push(itemReturn);
    this.startCommitting(group);
  }

  /** Stops committing; uncommitted items run again elsewhere after their lease expires. */
  stop(): void {
    this.isStopped = true;
  }

  private outboxOf(group: number): Outbox {
    const known = this.outboxes.get(group);
    if (known !== undefined) return known;
    const created: Outbox = { results: [], returns: [], isCommitting: false };
    this.outboxes.set(group, created);
    return created;
  }

  private startCommitting(group: number): void {
    const outbox = this.outboxOf(group);
    if (outbox.isCommitting) return;
    outbox.isCommitting = true;
    void this.commitPending(group, outbox);
  }

  private async commitPending(group: number, outbox: Outbox): Promise<void> {
    await pause(COMMIT_DELAY_MS);
    while (outbox.results.length + outbox.returns.length > 0 && !this.isStopped) {
      const results = outbox.results.splice(0, MAX_ITEMS_PER_COMMIT);
      const returns = outbox.returns.splice(0, MAX_ITEMS_PER_COMMIT);
      await this.commit(group, results, returns);
    }
    outbox.isCommitting = false;
  }

  private async commit(
    group: number,
    results: readonly ItemResult[],
    returns: readonly ItemReturn[],
  ): Promise<void> {
    const { control, owner, logger, onCommitted } = this.options;
    while (!this.isStopped) {
      try {
        await control.proposeJob(group, { type: 'commitItems', owner, results, returns });
        onCommitted?.(results.length);
        return;
      } catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        logger.warn('commit failed; retrying', { step: 'commit', group, reason });
        await pause(RETRY_INTERVAL_MS);
      }
    }
  }
}
