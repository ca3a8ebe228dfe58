/**
 * Membership of a fleet whose processes are configured with only a few seed addresses.
 */
export * from './member-record.js';
export * from './member-registry.js';
export * from './member-view.js';
export * from './mesh.js';
