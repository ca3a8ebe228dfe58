/**
 * The hosts of batch jobs. Jobs are kept longer than the route that accepted them may exist, so a
 * host stays known after a configuration has removed its last route for batch jobs.
 */
import type { Configuration } from './configuration.js';

/** Maximum number of hosts; exceeds the number of configurations while a job is kept. */
const MAX_HOSTS = 1000;

/** Hosts that had a route for batch jobs in any configuration. */
export class JobHosts {
  /** Ordered by the last configuration that had such a route. */
  private readonly hosts = new Set<string>();

  get all(): readonly string[] {
    return [...this.hosts];
  }

  has(host: string): boolean {
    return this.hosts.has(host);
  }

  /** Adds the hosts of a configuration, and drops the oldest ones above the limit. */
  add(configuration: Configuration | undefined): void {
    const routes = configuration?.routes ?? [];
    this.addHosts(routes.filter(({ kind }) => kind === 'jobs').map(({ host }) => host));
  }

  /** Adds hosts in order, and drops the oldest ones above the limit. */
  addHosts(hosts: readonly string[]): void {
    for (const host of hosts) {
      this.hosts.delete(host);
      this.hosts.add(host);
    }
    for (const oldest of this.hosts) {
      if (this.hosts.size <= MAX_HOSTS) return;
      this.hosts.delete(oldest);
    }
  }

  /** Replaces the hosts by those of a snapshot. */
  restore(hosts: readonly string[]): void {
    this.hosts.clear();
    this.addHosts(hosts);
  }
}
