/**
 * Batch decisions of an entry: allocation of slots, ownership of endpoints and yielding.
 */
export * from './allocation.js';
export * from './headroom.js';
export * from './ownership.js';
export * from './yielding.js';
export * from './spare-slots.js';
export * from './recent-peak.js';
