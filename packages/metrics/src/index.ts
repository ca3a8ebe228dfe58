/**
 * Metrics of processes and the burn report.
 */
export * from './burn.js';
export * from './burn-page.js';
export * from './exposition.js';
export * from './latency.js';
export * from './process-metrics.js';
