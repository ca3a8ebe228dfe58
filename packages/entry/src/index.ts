/**
 * The entry daemon as a library.
 */
export * from './entry-node.js';
export * from './endpoint-driver.js';
export * from './answer-check.js';
export { FleetView } from './fleet-view.js';
export { HeldItems } from './held-items.js';
export { openSession, readSession } from './sessions.js';
export { Authenticator } from './auth.js';
