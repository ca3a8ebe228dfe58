/**
 * Lets a caller in by its API key, or says why not. The key itself goes nowhere from here: neither into a log
 * line nor to an endpoint.
 */
import { match } from 'ts-pattern';
import type { Route, RouteTable, Workspace } from '@shedline/fleet';
import type { Logger } from '@shedline/logger';
import type { ProcessMetrics } from '@shedline/metrics';

/**
 * Silence of all control processes beyond which a key that is not known here may be a new one: five looks that
 * brought no answer. News are pushed within milliseconds otherwise.
 */
const MAY_BE_BEHIND_MS = 1500;
/** When a caller should come back, elsewhere, whose key this entry cannot judge. */
const BEHIND_RETRY_MS = 300;

/** What a caller that may not come in is told. */
export interface KeyRefusal {
  readonly status: 401 | 503;
  readonly retryAfterMs?: number;
}

/** The workspace of a caller that may come in, undefined where no key is asked for; or a refusal. */
export type KeyVerdict =
  | { readonly isIn: true; readonly workspace: Workspace | undefined }
  | { readonly isIn: false; readonly refusal: KeyRefusal };

/** Options of {@link KeyCheck}. */
export interface KeyCheckOptions {
  /** Time since a control process was last heard. */
  readonly silentMs: () => number;
  readonly metrics: ProcessMetrics;
  readonly logger: Logger;
}

/** Checks keys against the configuration in force. */
export class KeyCheck {
  private readonly options: KeyCheckOptions;

  constructor(options: KeyCheckOptions) {
    this.options = options;
  }

  /** Judges the key that a request shows for a route. */
  check(
    routes: RouteTable,
    route: Route,
    { apiKey, requestId }: { readonly apiKey: string | undefined; readonly requestId: string },
  ): KeyVerdict {
    return match<ReturnType<RouteTable['access']>, KeyVerdict>(routes.access(route, apiKey))
      .with({ kind: 'anyone' }, () => ({ isIn: true, workspace: undefined }))
      .with({ kind: 'workspace' }, ({ workspace }) => ({ isIn: true, workspace }))
      .with({ kind: 'refused' }, ({ reason }) => ({
        isIn: false,
        refusal: this.refuse({ reason, requestId, route: route.name, version: routes.version }),
      }))
      .exhaustive();
  }

  private refuse(refused: {
    readonly reason: 'no key' | 'unknown key';
    readonly requestId: string;
    readonly route: string;
    readonly version: number;
  }): KeyRefusal {
    const { reason, requestId: request, route, version } = refused;
    const silentMs = Math.round(this.options.silentMs());
    const mayBeNew = reason === 'unknown key' && silentMs > MAY_BE_BEHIND_MS;
    const outcome = mayBeNew ? 503 : 401;
    const fields = { step: 'key', request, route, version, newsAgeMs: silentMs, outcome, reason };
    this.options.logger.info('request refused', fields);
    this.options.metrics.count('shedline_refused_keys_total', { reason });
    return mayBeNew ? { status: 503, retryAfterMs: BEHIND_RETRY_MS } : { status: 401 };
  }
}
