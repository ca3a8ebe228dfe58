/**
 * What an entry knows of endpoints and of its peers.
 */
export * from './cells.js';
export * from './endpoint-directory.js';
export * from './lease-clock.js';
export * from './entry-membership.js';
export * from './endpoint-subsets.js';
