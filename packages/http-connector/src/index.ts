/**
 * HTTP connections on which a truncated response is an error for its reader.
 */
export * from './abort-response.js';
export * from './batched-reads.js';
export * from './body-end.js';
export * from './connector.js';
