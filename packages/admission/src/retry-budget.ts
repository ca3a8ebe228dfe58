/**
 * Limits the retries of a service to a share of its requests, so that retries cannot multiply the
 * load during an outage.
 */

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Retries that each request adds to the budget. */
  readonly retriesPerRequest?: number;
  /** Largest budget, in retries; also the initial budget. */
  readonly maxSavedRetries?: number;
}

/** Retry budget of one service: requests fill it and retries spend it. */
export class RetryBudget {
  private readonly retriesPerRequest: number;
  private readonly maxSavedRetries: number;
  private savedRetries: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.retriesPerRequest = options.retriesPerRequest ?? 0.2;
    this.maxSavedRetries = options.maxSavedRetries ?? 20;
    this.savedRetries = this.maxSavedRetries;
  }

  /** Adds the share of a new request to the budget. */
  recordRequest(): void {
    this.savedRetries = Math.min(this.maxSavedRetries, this.savedRetries + this.retriesPerRequest);
  }

  /** Takes one retry from the budget; returns false if the budget is exhausted. */
  takeRetry(): boolean {
    if (this.savedRetries < 1) return false;
    this.savedRetries -= 1;
    return true;
  }
}
