/**
 * Loopback networks for fleets that run on one machine.
 */
export * from './claim-network.js';
export * from './open-sockets.js';
