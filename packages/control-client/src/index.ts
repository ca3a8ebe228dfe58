/**
 * Calls from entries and tools to the control instances.
 */
export * from './control-client.js';
export * from './protocol.js';
export * from './remote-port.js';
export * from './leader-caller.js';
