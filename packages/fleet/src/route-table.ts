/**
 * Looks up the route and the workspace of a request in the configuration in force.
 */
import type { Configuration, Route } from './configuration.js';
import { WorkspaceTable } from './workspace.js';
import type { Workspace } from './workspace.js';

/** Result of the access check of a request; `anyone` if no API key is required. */
export type Access =
  | { readonly kind: 'anyone' }
  | { readonly kind: 'workspace'; readonly workspace: Workspace }
  | { readonly kind: 'refused'; readonly reason: 'no key' | 'unknown key' };

/** How a job was submitted. */
export interface JobOrigin {
  readonly host: string;
  readonly path: string;
  /** Name of the route that accepted it; undefined for jobs of earlier versions. */
  readonly routeName: string | undefined;
}

/** The routes of one configuration, by host. */
export class RouteTable {
  readonly version: number;
  readonly configuration: Configuration;
  private readonly byHost = new Map<string, Route[]>();
  private readonly workspaces: WorkspaceTable | undefined;

  constructor(configuration: Configuration) {
    this.version = configuration.version;
    this.configuration = configuration;
    const { workspaces } = configuration;
    this.workspaces = workspaces === undefined ? undefined : new WorkspaceTable(workspaces);
    for (const route of configuration.routes) {
      const routes = this.byHost.get(route.host) ?? [];
      routes.push(route);
      this.byHost.set(route.host, routes);
    }
    // The longest matching prefix wins, so longer prefixes are tried first.
    for (const routes of this.byHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /** Returns the route of a request; a port in the host is ignored. */
  find(host: string, path: string): Route | undefined {
    return this.byHost.get(hostName(host))?.find((route) => path.startsWith(route.pathPrefix));
  }

  /**
   * Returns the route that serves a job: the one that the path of its submission selects if it accepts
   * batch jobs, else the batch route of its host with the name of the route that accepted it.
   */
  findJobRoute({ host, path, routeName }: JobOrigin): Route | undefined {
    const selected = this.find(host, path);
    if (selected?.kind === 'jobs') return selected;
    return this.jobRoutes(host).find(({ name }) => name === routeName);
  }

  /** Whether the configuration uses API keys. */
  get usesKeys(): boolean {
    return this.workspaces !== undefined;
  }

  /** Checks whether a caller with this API key may use a route. */
  access(route: Route, apiKey: string | undefined): Access {
    if (this.workspaces === undefined || route.isPublic === true) return { kind: 'anyone' };
    if (apiKey === undefined) return { kind: 'refused', reason: 'no key' };
    const workspace = this.workspaces.findByKey(apiKey);
    if (workspace === undefined) return { kind: 'refused', reason: 'unknown key' };
    return { kind: 'workspace', workspace };
  }

  /** Returns the workspace of an API key; undefined if no workspace has it. */
  workspaceOf(apiKey: string | undefined): Workspace | undefined {
    return apiKey === undefined ? undefined : this.workspaces?.findByKey(apiKey);
  }

  /** Returns the routes of a host that accept batch jobs. */
  jobRoutes(host: string): Route[] {
    return (this.byHost.get(hostName(host)) ?? []).filter((route) => route.kind === 'jobs');
  }
}

/** Returns the key of a route under which entries request its items from the stores. */
export function routeKeyOf(route: Route): string {
  return `${route.host}${route.pathPrefix}`;
}

/** Returns the name in a `Host` header, in lower case and without its port. */
export function hostName(host: string): string {
  const colon = host.lastIndexOf(':');
  return (colon === -1 ? host : host.slice(0, colon)).toLowerCase();
}

/** Chooses the service for one request by weight; `random` is a number in [0, 1). */
export function chooseService(route: Route, random: number): string {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let remaining = random * total;
  for (const target of route.targets) {
    if (target.weight > 0 && remaining < target.weight) return target.service;
    remaining -= target.weight;
  }
  return route.targets.findLast((target) => target.weight > 0)?.service ?? '';
}
