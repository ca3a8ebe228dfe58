/**
 * The control and store processes of a fleet that finds its members itself.
 */
export * from './control-process.js';
export * from './endpoint-memory.js';
export * from './machines.js';
export * from './peer-ports.js';
export * from './ports.js';
export * from './process-core.js';
export * from './protocol.js';
export * from './store-process.js';
export * from './quota-settings.js';
