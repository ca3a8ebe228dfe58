/**
 * The control and store processes of a fleet with dynamic membership.
 */
export * from './control-process.js';
export * from './saved-endpoints.js';
export * from './group-state-machines.js';
export * from './peer-ports.js';
export * from './ports.js';
export * from './process-core.js';
export * from './protocol.js';
export * from './store-process.js';
export * from './quota-settings.js';
