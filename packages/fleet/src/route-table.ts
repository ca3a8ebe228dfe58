/**
 * Finds the route of a request in the configuration in force.
 */
import type { Configuration, Route } from './configuration.js';

/** Routes of one configuration, by host. */
export class RouteTable {
  readonly version: number;
  readonly configuration: Configuration;
  private readonly byHost = new Map<string, Route[]>();

  constructor(configuration: Configuration) {
    this.version = configuration.version;
    this.configuration = configuration;
    for (const route of configuration.routes) {
      const routes = this.byHost.get(route.host) ?? [];
      routes.push(route);
      this.byHost.set(route.host, routes);
    }
    // The longest prefix that matches wins, so the longest are tried first.
    for (const routes of this.byHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /** The route of a request. A port in the host does not count. */
  find(host: string, path: string): Route | undefined {
    return this.byHost.get(hostName(host))?.find((route) => path.startsWith(route.pathPrefix));
  }

  /** Routes of a host that take batch jobs. */
  jobRoutes(host: string): Route[] {
    return (this.byHost.get(hostName(host)) ?? []).filter((route) => route.kind === 'jobs');
  }
}

/** The name in a `Host` header, in lower case and without its port. */
export function hostName(host: string): string {
  const colon = host.lastIndexOf(':');
  return (colon === -1 ? host : host.slice(0, colon)).toLowerCase();
}

/** The service for one request; `unit` in [0, 1) decides between the targets. */
export function chooseService(route: Route, unit: number): string {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let left = unit * total;
  for (const target of route.targets) {
    if (target.weight > 0 && left < target.weight) return target.service;
    left -= target.weight;
  }
  return route.targets.findLast((target) => target.weight > 0)?.service ?? '';
}
