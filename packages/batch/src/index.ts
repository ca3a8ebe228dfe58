/**
 * Batch decisions of an entry.
 */
export * from './allocation.js';
export * from './headroom.js';
export * from './ownership.js';
export * from './yielding.js';
export * from './spare-slots.js';
export * from './recent-peak.js';
