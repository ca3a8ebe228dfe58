/**
 * Replicated table of the weights and limits of services.
 */
export * from './commands.js';
export * from './fields.js';
export * from './table.js';
export * from './table-view.js';
export * from './revision-tracker.js';
