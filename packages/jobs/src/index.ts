/**
 * Replicated state of batch jobs that are uploaded in chunks, and claims of non-idempotent calls.
 */
export * from './commands.js';
export * from './jobs.js';
export * from './lease-clock.js';
export { MAX_ATTEMPTS, MAX_ENDPOINT_LOSSES } from './job-record.js';
