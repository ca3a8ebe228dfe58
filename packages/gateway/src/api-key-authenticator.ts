/**
 * Authenticates callers by their API keys. A key is neither written to a log nor sent to an
 * endpoint.
 */
import { match } from 'ts-pattern';
import type { Route, RouteTable, Workspace } from '@shedline/fleet';
import type { Logger } from '@shedline/logger';
import type { ProcessMetrics } from '@shedline/metrics';

/**
 * Time without data from any control process after which an unknown key may be a new one: five
 * polls without a reply. Normally changes are pushed within milliseconds.
 */
const MAX_CONTROL_SILENCE_MS = 1500;
/** Retry delay for callers with a possibly new key; they should try another entry. */
const STALE_RETRY_MS = 300;

/** Response to a caller that is not authenticated. */
export interface AuthenticationRefusal {
  readonly status: 401 | 503;
  readonly retryAfterMs?: number;
}

/**
 * Workspace of an authenticated caller (undefined if the route requires no API key), or a refusal.
 */
export type AuthenticationResult =
  | { readonly isAuthenticated: true; readonly workspace: Workspace | undefined }
  | { readonly isAuthenticated: false; readonly refusal: AuthenticationRefusal };

/** Options of {@link ApiKeyAuthenticator}. */
export interface ApiKeyAuthenticatorOptions {
  /** Time since the last reply of a control process. */
  readonly controlSilenceMs: () => number;
  readonly metrics: ProcessMetrics;
  readonly logger: Logger;
}

/** Checks API keys against the current configuration. */
export class ApiKeyAuthenticator {
  private readonly options: ApiKeyAuthenticatorOptions;

  constructor(options: ApiKeyAuthenticatorOptions) {
    this.options = options;
  }

  /** Checks the API key of a request for a route. */
  check(
    routes: RouteTable,
    route: Route,
    { apiKey, requestId }: { readonly apiKey: string | undefined; readonly requestId: string },
  ): AuthenticationResult {
    return match<ReturnType<RouteTable['access']>, AuthenticationResult>(
      routes.access(route, apiKey),
    )
      .with({ kind: 'anyone' }, () => ({ isAuthenticated: true, workspace: undefined }))
      .with({ kind: 'workspace' }, ({ workspace }) => ({ isAuthenticated: true, workspace }))
      .with({ kind: 'refused' }, ({ reason }) => ({
        isAuthenticated: false,
        refusal: this.refuse({ reason, requestId, route: route.name, version: routes.version }),
      }))
      .exhaustive();
  }

  /** Returns the refusal of a call about a job, which no route may serve any more. */
  refuseJobCall(
    { version }: RouteTable,
    { apiKey, requestId }: { readonly apiKey: string | undefined; readonly requestId: string },
  ): AuthenticationRefusal {
    const reason = apiKey === undefined ? 'no key' : 'unknown key';
    return this.refuse({ reason, requestId, version });
  }

  private refuse(refused: {
    readonly reason: 'no key' | 'unknown key';
    readonly requestId: string;
    readonly route?: string;
    readonly version: number;
  }): AuthenticationRefusal {
    const { reason, requestId: request, route, version } = refused;
    const controlSilenceMs = Math.round(this.options.controlSilenceMs());
    const mayBeNew = reason === 'unknown key' && controlSilenceMs > MAX_CONTROL_SILENCE_MS;
    const outcome = mayBeNew ? 503 : 401;
    const fields = {
      step: 'key',
      request,
      ...(route === undefined ? {} : { route }),
      version,
      newsAgeMs: controlSilenceMs,
      outcome,
      reason,
    };
    this.options.logger.info('request refused', fields);
    this.options.metrics.count('shedline_refused_keys_total', { reason });
    return mayBeNew ? { status: 503, retryAfterMs: STALE_RETRY_MS } : { status: 401 };
  }
}
