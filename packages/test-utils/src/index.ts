/**
 * Test fixtures shared by all packages.
 */
export * from './describe.js';
export * from './random.js';
export * from './process-fleet.js';
export * from './partition-relay.js';
export * from './free-ports.js';
