/**
 * Data types and constants shared by all packages.
 */
export * from './row.js';
export * from './endpoint.js';
export * from './job.js';
export * from './hash.js';
export * from './rate-limit.js';

/** Consensus group that holds the table, leases and fencing numbers. */
export const TABLE_GROUP = 0;

/** Whether a refused request was executed; `no` is reported only if it is certain. */
export type ExecutionStatus = 'no' | 'unknown' | 'yes';

/** Header that reports to a caller whether a refused request was executed. */
export const RAN_HEADER = 'shedline-ran';
/** Header with which a caller selects a service. */
export const SERVICE_HEADER = 'shedline-service';
/** Header that carries a session token. */
export const SESSION_HEADER = 'shedline-session';
/** Header that carries the caller's remaining time, in milliseconds. */
export const DEADLINE_HEADER = 'shedline-deadline-ms';
/** Header that identifies a request between entry and endpoint. */
export const REQUEST_ID_HEADER = 'x-request-id';
export * from './prefix.js';
export * from './shared-prompt.js';
export * from './choice-options.js';
