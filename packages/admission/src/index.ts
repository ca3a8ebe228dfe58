/**
 * Admission decisions: limits, quota leases, overload, queue order and retries.
 */
export * from './concurrency-limit.js';
export * from './overload-gate.js';
export * from './quota.js';
export * from './rate.js';
export * from './retry-budget.js';
export * from './retry-decision.js';
export * from './row-limits.js';
export * from './caller-time-limits.js';
export * from './fair-queue-order.js';
export * from './wait-estimate.js';
