/**
 * Records of the software versions that began streams.
 */
export * from './decide-origin.js';
export * from './messages.js';
export * from './origin-records.js';
export * from './seen-versions.js';
