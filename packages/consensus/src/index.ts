/**
 * Consensus core: replicated log groups as pure decision classes.
 */
export * from './messages.js';
export * from './consensus.js';
export * from './membership-planner.js';
