/**
 * An entry's view of the endpoints and of its peer entries.
 */
export * from './observer-sets.js';
export * from './endpoint-directory.js';
export * from './lease-clock.js';
export * from './entry-membership.js';
export * from './endpoint-subsets.js';
