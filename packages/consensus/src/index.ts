/**
 * Raft consensus for replicated log groups, without input, output or clocks of its own.
 */
export * from './messages.js';
export * from './consensus.js';
export * from './membership-planner.js';
