/**
 * Quarantine of request contents that crash endpoints.
 */
export * from './crash-records.js';
export * from './known-crashes.js';
export * from './quarantine-rule.js';
