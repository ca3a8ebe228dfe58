/**
 * The entry of a fleet that finds its members itself.
 */
export * from './gateway-process.js';
export * from './request-intake.js';
export * from './job-service.js';
export * from './key-check.js';
export * from './endpoint-pool.js';
