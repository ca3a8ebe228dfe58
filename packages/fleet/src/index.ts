/**
 * The state of a fleet and how its processes see it.
 */
export * from './configuration.js';
export * from './endpoint-registry.js';
export * from './endpoint-run.js';
export * from './fleet-state.js';
export * from './heartbeat-digest.js';
export * from './job-hosts.js';
export * from './known-fleet.js';
export * from './route-table.js';
export * from './workspace.js';
