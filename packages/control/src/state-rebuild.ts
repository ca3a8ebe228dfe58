/**
 * Rebuilds the state of a member after it could not apply a command for a reason of its own machine,
 * such as a full disk: the other members have applied it, so going on without it would diverge.
 */
import type { Logger } from '@shedline/logger';
import type { Storage, StoredSnapshot } from '@shedline/storage';

const FIRST_RETRY_MS = 250;
const MAX_RETRY_MS = 2000;

/** Whether an error has a cause on this machine, which the other members do not share. */
export function isLocalFailure(error: unknown): error is Error {
  return error instanceof Error && 'syscall' in error;
}

/** Options of {@link StateRebuild}. */
export interface StateRebuildOptions {
  readonly group: number;
  readonly storage: Pick<Storage, 'readSnapshot' | 'diskFailure'>;
  readonly logger: Logger;
  /** Restores a snapshot and applies the log after it; throws if a command fails again. */
  readonly rebuild: (snapshot: StoredSnapshot | undefined) => void;
  /** Called when the state is complete again. */
  readonly onRebuilt: () => void;
}

/** Repeats the rebuild until it succeeds. */
export class StateRebuild {
  private readonly options: StateRebuildOptions;
  private timer: NodeJS.Timeout | undefined;
  private retryMs = FIRST_RETRY_MS;
  private isNeededNow = false;
  private isClosed = false;

  constructor(options: StateRebuildOptions) {
    this.options = options;
  }

  /** Whether the state lacks the effect of a command. */
  get isNeeded(): boolean {
    return this.isNeededNow;
  }

  /** Notes that the command at an index could not be applied, and starts to rebuild the state. */
  start(index: number, failure: Error): void {
    if (this.isNeededNow) return;
    this.isNeededNow = true;
    this.retryMs = FIRST_RETRY_MS;
    const { group, logger } = this.options;
    logger.error('group stopped: a command could not be applied', {
      group,
      step: 'apply',
      index,
      reason: failure.message,
    });
    this.schedule();
  }

  /** Notes that the state has been replaced as a whole. */
  end(): void {
    this.isNeededNow = false;
    clearTimeout(this.timer);
  }

  /** Stops for good. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
  }

  private schedule(): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => void this.attempt(), this.retryMs);
    this.retryMs = Math.min(MAX_RETRY_MS, this.retryMs * 2);
  }

  private async attempt(): Promise<void> {
    const { group, storage, logger, rebuild, onRebuilt } = this.options;
    try {
      // Rebuilding takes long for a large log, and would fail again while the disk refuses writes.
      if (storage.diskFailure !== undefined) throw storage.diskFailure;
      const snapshot = await storage.readSnapshot(group);
      if (this.isClosed || !this.isNeededNow) return;
      rebuild(snapshot);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      logger.warn('group still stopped', { group, step: 'apply', reason });
      if (!this.isClosed) this.schedule();
      return;
    }
    this.end();
    logger.info('group applies commands again', { group, step: 'apply' });
    onRebuilt();
  }
}
