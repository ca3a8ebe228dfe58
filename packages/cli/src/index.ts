/**
 * Library interface of the `shedline` command.
 */
export * from './cli.js';
export * from './dev-fleet.js';
export * from './exit-codes.js';
