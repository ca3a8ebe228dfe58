/**
 * Orders to endpoints: fencing numbers, leases and rate limits.
 */
export * from './order-gate.js';
export * from './orders.js';
