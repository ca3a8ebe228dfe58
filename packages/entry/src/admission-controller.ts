/**
 * Admission of online requests at one entry: checks whether they can end before a stopping entry
 * closes its connections, then the limits of the row, then the overload gate.
 */
import { OverloadGate, RetryBudget, RowLimits } from '@shedline/admission';
import type { QuotaHolder } from '@shedline/admission';
import { CallDurations, STOPPING_RETRY_MS } from '@shedline/draining';
import type { CallLimits, ObservedCall } from '@shedline/draining';
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

/** What admission depends on besides the row. */
export interface AdmittedWork extends CallLimits {
  /** Whether the request continues a session. */
  readonly isOpenSession: boolean;
}

/** Admits or rejects online requests. */
export class AdmissionController {
  readonly limits: RowLimits;
  private readonly fleet: FleetView;
  private readonly metrics: EntryMetrics;
  private readonly nowMs: () => number;
  private readonly gates = new Map<string, OverloadGate>();
  private readonly budgets = new Map<string, RetryBudget>();
  private readonly durations: CallDurations;
  private closesAtMs = Infinity;

  constructor(options: AdmissionControllerOptions) {
    this.fleet = options.fleet;
    this.metrics = options.metrics;
    this.nowMs = options.nowMs;
    this.limits = new RowLimits(options.holder);
    this.durations = new CallDurations(options);
  }

  /** From now on, rejects requests that are not expected to end by a time. */
  closeAt(closesAtMs: number): void {
    this.closesAtMs = closesAtMs;
  }

  /**
   * Runs `work` if it is admitted, and observes its outcome and duration; a rejection has `ran: no`.
   * `work` notes the first part of its response.
   */
  async run<T>(
    row: ServiceRow,
    { isOpenSession, ...limits }: AdmittedWork,
    work: (call: ObservedCall) => Promise<T>,
  ): Promise<T> {
    const service = rowKey(row.workspace, row.service);
    let outcome: RequestOutcome = 'refused';
    let release: (() => void) | undefined;
    let call: ObservedCall | undefined;
    let hasRun = true;
    try {
      this.checkEndsInTime(service, limits);
      release = this.admit(row, isOpenSession, this.nowMs());
      outcome = 'failed';
      call = this.durations.begin(service, limits.maxOutput);
      const result = await work(call);
      outcome = 'completed';
      return result;
    } catch (error) {
      hasRun = !(error instanceof ShedlineError && error.ran === 'no');
      throw error;
    } finally {
      release?.();
      call?.end(hasRun);
      this.metrics.recordRequestEnd(service, 'online', outcome);
    }
  }

  private checkEndsInTime(service: string, limits: CallLimits): void {
    const longestMs = this.durations.longestMs(service, limits);
    if (this.nowMs() + longestMs <= this.closesAtMs) return;
    throw new ShedlineError({
      type: 'unavailable',
      message: 'this entry stops before the request would have ended; use another address',
      step: 'admit',
      peer: service,
      ran: 'no',
      retryAfterMs: STOPPING_RETRY_MS,
    });
  }

  /** Admits a request and returns the function that releases it; throws a rejection. */
  private admit(row: ServiceRow, isOpenSession: boolean, nowMs: number): () => void {
    const key = rowKey(row.workspace, row.service);
    const limitDecision = this.limits.admit(key, row.limits, nowMs);
    if (!limitDecision.admitted) {
      throw new ShedlineError({
        type: 'limit_reached',
        message: `the ${limitDecision.limit} limit of ${key} is reached; retry later`,
        step: 'admit',
        peer: key,
        ran: 'no',
        retryAfterMs: limitDecision.retryAfterMs,
      });
    }
    const gate = this.gateOf(row);
    const pressure = this.fleet.loadAndCapacityOf(row, nowMs);
    const gateDecision = gate.decide(
      { row: key, weight: row.weight, isOpenSession, ...pressure },
      nowMs,
    );
    if (!gateDecision.admitted) {
      this.limits.release(key);
      throw overloaded(key, gateDecision.retryAfterMs, pressure.capacity);
    }
    this.budgetOf(key).recordRequest();
    return () => {
      this.limits.release(key);
      gate.release(key);
    };
  }

  /** Charges the tokens of a response to the limits of the service. */
  charge(service: string, usedTokens: number, generatedTokens: number): void {
    this.limits.chargeTokens(service, usedTokens);
    this.metrics.recordTokens(service, 'online', generatedTokens);
  }

  /** Returns the retry budget of a service. */
  budgetOf(key: string): RetryBudget {
    const known = this.budgets.get(key);
    if (known !== undefined) return known;
    const budget = new RetryBudget();
    this.budgets.set(key, budget);
    return budget;
  }

  /** Returns the overload gate of a row; rows with the same endpoints share a gate. */
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
  const hasNoEndpoint = capacity === 0;
  return new ShedlineError({
    type: hasNoEndpoint ? 'unavailable' : 'overloaded',
    message: hasNoEndpoint
      ? `no endpoint of ${key} is available; retry later`
      : `all endpoints of ${key} are busy; retry later`,
    step: 'admit',
    peer: key,
    ran: 'no',
    retryAfterMs,
  });
}
