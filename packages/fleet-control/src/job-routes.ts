/**
 * Finds the route that serves a job in the newest configuration that this process knows.
 */
import { routeKeyOf } from '@shedline/fleet';
import type { KnownFleet, RouteTable } from '@shedline/fleet';
import type { JobRecord } from '@shedline/whole-jobs';

/** Result of a lookup, which holds for one configuration. */
interface CachedKey {
  readonly routes: RouteTable;
  readonly routeKey: string | undefined;
}

/** Finds routes of jobs. */
export class JobRoutes {
  private readonly fleet: Pick<KnownFleet, 'routes'>;
  private readonly cache = new WeakMap<JobRecord, CachedKey>();

  constructor(fleet: Pick<KnownFleet, 'routes'>) {
    this.fleet = fleet;
  }

  /** Version of the configuration that lookups use; -1 if none is known. */
  get version(): number {
    return this.fleet.routes?.version ?? -1;
  }

  /**
   * Returns the key of the route that serves a job; undefined if none does. Until this process knows
   * the configuration under which the job was accepted, it is the route that accepted it.
   */
  keyOf(job: JobRecord): string | undefined {
    const { routes } = this.fleet;
    const { configurationVersion = -1 } = job.identity;
    if (routes === undefined || routes.version < configurationVersion) return job.routeKey;
    const cached = this.cache.get(job);
    if (cached?.routes === routes) return cached.routeKey;
    const { host, path, routeName } = job.identity;
    const route = routes.findJobRoute({ host, path, routeName });
    const routeKey = route === undefined ? undefined : routeKeyOf(route);
    this.cache.set(job, { routes, routeKey });
    return routeKey;
  }
}
