/**
 * Admission of online requests at one entry: the row's limits, then the overload gate.
 */
import { OverloadGate, RetryBudget, RowLimits } from '@shedline/admission';
import type { QuotaHolder } from '@shedline/admission';
import { ShedlineError } from '@shedline/errors';
import type { EntryMetrics, RequestOutcome } from '@shedline/metrics';
import { rowKey } from '@shedline/types';
import type { ServiceRow } from '@shedline/types';
import type { FleetView } from './fleet-view.js';

/** Options of {@link AdmissionController}. */
export interface AdmissionControllerOptions {
  readonly fleet: FleetView;
  readonly holder: QuotaHolder;
  readonly metrics: EntryMetrics;
  readonly nowMs: () => number;
}

/** Decides which online requests may run. */
export class AdmissionController {
  readonly limits: RowLimits;
  private readonly fleet: FleetView;
  private readonly metrics: EntryMetrics;
  private readonly nowMs: () => number;
  private readonly gates = new Map<string, OverloadGate>();
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(options: AdmissionControllerOptions) {
    this.fleet = options.fleet;
    this.metrics = options.metrics;
    this.nowMs = options.nowMs;
    this.limits = new RowLimits(options.holder);
  }

  /** Runs admitted work and counts how it ended; a refusal says that it did not run. */
  async run<T>(row: ServiceRow, isOpenSession: boolean, work: () => Promise<T>): Promise<T> {
    const service = rowKey(row.workspace, row.service);
    let outcome: RequestOutcome = 'refused';
    let release: (() => void) | undefined;
    try {
      release = this.admit(row, isOpenSession, this.nowMs());
      outcome = 'failed';
      const result = await work();
      outcome = 'completed';
      return result;
    } finally {
      release?.();
      this.metrics.requestEnded(service, 'online', outcome);
    }
  }

  /** Admits a request; throws a refusal that says that it did not run. Gives its release. */
  private admit(row: ServiceRow, isOpenSession: boolean, nowMs: number): () => void {
    const key = rowKey(row.workspace, row.service);
    const limited = this.limits.admit(key, row.limits, nowMs);
    if (!limited.admitted) {
      throw new ShedlineError({
        type: 'limit_reached',
        message: `the ${limited.limit} limit of ${key} is reached; come back later`,
        step: 'admit',
        peer: key,
        ran: 'no',
        retryAfterMs: limited.retryAfterMs,
      });
    }
    const gate = this.gateOf(row);
    const pressure = this.fleet.pressure(row, nowMs);
    const answer = gate.decide({ row: key, weight: row.weight, isOpenSession, ...pressure }, nowMs);
    if (!answer.admitted) {
      this.limits.finished(key);
      throw overloaded(key, answer.retryAfterMs, pressure.capacity);
    }
    this.budgetOf(key).requested();
    return () => {
      this.limits.finished(key);
      gate.finished(key);
    };
  }

  /** Charges the tokens of an answer. */
  charge(service: string, usedTokens: number, generatedTokens: number): void {
    this.limits.chargeTokens(service, usedTokens);
    this.metrics.generated(service, 'online', generatedTokens);
  }

  /** The retry budget of a service. */
  budgetOf(key: string): RetryBudget {
    const known = this.budgets.get(key);
    if (known !== undefined) return known;
    const budget = new RetryBudget();
    this.budgets.set(key, budget);
    return budget;
  }

  /** Rows that share their endpoints share a gate. */
  private gateOf(row: ServiceRow): OverloadGate {
    const pool = row.kind === 'plain' ? rowKey(row.workspace, row.service) : row.models.join(',');
    const known = this.gates.get(pool);
    if (known !== undefined) return known;
    const gate = new OverloadGate();
    this.gates.set(pool, gate);
    return gate;
  }
}

function overloaded(key: string, retryAfterMs: number, capacity: number): ShedlineError {
  const none = capacity === 0;
  return new ShedlineError({
    type: none ? 'unavailable' : 'overloaded',
    message: none
      ? `no endpoint of ${key} is up; come back later`
      : `all endpoints of ${key} are busy; come back later`,
    step: 'admit',
    peer: key,
    ran: 'no',
    retryAfterMs,
  });
}
