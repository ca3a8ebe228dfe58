/**
 * The table of weights and limits.
 */
export * from './commands.js';
export * from './fields.js';
export * from './table.js';
export * from './table-view.js';
export * from './revision-tracker.js';
