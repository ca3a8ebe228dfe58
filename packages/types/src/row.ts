/**
 * Rows of the table of weights and limits. A row configures one service of one workspace.
 */

/** Kind of endpoints of a service: model engines or plain request-response services. */
export type ServiceKind = 'engine' | 'plain';

/** Policy for the open items of a job past its due time. */
export type PastDuePolicy = 'continue' | 'stop';

/** Limits on requests of callers, over all entries together. */
export interface CallerLimits {
  readonly requestsPerSecond: number;
  readonly concurrentRequests: number;
  readonly tokensPerSecond: number;
}

/** Bounds of the share of an endpoint's concurrency that batch work may use. */
export interface BatchLimits {
  /** Share (0 to 1) that batch work keeps even during bursts of online requests. */
  readonly floorShare: number;
  /** Share (0 to 1) that batch work never exceeds. */
  readonly ceilingShare: number;
}

/** Latency targets that the burn report measures against; 95 of 100 requests must meet them. */
export interface LatencyTargets {
  readonly firstTokenMs: number;
  readonly betweenTokensMs: number;
}

/** Fields of a row that operators may edit. */
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

/** Row with its identity and the table revision of its last change. */
export interface ServiceRow extends RowFields {
  readonly workspace: string;
  readonly service: string;
  readonly revision: number;
}

/** Defaults of the fields that an operator omits from a new row. */
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

/** Returns the key of a row: `workspace/service`. */
export function rowKey(workspace: string, service: string): string {
  return `${workspace}/${service}`;
}
