/**
 * Orders to endpoints, with fencing numbers and leases.
 */
export * from './order-gate.js';
export * from './orders.js';
