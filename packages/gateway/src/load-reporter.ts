/**
 * Reports the load from this entry at each endpoint to the entries that share the endpoint.
 */
import type { EndpointPool, LoadCount } from './endpoint-pool.js';
import type { EntryConnections } from './entry-connections.js';

/** Time for which changes are collected; shorter than the time to the first event of a stream. */
const COALESCE_MS = 25;
/** Interval at which nonzero loads are repeated; other entries discard them after 3 s. */
const REPEAT_MS = 1000;

/** Options of {@link LoadReporter}. */
export interface LoadReporterOptions {
  readonly entries: Pick<EntryConnections, 'send'>;
  readonly pool: () => EndpointPool;
  /** Returns the entries that use an endpoint. */
  readonly usersOf: (endpointId: string) => readonly string[];
}

/** Sends the load reports. */
export class LoadReporter {
  private readonly options: LoadReporterOptions;
  private readonly changed = new Set<string>();
  private flushTimer: NodeJS.Timeout | undefined;
  private repeatTimer: NodeJS.Timeout | undefined;

  constructor(options: LoadReporterOptions) {
    this.options = options;
  }

  /** Starts to repeat reports at an interval. */
  start(): void {
    this.repeatTimer = setInterval(() => {
      const loads = this.options.pool().ownLoads();
      // A load of zero was reported when the last request ended.
      this.send(loads.filter(({ online, batch }) => online + batch > 0));
    }, REPEAT_MS);
  }

  /** Schedules a report of the load of an endpoint. */
  markChanged(endpointId: string): void {
    this.changed.add(endpointId);
    this.flushTimer ??= setTimeout(() => {
      this.flush();
    }, COALESCE_MS);
  }

  /** Stops sending reports. */
  stop(): void {
    clearTimeout(this.flushTimer);
    clearInterval(this.repeatTimer);
  }

  private flush(): void {
    this.flushTimer = undefined;
    const loads = this.options.pool().ownLoads();
    this.send(loads.filter(({ endpointId }) => this.changed.has(endpointId)));
    this.changed.clear();
  }

  private send(counts: readonly LoadCount[]): void {
    const byUser = new Map<string, LoadCount[]>();
    for (const count of counts) {
      for (const user of this.options.usersOf(count.endpointId)) {
        const known = byUser.get(user);
        if (known === undefined) byUser.set(user, [count]);
        else known.push(count);
      }
    }
    // Reports to this entry itself and to disconnected entries are dropped: there is no connection.
    for (const [user, userCounts] of byUser) this.options.entries.send(user, 'loads', userCounts);
  }
}
