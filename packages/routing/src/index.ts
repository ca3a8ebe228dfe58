/**
 * Routing decisions.
 */
export * from './address-choice.js';
export * from './load-report-urgency.js';
export * from './load-view.js';
export * from './prefix-index.js';
export * from './prompt-placement.js';
export * from './routing.js';
export * from './sample-entries.js';
export * from './slot-routing.js';
export * from './start-rate.js';
