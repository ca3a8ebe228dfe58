/**
 * Randomized fault-injection test of the real programs.
 */
export * from './expected-response.js';
export * from './fault-plan.js';
export * from './fleet-adapter.js';
export * from './promise-checker.js';
export * from './process-set.js';
export * from './report.js';
export * from './soak-network.js';
export * from './soak-run.js';
