/**
 * Schemas, reading and checking of settings.
 */
export * from './schema.js';
export * from './read-settings.js';
export * from './fleet-schema.js';
