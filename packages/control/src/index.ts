/**
 * Control node and its building blocks, as a library.
 */
export * from './control-node.js';
export * from './bootstrap.js';
export * from './state-machine.js';
export * from './group-host.js';
export * from './group-node.js';
export * from './cluster-finder.js';
export type { ClusterDocument } from './identity.js';
