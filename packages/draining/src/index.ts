/**
 * What a process owes from its stop request to its exit.
 */
export { CallDurations } from './call-durations.js';
export type { CallLimits, ObservedCall } from './call-durations.js';
export { OpenCalls, trackCalls } from './open-calls.js';
export type { OpenCall } from './open-calls.js';
