/**
 * Quarantine of features of requests that crash endpoints.
 */
export * from './crash-records.js';
export * from './feature-keys.js';
export * from './known-crashes.js';
export * from './quarantine-rule.js';
