/**
 * Decides which calls may be about batch jobs, and which jobs a caller may reach. A job outlives the
 * route that accepted it, so neither depends on that route being in force.
 */
import type { KnownFleet } from '@shedline/fleet';
import type { ApiKeyAuthenticator, AuthenticationRefusal } from './api-key-authenticator.js';
import type { JobCall } from './job-service.js';

/**
 * What the paths of jobs mean on a host. `current`: it has a route for batch jobs. `former`: it had
 * one, so such a path may also be that of a service. `none`: it never had one. `uncertain`: none is
 * known, but the state of this entry is not confirmed.
 */
export type JobScope = 'current' | 'former' | 'none' | 'uncertain';

/** Credentials of a call. */
export interface CallCredentials {
  readonly apiKey: string | undefined;
  readonly requestId: string;
}

/** The jobs that a caller may reach. */
export interface JobCaller extends Pick<JobCall, 'workspace' | 'withoutWorkspace'> {
  /** Returns the refusal of a call whose job is not found; undefined if that is the answer. */
  readonly refuse: () => AuthenticationRefusal | undefined;
}

/** Options of {@link JobAccess}. */
export interface JobAccessOptions {
  readonly fleet: KnownFleet;
  readonly authenticator: ApiKeyAuthenticator;
  /** Whether a quorum has confirmed recently that it holds no newer state than this entry. */
  readonly isStateFresh: () => boolean;
}

/** Decides about calls on jobs by the hosts and keys of the configuration in force. */
export class JobAccess {
  private readonly options: JobAccessOptions;

  constructor(options: JobAccessOptions) {
    this.options = options;
  }

  /** Returns what the paths of jobs mean on a host; a port in the host is ignored. */
  scopeOf(host: string): JobScope {
    const { fleet, isStateFresh } = this.options;
    if ((fleet.routes?.jobRoutes(host).length ?? 0) > 0) return 'current';
    if (fleet.mayHaveJobs(host)) return 'former';
    return isStateFresh() ? 'none' : 'uncertain';
  }

  /** Returns which jobs of a host a call may reach. */
  callerOf(host: string, credentials: CallCredentials): JobCaller {
    const { fleet, authenticator } = this.options;
    const { routes } = fleet;
    if (routes?.usesKeys !== true)
      return { workspace: undefined, withoutWorkspace: 'all', refuse: () => undefined };
    const workspace = routes.workspaceOf(credentials.apiKey)?.name;
    const isPublic = routes.jobRoutes(host)[0]?.isPublic === true;
    const isAdmitted = workspace !== undefined || isPublic;
    return {
      workspace,
      withoutWorkspace: isAdmitted ? 'all' : 'public',
      refuse: () => (isAdmitted ? undefined : authenticator.refuseJobCall(routes, credentials)),
    };
  }
}
