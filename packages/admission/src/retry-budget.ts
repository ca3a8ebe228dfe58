/**
 * Bounds the retries of a service: all sends together stay within a factor of the requests.
 */

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries allowed for each request. */
  readonly retriesPerRequest?: number;
  /** Retries that may be saved up; also allowed at the start. */
  readonly maxSaved?: number;
}

/** A budget that requests fill and retries empty. */
export class RetryBudget {
  private readonly retriesPerRequest: number;
  private readonly maxSaved: number;
  private saved: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.retriesPerRequest = options.retriesPerRequest ?? 0.2;
    this.maxSaved = options.maxSaved ?? 20;
    this.saved = this.maxSaved;
  }

  /** Notes a new request. */
  requested(): void {
    this.saved = Math.min(this.maxSaved, this.saved + this.retriesPerRequest);
  }

  /** Takes one retry from the budget; false where it is spent. */
  takeRetry(): boolean {
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }
}
