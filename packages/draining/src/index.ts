/**
 * What a process owes from its stop request to its exit.
 */
export { OpenCalls, trackCalls } from './open-calls.js';
export type { OpenCall } from './open-calls.js';
