/**
 * Admission of online requests at one entry: the row's limits, then the overload gate.
 */
import { OverloadGate, RetryBudget, RowLimits } from '@shedline/admission';
import type { QuotaHolder } from '@shedline/admission';
import { ShedlineError } from '@shedline/errors';
import { rowKey } from '@shedline/types';
import type { ServiceRow } from '@shedline/types';
import type { FleetView } from './fleet-view.js';

/** Decides which online requests may run. */
export class AdmissionDesk {
  readonly limits: RowLimits;
  private readonly fleet: FleetView;
  private readonly gates = new Map<string, OverloadGate>();
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(fleet: FleetView, holder: QuotaHolder) {
    this.fleet = fleet;
    this.limits = new RowLimits(holder);
  }

  /** Admits a request; throws a refusal that says that it did not run. Gives its release. */
  admit(row: ServiceRow, isOpenSession: boolean, nowMs: number): () => void {
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
