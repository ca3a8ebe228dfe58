/**
 * Rows of the table of weights and limits. A row is one service of one workspace.
 */

/** What stands behind a service: model engines or plain request-response services. */
export type ServiceKind = 'engine' | 'plain';

/** What happens to the open items of a job that is past its due time. */
export type PastDuePolicy = 'continue' | 'stop';

/** Limits on what callers may send, over all entries together. */
export interface CallerLimits {
  readonly requestsPerSecond: number;
  readonly concurrentRequests: number;
  readonly tokensPerSecond: number;
}

/** How much of an endpoint's spare concurrency batch work may take. */
export interface BatchLimits {
  /** Share (0 to 1) of an endpoint's concurrency that batch keeps even in bursts. */
  readonly floorShare: number;
  /** Share (0 to 1) of an endpoint's concurrency that batch never exceeds. */
  readonly ceilingShare: number;
}

/** Service-level targets that the burn report measures against (95 in 100). */
export interface LatencyTargets {
  readonly firstTokenMs: number;
  readonly betweenTokensMs: number;
}

/** The operator-editable fields of a row. */
export interface RowFields {
  readonly kind: ServiceKind;
  readonly weight: number;
  readonly models: readonly string[];
  readonly idempotent: boolean;
  readonly limits: CallerLimits;
  readonly batch: BatchLimits;
  readonly targets: LatencyTargets;
  readonly defaultDeadlineMs: number;
  readonly pastDue: PastDuePolicy;
}

/** A row with its identity and the table revision that last changed it. */
export interface ServiceRow extends RowFields {
  readonly workspace: string;
  readonly service: string;
  readonly revision: number;
}

/** Defaults for the fields that an operator leaves out of a new row. */
export const DEFAULT_ROW_FIELDS: RowFields = {
  kind: 'engine',
  weight: 1,
  models: [],
  idempotent: true,
  limits: { requestsPerSecond: 1000, concurrentRequests: 1000, tokensPerSecond: 1_000_000 },
  batch: { floorShare: 0, ceilingShare: 0.9 },
  targets: { firstTokenMs: 620, betweenTokensMs: 44 },
  defaultDeadlineMs: 60_000,
  pastDue: 'continue',
};

/** The key of a row: `workspace/service`. */
export function rowKey(workspace: string, service: string): string {
  return `${workspace}/${service}`;
}
