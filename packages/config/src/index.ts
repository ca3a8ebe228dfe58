/**
 * Settings of an instance.
 */
export * from './schema.js';
export * from './read-settings.js';
export * from './fleet-schema.js';
