/**
 * The configuration document of a fleet: routes from hosts and paths to services, the services,
 * and the limits of caller requests.
 */
import { workspaceProblem } from './workspace.js';
import type { Workspace } from './workspace.js';

/**
 * Kind of the requests of a route. `idempotent` requests may be executed more than once; `once` and
 * `stream` requests are executed at most once, but a resumable stream may continue at another
 * endpoint; `jobs` accepts batch jobs.
 */
export type RouteKind = 'idempotent' | 'once' | 'stream' | 'jobs';

/** A service that receives a share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Relative to the other targets; a target with weight 0 receives no requests. */
  readonly weight: number;
}

/** Rules for the batch jobs of a route. */
export interface JobRules {
  /** Time after the submission of a job at which all its results are due. */
  readonly resultsDueMs: number;
  /** Time after the submission from which an unfinished item may be abandoned. */
  readonly keepItemsMs: number;
  /** Maximum tokens of unfinished items over all entries; 0 means no limit. */
  readonly maxWaitingTokens: number;
}

/** Maps requests of a host and path prefix to services. */
export interface Route {
  readonly name: string;
  /** Host that requests are addressed to, in lower case. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Maximum time that a request may wait. */
  readonly timeLimitMs: number;
  /** Latency target of a response, or of the first event of a stream. */
  readonly targetMs: number;
  /** Priority; 0 is the most urgent. */
  readonly rank: number;
  /** Maximum number of endpoints that one request may be sent to. */
  readonly maxAttempts: number;
  /** Whether a stream may continue at another endpoint. */
  readonly isResumable: boolean;
  /** Maximum pause between events with which a stream meets its target. */
  readonly longestPauseMs: number;
  readonly jobs?: JobRules;
  /** Whether callers need no API key; omitted by earlier versions. */
  readonly isPublic?: boolean;
}

/** A service that the endpoints of the fleet provide. */
export interface Service {
  readonly name: string;
  /** Path of the health check of an endpoint. */
  readonly healthPath: string;
  /** Maximum connections to an endpoint over all callers. */
  readonly maxConnections: number;
}

/** Limits of caller requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  /** Maximum time that a connection may be idle. */
  readonly idleTimeoutMs: number;
}

/** A complete configuration. */
export interface Configuration {
  /** Set by the operator; the highest version is in force. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** If undefined, no API key is required. An empty list allows requests only to public routes. */
  readonly workspaces?: readonly Workspace[];
}

/** Returns why a configuration is invalid; undefined if it is valid. */
export function configurationProblem(configuration: Configuration): string | undefined {
  const services = new Set(configuration.services.map((service) => service.name));
  const hostPrefixes = new Set<string>();
  for (const route of configuration.routes) {
    const problem = routeProblem(route, services);
    if (problem !== undefined) return `route ${route.name}: ${problem}`;
    const hostPrefix = `${route.host} ${route.pathPrefix}`;
    if (hostPrefixes.has(hostPrefix))
      return `route ${route.name}: another route has the same host and prefix`;
    hostPrefixes.add(hostPrefix);
  }
  return workspaceProblem(configuration.workspaces ?? []);
}

function routeProblem(route: Route, services: ReadonlySet<string>): string | undefined {
  const unknown = route.targets.find((target) => !services.has(target.service));
  if (unknown !== undefined) return `the service ${unknown.service} is not in the configuration`;
  if (route.targets.some((target) => target.weight < 0)) return 'a weight is negative';
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  if (total <= 0) return 'its weights add up to 0';
  if (route.timeLimitMs <= 0) return 'its time limit is 0';
  if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) {
    return 'its path prefix must begin and end with a slash';
  }
  return undefined;
}
