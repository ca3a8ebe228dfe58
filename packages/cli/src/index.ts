/**
 * The shedline command as a library.
 */
export * from './cli.js';
export * from './dev-fleet.js';
export * from './exit-codes.js';
