/**
 * Waits until an incarnation of an endpoint is known to have served at some time. The incarnations of an
 * endpoint follow each other, so a heartbeat that one sends later shows that none had replaced it before.
 */

/** Options of {@link RunConfirmations}. */
export interface RunConfirmationsOptions {
  /** Maximum time to wait for a heartbeat. */
  readonly maxWaitMs: number;
}

interface Waiter {
  readonly fromMs: number;
  readonly settle: (isConfirmed: boolean) => void;
}

/** The latest heartbeats of incarnations, and what waits for the next ones. */
export class RunConfirmations {
  private readonly maxWaitMs: number;
  private readonly heardAtMs = new Map<string, number>();
  private readonly waiters = new Map<string, Set<Waiter>>();

  constructor({ maxWaitMs }: RunConfirmationsOptions) {
    this.maxWaitMs = maxWaitMs;
  }

  /** Notes a heartbeat of an incarnation, by the time at which it was received first. */
  heard(runId: string, atMs: number): void {
    this.heardAtMs.set(runId, Math.max(atMs, this.heardAtMs.get(runId) ?? -Infinity));
    for (const waiter of this.waiters.get(runId) ?? [])
      if (this.isConfirmed(runId, waiter.fromMs)) waiter.settle(true);
  }

  /** Returns when an incarnation was last heard of; -Infinity if it is not known. */
  lastHeardAtMs(runId: string): number {
    return this.heardAtMs.get(runId) ?? -Infinity;
  }

  /** Notes that a later incarnation is known. */
  ended(runId: string): void {
    this.heardAtMs.delete(runId);
    for (const waiter of this.waiters.get(runId) ?? []) waiter.settle(false);
  }

  /** Forgets all other incarnations. */
  keepOnly(runIds: ReadonlySet<string>): void {
    for (const runId of this.heardAtMs.keys()) if (!runIds.has(runId)) this.ended(runId);
  }

  /** Resolves to whether an incarnation is heard of at `fromMs` or later. */
  wait(runId: string, fromMs: number): Promise<boolean> {
    if (this.isConfirmed(runId, fromMs)) return Promise.resolve(true);
    return new Promise((resolve) => {
      const waiters = this.waiters.get(runId) ?? new Set<Waiter>();
      this.waiters.set(runId, waiters);
      const timer = setTimeout(() => {
        waiter.settle(false);
      }, this.maxWaitMs);
      const waiter: Waiter = {
        fromMs,
        settle: (isConfirmed) => {
          clearTimeout(timer);
          waiters.delete(waiter);
          if (waiters.size === 0) this.waiters.delete(runId);
          resolve(isConfirmed);
        },
      };
      waiters.add(waiter);
    });
  }

  private isConfirmed(runId: string, fromMs: number): boolean {
    return this.lastHeardAtMs(runId) >= fromMs;
  }
}
