/**
 * Batch jobs that are submitted whole and read by position.
 */
export * from './commands.js';
export * from './item-dispenser.js';
export * from './job-record.js';
export * from './route-ends.js';
export * from './whole-jobs.js';
