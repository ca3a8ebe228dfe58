/**
 * Limits the requests of a workspace over all entries together.
 */
export * from './messages.js';
export * from './tolerance.js';
export * from './request-ledger.js';
export * from './request-share.js';
