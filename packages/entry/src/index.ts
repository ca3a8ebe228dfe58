/**
 * Library form of the entry process that serves callers over HTTP.
 */
export * from './entry-node.js';
export * from './endpoint-driver.js';
export * from './stream-validator.js';
export { FleetView } from './fleet-view.js';
export { HeldItems } from './held-items.js';
export { openSession, readSession } from './sessions.js';
export { Authenticator } from './auth.js';
