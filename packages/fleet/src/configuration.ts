/**
 * The configuration document of a fleet: routes from hosts and paths to services, the services,
 * and the limits on what callers may send.
 */
import { workspaceProblem } from './workspace.js';
import type { Workspace } from './workspace.js';

/**
 * What a route carries. `idempotent` requests may run more than once; `once` requests and
 * streams run at most once, a resumable stream may go on elsewhere; `jobs` takes batch jobs.
 */
export type RouteKind = 'idempotent' | 'once' | 'stream' | 'jobs';

/** A share of a route's requests for one service. */
export interface RouteTarget {
  readonly service: string;
  /** Relative to the other targets; 0 takes nothing. */
  readonly weight: number;
}

/** What holds for the batch jobs of a route. */
export interface JobRules {
  /** Time after its submission at which all results of a job are due. */
  readonly resultsDueMs: number;
  /** Time after the submission from which an item may be given up. */
  readonly keepItemsMs: number;
  /** Tokens of unfinished items over all entries; 0 is no limit. */
  readonly maxWaitingTokens: number;
}

/** One route. */
export interface Route {
  readonly name: string;
  /** Host that requests name, in lower case. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Longest time that a request is kept waiting. */
  readonly timeLimitMs: number;
  /** Time within which an answer (of a stream: its first event) is on time. */
  readonly targetMs: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Most endpoints that one request may be sent to. */
  readonly maxAttempts: number;
  /** Whether a stream may go on at another endpoint. */
  readonly isResumable: boolean;
  /** Longest pause between the events of a stream that is on time. */
  readonly longestPauseMs: number;
  readonly jobs?: JobRules;
  /** Whether callers need no API key; left out by earlier programs. */
  readonly isPublic?: boolean;
}

/** One service. */
export interface Service {
  readonly name: string;
  /** Path that tells whether an endpoint is healthy. */
  readonly healthPath: string;
  /** Connections that an endpoint takes from all callers. */
  readonly maxConnections: number;
}

/** Limits on what callers may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  /** Time that a connection may stay idle. */
  readonly idleTimeoutMs: number;
}

/** A whole configuration. */
export interface Configuration {
  /** Given by the operator; the highest is in force. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Undefined: nobody needs an API key. An empty list lets nobody in but on public routes. */
  readonly workspaces?: readonly Workspace[];
}

/** Why a configuration cannot be in force; undefined where it can. */
export function configurationProblem(configuration: Configuration): string | undefined {
  const services = new Set(configuration.services.map((service) => service.name));
  const places = new Set<string>();
  for (const route of configuration.routes) {
    const problem = routeProblem(route, services);
    if (problem !== undefined) return `route ${route.name}: ${problem}`;
    const place = `${route.host} ${route.pathPrefix}`;
    if (places.has(place)) return `route ${route.name}: another route has the same host and prefix`;
    places.add(place);
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
