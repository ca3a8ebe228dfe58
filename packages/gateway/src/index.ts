/**
 * Library of the entry process of a fleet with automatic member discovery.
 */
export * from './gateway-process.js';
export * from './request-handler.js';
export * from './job-access.js';
export * from './job-service.js';
export * from './api-key-authenticator.js';
export * from './endpoint-pool.js';
