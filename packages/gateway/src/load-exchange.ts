/**
 * Tells the entries that share an endpoint with this one how much work this one has under way
 * there.
 */
import type { EndpointPool, LoadCount } from './endpoint-pool.js';
import type { EntryLinks } from './entry-links.js';

/** Changes of this long go out together: shorter than the time to a stream's first event. */
const COALESCE_MS = 25;
/** Counts of work under way are repeated this often; others forget them after three seconds. */
const REPEAT_MS = 1000;

/** Options of {@link LoadExchange}. */
export interface LoadExchangeOptions {
  readonly entries: Pick<EntryLinks, 'send'>;
  readonly pool: () => EndpointPool;
  /** Entries that use an endpoint. */
  readonly usersOf: (endpointId: string) => readonly string[];
}

/** Sends load counts. */
export class LoadExchange {
  private readonly options: LoadExchangeOptions;
  private readonly changed = new Set<string>();
  private pending: NodeJS.Timeout | undefined;
  private repeat: NodeJS.Timeout | undefined;

  constructor(options: LoadExchangeOptions) {
    this.options = options;
  }

  /** Starts the repetitions. */
  start(): void {
    this.repeat = setInterval(() => {
      const loads = this.options.pool().ownLoads();
      // An endpoint where nothing is under way was told so when the last request ended.
      this.send(loads.filter(({ online, batch }) => online + batch > 0));
    }, REPEAT_MS);
  }

  /** Notes that the load of an endpoint changed. */
  note(endpointId: string): void {
    this.changed.add(endpointId);
    this.pending ??= setTimeout(() => {
      this.flush();
    }, COALESCE_MS);
  }

  /** Ends. */
  stop(): void {
    clearTimeout(this.pending);
    clearInterval(this.repeat);
  }

  private flush(): void {
    this.pending = undefined;
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
    // There is no connection to this entry itself, nor to one that has just gone.
    for (const [user, own] of byUser) this.options.entries.send(user, 'loads', own);
  }
}
