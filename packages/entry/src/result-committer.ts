/**
 * Commits results and returned items in groups, and repeats a commit until it is known to be
 * in the log: a commit that came twice changes nothing.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { ControlClient } from '@shedline/control-client';
import type { Logger } from '@shedline/logger';
import type { ItemResult, ItemReturn } from '@shedline/types';

const MAX_GROUP_COMMIT = 128;
const GATHER_MS = 10;
const RETRY_MS = 200;

interface Outbox {
  results: ItemResult[];
  returns: ItemReturn[];
  running: boolean;
}

/** Options of {@link ResultCommitter}. */
export interface ResultCommitterOptions {
  readonly control: ControlClient;
  readonly owner: string;
  readonly logger: Logger;
  /** Told of returned items once the log has them. */
  readonly onCommitted?: (results: number) => void;
}

/** Sends results to the groups of their jobs. */
export class ResultCommitter {
  private readonly options: ResultCommitterOptions;
  private readonly outboxes = new Map<number, Outbox>();
  private stopped = false;

  constructor(options: ResultCommitterOptions) {
    this.options = options;
  }

  /** Results and returns that are not yet in the log. */
  get pending(): number {
    let count = 0;
    for (const outbox of this.outboxes.values()) {
      count += outbox.results.length + outbox.returns.length + (outbox.running ? 1 : 0);
    }
    return count;
  }

  /** Queues a result. */
  addResult(group: number, result: ItemResult): void {
    this.outboxOf(group).results.push(result);
    this.kick(group);
  }

  /** Queues an item to hand back. */
  addReturn(group: number, itemReturn: ItemReturn): void {
    this.outboxOf(group).returns.push(itemReturn);
    this.kick(group);
  }

  /** Ends; what is not committed will be done again by others. */
  stop(): void {
    this.stopped = true;
  }

  private outboxOf(group: number): Outbox {
    const known = this.outboxes.get(group);
    if (known !== undefined) return known;
    const fresh: Outbox = { results: [], returns: [], running: false };
    this.outboxes.set(group, fresh);
    return fresh;
  }

  private kick(group: number): void {
    const outbox = this.outboxOf(group);
    if (outbox.running) return;
    outbox.running = true;
    void this.drain(group, outbox);
  }

  private async drain(group: number, outbox: Outbox): Promise<void> {
    await pause(GATHER_MS);
    while (outbox.results.length + outbox.returns.length > 0 && !this.stopped) {
      const results = outbox.results.splice(0, MAX_GROUP_COMMIT);
      const returns = outbox.returns.splice(0, MAX_GROUP_COMMIT);
      await this.commit(group, results, returns);
    }
    outbox.running = false;
  }

  private async commit(
    group: number,
    results: readonly ItemResult[],
    returns: readonly ItemReturn[],
  ): Promise<void> {
    const { control, owner, logger, onCommitted } = this.options;
    while (!this.stopped) {
      try {
        await control.proposeJob(group, { type: 'commitItems', owner, results, returns });
        onCommitted?.(results.length);
        return;
      } catch (error) {
        const reason = error instanceof Error ? error.message : String(error);
        logger.warn('commit not accepted yet', { step: 'commit', group, reason });
        await pause(RETRY_MS);
      }
    }
  }
}
